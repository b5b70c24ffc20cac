"""Fixtures, and expected failures: tests in `KNOWN-RED.txt` at the root may fail without failing the run.

The file has one entry for each test, with a blank line between two of them:

    test: tests/test_x.py::test_y
    command: python -m pytest tests/test_x.py::test_y
    seed: 5301
    seen: the second answer came 0.4 s late
    issue: 7

`seed` is `none` where nothing is drawn.  The listed tests are marked as strict expected failures and printed
in the summary.  The run fails if a listed test passes, if an entry is malformed, or if it names no test.
There are at most three such entries.  Without the file, pytest behaves as usual.

A test that fails now and then, or on some machines only, has the line `decides: no` at the end of its entry.
It is run, and the summary has its outcome, which decides nothing; the rest of the entry is as strict.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

from pumicepath.sidecar import clock

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3


KEYS = ("test", "command", "seed", "seen", "issue")
NOT_DECIDING = "decides: no"


class KnownFailure(NamedTuple):
    """One entry: its keys, in this order, and whether its test must fail."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str
    decides: bool

    def __str__(self) -> str:
        return f"{self.test}: {self.seen} (seed {self.seed}, issue {self.issue}; {self.command})"


@pytest.fixture
def still_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have no time pass for what reads the sidecar's clock, however long the test is kept from running."""
    time_us = clock.now()
    monkeypatch.setattr(clock, "now", lambda: time_us)


def parse_entry(number: int, lines: list[str]) -> KnownFailure:
    """Parse the entry that begins at line `number`.  Raises UsageError that names file, line and key."""
    values: list[str] = []
    decides = lines[-1].strip() != NOT_DECIDING
    if not decides:
        lines = lines[:-1]
    for offset, key in enumerate(KEYS):
        line = lines[offset] if offset < len(lines) else ""
        name, colon, value = line.partition(": ")
        if name != key or not colon or not value.strip():
            raise pytest.UsageError(f"{FILE_NAME}:{number + offset}: not '{key}: ...': {line!r}")
        values.append(value.strip())
    if len(lines) > len(values):
        raise pytest.UsageError(
            f"{FILE_NAME}:{number + len(values)}: after the last key: {lines[len(values)]!r}"
        )
    entry = KnownFailure(*values, decides)  # type: ignore[call-arg]
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
    count = sum(entry.decides for entry in known.values())
    if count > MAX_ENTRIES:
        raise pytest.UsageError(f"{FILE_NAME}: {count} entries, where {MAX_ENTRIES} are allowed")
    return known


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures; raise UsageError if an entry names no test."""
    known = read_known_failures(config.rootpath / FILE_NAME)
    named = {item.nodeid: item for item in items if item.nodeid in known}
    missing = sorted(set(known) - set(named))
    # A run of tests named on the command line need not collect the listed ones.
    if missing and config.args_source != pytest.Config.ArgsSource.ARGS:
        raise pytest.UsageError(f"{FILE_NAME}: {missing[0]} names no test")
    for name, item in named.items():
        reason = f"known red: {known[name]}"
        item.add_marker(pytest.mark.xfail(strict=known[name].decides, reason=reason))


def outcome_of(terminalreporter: pytest.TerminalReporter, test: str) -> str:
    """Return what became of a test that does not decide."""
    for category, outcome in (("xfailed", "failed"), ("xpassed", "passed")):
        if any(report.nodeid == test for report in terminalreporter.stats.get(category, [])):
            return outcome
    return "not run"


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the listed tests."""
    for entry in read_known_failures(config.rootpath / FILE_NAME).values():
        if entry.decides:
            terminalreporter.write_line(f"known red: {entry}")
        else:
            outcome = outcome_of(terminalreporter, entry.test)
            terminalreporter.write_line(f"known red, not deciding, {outcome}: {entry}")
