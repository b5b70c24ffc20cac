"""Expected failures: tests listed in `KNOWN-RED.txt` at the repository root may fail without failing the run.

The file has one entry for each test, at most three, with a blank line between two of them:

    test: tests/test_x.py::test_y
    command: python -m pytest tests/test_x.py::test_y
    seed: 5301
    seen: the second answer came 0.4 s late
    issue: 7

`seed` is `none` where nothing is drawn.  The listed tests are marked as strict expected failures and printed
in the summary.  The run fails if a listed test passes, if an entry is malformed, or if it names no test.
Without the file, pytest behaves as usual.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3


class KnownFailure(NamedTuple):
    """One entry; the fields are its keys, in this order."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test}: {self.seen} (seed {self.seed}, issue {self.issue}; {self.command})"


def parse_entry(number: int, lines: list[str]) -> KnownFailure:
    """Parse the entry that begins at line `number`.  Raises UsageError that names file, line and key."""
    values: list[str] = []
    for offset, key in enumerate(KnownFailure._fields):
        line = lines[offset] if offset < len(lines) else ""
        name, colon, value = line.partition(": ")
        if name != key or not colon or not value.strip():
            raise pytest.UsageError(f"{FILE_NAME}:{number + offset}: not '{key}: ...': {line!r}")
        values.append(value.strip())
    if len(lines) > len(values):
        raise pytest.UsageError(
            f"{FILE_NAME}:{number + len(values)}: after the last key: {lines[len(values)]!r}"
        )
    entry = KnownFailure(*values)
    if not entry.issue.isdigit():
        raise pytest.UsageError(f"{FILE_NAME}:{number + len(values) - 1}: issue: no number: {entry.issue!r}")
    return entry


def read_known_failures(path: Path) -> dict[str, KnownFailure]:
    """Return the entries by the node id of their test.  Raises UsageError for an invalid file."""
    known: dict[str, KnownFailure] = {}
    block: list[str] = []
    # A last blank line ends the last entry.
    for number, line in enumerate([*path.read_text().splitlines(), ""] if path.exists() else [], 1):
        if line.strip():
            block.append(line)
            continue
        if not block:
            continue
        entry = parse_entry(number - len(block), block)
        if entry.test in known:
            raise pytest.UsageError(f"{FILE_NAME}: {entry.test} is listed twice")
        known[entry.test] = entry
        block = []
    if len(known) > MAX_ENTRIES:
        raise pytest.UsageError(f"{FILE_NAME}: {len(known)} entries, where {MAX_ENTRIES} are allowed")
    return known


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as strict expected failures; raise UsageError if an entry names no test."""
    known = read_known_failures(config.rootpath / FILE_NAME)
    named = {item.nodeid: item for item in items if item.nodeid in known}
    missing = sorted(set(known) - set(named))
    # A run of tests named on the command line need not collect the listed ones.
    if missing and config.args_source != pytest.Config.ArgsSource.ARGS:
        raise pytest.UsageError(f"{FILE_NAME}: {missing[0]} names no test")
    for name, item in named.items():
        item.add_marker(pytest.mark.xfail(strict=True, reason=f"known red: {known[name]}"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the listed tests."""
    for entry in read_known_failures(config.rootpath / FILE_NAME).values():
        terminalreporter.write_line(f"known red: {entry}")
