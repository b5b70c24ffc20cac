"""What tests stand on: an event that does not come fails a test by name, and holds nothing up."""

from __future__ import annotations

import subprocess
import sys

import pytest

from pumicepath.lab.loopback import scripted

SAYS = """
import json, sys, time
for event in "started", "reloaded", "stopped":
    print(json.dumps({"event": event}), flush=True)
print(json.dumps({"event": "x" * 200_000}), flush=True)     # more than a pipe holds
print(json.dumps({"event": "last"}), flush=True)
time.sleep(float(sys.argv[1]))
"""


def logged(seconds: float) -> scripted.EventLog:
    return scripted.EventLog(
        subprocess.Popen([sys.executable, "-c", SAYS, str(seconds)], stdout=subprocess.PIPE)
    )


def test_events_come_in_their_order_and_the_end_of_the_log_is_said_each_time() -> None:
    log = logged(0)
    assert log.next_event(("started",)) == {"event": "started"}
    assert log.next_event(("reload_failed", "stopped")) == {"event": "stopped"}
    assert log.process.wait(60) == 0  # nobody has to read for it to end
    for _ in range(2):
        with pytest.raises(AssertionError, match="the log ended before reloaded"):
            log.next_event(("reloaded",))
    assert [event["event"][:9] for event in log.all_events] == [
        "started",
        "reloaded",
        "stopped",
        "x" * 9,
        "last",
    ]


def test_an_event_that_does_not_come_is_said(monkeypatch: pytest.MonkeyPatch) -> None:
    log = logged(120)
    log.next_event(("last",))
    monkeypatch.setattr(scripted, "EVENT_S", 0.05)
    with pytest.raises(AssertionError, match="no event alone within 0.05 s"):
        log.next_event(("alone",))
    log.process.kill()
    log.process.wait()
