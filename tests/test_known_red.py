"""KNOWN-RED.txt: exactly the listed tests may fail, and malformed or outdated lists are rejected."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest


def entry(test: str, seen: str = "the clock steps", **changed: str) -> str:
    """An entry for a test of the module below; `changed` replaces the values of keys."""
    values = {
        "test": f"tests/test_one.py::{test}",
        "command": f"python -m pytest tests/test_one.py -k {test}",
        "seed": "none",
        "seen": seen,
        "issue": "7",
        **changed,
    }
    return "\n".join(f"{key}: {value}" for key, value in values.items())


ONE_ENTRY = entry("test_red")
PRINTED = (
    "known red: tests/test_one.py::test_red: the clock steps"
    " (seed none, issue 7; python -m pytest tests/test_one.py -k test_red)"
)
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
ALL_ENTRIES = "\n\n".join([ONE_ENTRY, entry("test_broken", "no disk"), entry("test_each[a b]", "a space")])
NOT_DECIDING = ONE_ENTRY + "\ndecides: no"
PASSING_NOT_DECIDING = entry("test_green") + "\ndecides: no"
OTHERS = "\n\n".join([entry("test_broken"), entry("test_each[a b]")])
PASSING = ALL_ENTRIES.replace("::test_broken", "::test_green")


@pytest.mark.parametrize(
    "entries, exit_code, expected",
    [
        (None, 1, "2 failed, 1 passed, 1 error"),
        (ONE_ENTRY, 1, PRINTED),
        (ALL_ENTRIES, 0, PRINTED),
        ("\n\n" + ALL_ENTRIES + "\n\n", 0, PRINTED),
        (PASSING, 1, "XPASS(strict)"),
        (ALL_ENTRIES + "\n\n" + entry("test_green"), 4, "4 entries, where 3 are allowed"),
        (ONE_ENTRY + "\n\n" + ONE_ENTRY, 4, "twice"),
        (ONE_ENTRY + "\n" + ONE_ENTRY, 4, "KNOWN-RED.txt:6: after the last key: 'test: "),
        ("tests/test_one.py::test_red: the clock steps (issue 7)", 4, "KNOWN-RED.txt:1: not 'test: ...'"),
        (ONE_ENTRY.replace("seed: none\n", ""), 4, "KNOWN-RED.txt:3: not 'seed: ...': 'seen: "),
        (entry("test_red", " "), 4, "KNOWN-RED.txt:4: not 'seen: ...'"),
        (ONE_ENTRY.rpartition("\n")[0], 4, "KNOWN-RED.txt:5: not 'issue: ...': ''"),
        (entry("test_red", issue="soon"), 4, "KNOWN-RED.txt:5: issue: no number: 'soon'"),
        (entry("test_blue"), 4, "names no test"),
        (
            OTHERS + "\n\n" + NOT_DECIDING,
            0,
            PRINTED.replace("known red:", "known red, not deciding, failed:"),
        ),
        (
            ALL_ENTRIES + "\n\n" + PASSING_NOT_DECIDING,
            0,
            "known red, not deciding, passed: tests/test_one.py::test_green: the clock steps",
        ),
        (NOT_DECIDING, 1, "1 failed, 1 passed, 1 xfailed, 1 error"),
        (ONE_ENTRY + "\ndecides: yes", 4, "KNOWN-RED.txt:6: after the last key: 'decides: yes'"),
        (NOT_DECIDING + "\ndecides: no", 4, "KNOWN-RED.txt:6: after the last key: 'decides: no'"),
        ("decides: no", 4, "KNOWN-RED.txt:1: not 'test: ...': ''"),
        (NOT_DECIDING.replace("seed: none\n", ""), 4, "KNOWN-RED.txt:3: not 'seed: ...': 'seen: "),
        (entry("test_blue") + "\ndecides: no", 4, "names no test"),
    ],
    ids=[
        "no file",
        "others fail",
        "exactly these",
        "blank lines around",
        "one passes",
        "a fourth",
        "twice",
        "no blank line between",
        "former form",
        "no seed",
        "nothing seen",
        "no issue",
        "issue without a number",
        "no test",
        "one that does not decide fails",
        "one that does not decide passes, besides three",
        "others fail beside one that does not decide",
        "decides in other words",
        "decides twice",
        "nothing but decides",
        "does not decide, without a seed",
        "does not decide, and no test",
    ],
)
def test_only_the_listed_failures_pass(
    entries: str | None, exit_code: int, expected: str, tmp_path: Path
) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tmp_path / "tests" / "test_one.py").write_text(TEST_MODULE)
    (tmp_path / "tests" / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    if entries is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(entries + "\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    result = subprocess.run(
        command,
        cwd=tmp_path,
        text=True,
        capture_output=True,
        timeout=120,
        env={**os.environ, "PYTHONPATH": ""},
    )
    output = result.stdout + result.stderr
    assert result.returncode == exit_code and expected in output, output
