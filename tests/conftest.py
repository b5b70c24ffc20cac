"""Tests that fail for a known fault: `KNOWN-RED.txt` at the root lets exactly their failures pass.

A line a test, three at most: `tests/test_x.py::test_y: cause (issue 7)`; they are printed.  A line whose test
passes fails the run, as does one that is malformed or names no test.  With no such file nothing differs.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3
ENTRY_PATTERN = re.compile(r"(\S+?::.+?): (.+) \(issue (\d+)\)")


def read_known_failures(path: Path) -> dict[str, str]:
    """Tests by their ids, with cause and issue."""
    known: dict[str, str] = {}
    for number, line in enumerate(path.read_text().splitlines() if path.exists() else [], 1):
        match = ENTRY_PATTERN.fullmatch(line)
        if match is None:
            raise pytest.UsageError(f"{FILE_NAME}:{number}: not 'test: cause (issue N)': {line!r}")
        if match[1] in known:
            raise pytest.UsageError(f"{FILE_NAME}:{number}: {match[1]} is there twice")
        known[match[1]] = f"{match[2]} (issue {match[3]})"
    if len(known) > MAX_ENTRIES:
        raise pytest.UsageError(f"{FILE_NAME}: {len(known)} lines, where {MAX_ENTRIES} are allowed")
    return known


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = read_known_failures(config.rootpath / FILE_NAME)
    named = {item.nodeid: item for item in items if item.nodeid in known}
    missing = sorted(set(known) - set(named))
    if missing and config.args_source != pytest.Config.ArgsSource.ARGS:  # else it may only not be asked for
        raise pytest.UsageError(f"{FILE_NAME}: {missing[0]} names no test")
    for name, item in named.items():
        item.add_marker(pytest.mark.xfail(strict=True, reason=f"known red: {known[name]}"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for name, cause in read_known_failures(config.rootpath / FILE_NAME).items():
        terminalreporter.write_line(f"known red: {name}: {cause}")
