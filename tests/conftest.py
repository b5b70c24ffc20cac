"""Expected failures: tests listed in `KNOWN-RED.txt` at the repository root may fail without failing the run.

The file has one line for each test, at most three: `tests/test_x.py::test_y: cause (issue 7)`.  The listed
tests are marked as strict expected failures and printed in the summary.  The run fails if a listed test
passes, if a line is malformed, or if it names no test.  Without the file, pytest behaves as usual.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3
ENTRY_PATTERN = re.compile(r"(\S+?::.+?): (.+) \(issue (\d+)\)")


def read_known_failures(path: Path) -> dict[str, str]:
    """Return the listed tests: node id -> cause and issue.  Raises UsageError for an invalid file."""
    known: dict[str, str] = {}
    for number, line in enumerate(path.read_text().splitlines() if path.exists() else [], 1):
        match = ENTRY_PATTERN.fullmatch(line)
        if match is None:
            raise pytest.UsageError(
                f"{FILE_NAME}:{number}: not of the form 'test: cause (issue N)': {line!r}"
            )
        if match[1] in known:
            raise pytest.UsageError(f"{FILE_NAME}:{number}: {match[1]} is listed twice")
        known[match[1]] = f"{match[2]} (issue {match[3]})"
    if len(known) > MAX_ENTRIES:
        raise pytest.UsageError(f"{FILE_NAME}: {len(known)} lines, where {MAX_ENTRIES} are allowed")
    return known


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as strict expected failures; raise UsageError if a line names no test."""
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
    for name, cause in read_known_failures(config.rootpath / FILE_NAME).items():
        terminalreporter.write_line(f"known red: {name}: {cause}")
