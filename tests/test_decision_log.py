"""Why connections were closed, attempts repeated and requests refused stands in log and metrics."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

from pumicepath.admin.metrics import Metrics
from pumicepath.http1 import writing
from pumicepath.http1.parsing import ResponseParser
from pumicepath.lab.loopback.scripted import Deployment, http_response, read_message
from pumicepath.sidecar.decision_log import MAX_SAMPLES, CloseReason, Decision, DecisionLog


def test_a_second_of_decisions_is_one_line_with_few_examples() -> None:
    """A log line for each of thousands of refusals would fill the log's queue and push other events out."""
    decisions = DecisionLog(Metrics())
    lines: list[dict[str, Any]] = []

    def record(event: str, **fields: Any) -> None:
        lines.append({"event": event, **fields})

    for at in range(1000):
        decisions.note(Decision.REFUSED, "memory", f"t{at}")
    decisions.note(Decision.CLOSED, CloseReason.IDLE)
    decisions.report(record)
    assert len(lines) == 1 and len(lines[0].pop("samples")) == MAX_SAMPLES
    assert lines == [{"event": "decisions", "closed": {"idle": 1}, "refused": {"memory": 1000}}]
    decisions.note(Decision.CLOSED, CloseReason.IDLE)
    decisions.report(record)
    assert len(lines) == 1 and decisions.metrics.render((), {}).endswith("closed.idle=2\n")


def test_retries_refusals_and_closes_are_logged_with_id_reason_and_server(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 2)
    deployment.environment["GW_ADMIN_ADDR"] = "127.0.0.1:0"
    with deployment.running():
        deployment.script.put((b"", "reset"))
        deployment.script.put(http_response(200, "ok"))
        deployment.send("read", method="GET")
        deployment.receive()
        event = deployment.next_event("decisions")
        assert event["retried"] == event["ended"] == {"reset": 1}
        ended, retried = event["samples"]
        assert {ended.pop("server"), retried.pop("server")} == {"s-0", "s-1"}
        assert ended == {"what": "ended", "why": "reset", "id": "t1"}
        assert retried == {"what": "retried", "why": "reset", "id": "t1"}
        with socket.create_connection(deployment.address) as sock:
            sock.sendall(writing.request("GET", "/api", [("Host", "a"), ("X-Qos", "read")]) * 3)
            parser = ResponseParser()
            assert [read_message(sock, parser).status for _ in range(3)] == [400, 400, 400]
        assert deployment.next_event("decisions")["closed"] == {"bad_request": 1}
        names = {name.removeprefix("edge_gw.") for name in deployment.metrics()}
        assert {"ended.reset", "retried.reset", "closed.bad_request"} <= names
