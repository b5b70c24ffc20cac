"""KNOWN-RED.txt: which runs it lets pass."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

RED = "tests/test_one.py::test_red: the clock steps (issue 7)"
TESTS = """
import pytest
def test_red(): assert False, "as known"
def test_green(): pass
@pytest.fixture
def broken(): raise OSError
def test_broken(broken): pass
@pytest.mark.parametrize("how", ["a b"])
def test_each(how): assert how != "a b"
"""
ALL = "\n".join(
    [
        RED,
        "tests/test_one.py::test_broken: no disk (issue 7)",
        "tests/test_one.py::test_each[a b]: a space (issue 8)",
    ]
)


@pytest.mark.parametrize(
    "red, ends, says",
    [
        (None, 1, "2 failed, 1 passed, 1 error"),
        (RED, 1, "known red: " + RED),
        (ALL, 0, "known red: " + RED),
        (ALL.replace("test_broken: ", "test_green: "), 1, "XPASS(strict)"),
        (ALL + "\ntests/test_one.py::test_green: more (issue 9)", 4, "4 lines, where 3 are allowed"),
        (RED + "\n" + RED, 4, "twice"),
        ("tests/test_one.py::test_red fails", 4, "KNOWN-RED.txt:1: not"),
        (RED.replace("test_red", "test_blue"), 4, "names no test"),
    ],
    ids=[
        "no file",
        "others fail",
        "exactly these",
        "one passes",
        "a fourth",
        "twice",
        "malformed",
        "no test",
    ],
)
def test_exactly_the_failures_that_are_named_pass(
    red: str | None, ends: int, says: str, tmp_path: Path
) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tmp_path / "tests" / "test_one.py").write_text(TESTS)
    (tmp_path / "tests" / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    if red is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(red + "\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    ended = subprocess.run(
        command,
        cwd=tmp_path,
        text=True,
        capture_output=True,
        timeout=120,
        env={**os.environ, "PYTHONPATH": ""},
    )
    assert ended.returncode == ends and says in ended.stdout + ended.stderr, ended.stdout + ended.stderr
