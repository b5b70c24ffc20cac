"""KNOWN-RED.txt: which runs it lets pass."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ONE_ENTRY = "tests/test_one.py::test_red: the clock steps (issue 7)"
TEST_MODULE = """
import pytest
def test_red(): assert False, "as known"
def test_green(): pass
@pytest.fixture
def broken(): raise OSError
def test_broken(broken): pass
@pytest.mark.parametrize("how", ["a b"])
def test_each(how): assert how != "a b"
"""
ALL_ENTRIES = "\n".join(
    [
        ONE_ENTRY,
        "tests/test_one.py::test_broken: no disk (issue 7)",
        "tests/test_one.py::test_each[a b]: a space (issue 8)",
    ]
)


@pytest.mark.parametrize(
    "red, ends, says",
    [
        (None, 1, "2 failed, 1 passed, 1 error"),
        (ONE_ENTRY, 1, "known red: " + ONE_ENTRY),
        (ALL_ENTRIES, 0, "known red: " + ONE_ENTRY),
        (ALL_ENTRIES.replace("test_broken: ", "test_green: "), 1, "XPASS(strict)"),
        (ALL_ENTRIES + "\ntests/test_one.py::test_green: more (issue 9)", 4, "4 lines, where 3 are allowed"),
        (ONE_ENTRY + "\n" + ONE_ENTRY, 4, "twice"),
        ("tests/test_one.py::test_red fails", 4, "KNOWN-RED.txt:1: not"),
        (ONE_ENTRY.replace("test_red", "test_blue"), 4, "names no test"),
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
def test_only_the_listed_failures_pass(red: str | None, ends: int, says: str, tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tmp_path / "tests" / "test_one.py").write_text(TEST_MODULE)
    (tmp_path / "tests" / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    if red is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(red + "\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    result = subprocess.run(
        command,
        cwd=tmp_path,
        text=True,
        capture_output=True,
        timeout=120,
        env={**os.environ, "PYTHONPATH": ""},
    )
    assert result.returncode == ends and says in result.stdout + result.stderr, result.stdout + result.stderr
