"""A client that has left gets nothing sent on any more, whatever it has written behind its request."""

from __future__ import annotations

from pathlib import Path

import pytest

from pumicepath.http1.parsing import ResponseParser
from pumicepath.lab.loopback.scripted import http_response, read_message
from pumicepath.sidecar import client_presence
from pumicepath.sidecar.arrival import unread_bytes
from pumicepath.sidecar.servers import start_thread

from .rig import Rig, wait_until

UNREAD_BYTES = 32 * 1024


# Further attempts began 0.4 s after the close, which was hidden behind 200 kB that nobody had read.
@pytest.mark.parametrize("unread", [20_000_000, UNREAD_BYTES // 2, 0])
def test_no_further_attempt_begins_once_the_client_has_left(
    unread: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The request is as old at once as one whose client can have left 0.1 s ago.
    monkeypatch.setattr(client_presence, "CHECK_AFTER_US", -1)
    monkeypatch.setattr(client_presence, "HIDDEN_END_AFTER_US", -1)
    rig = Rig(tmp_path, servers=2)
    client_sock, client = rig.connect()
    start_thread(client.run)
    client_sock.sendall(rig.request("leaves", "read", 2000))
    wait_until(lambda: rig.deployment.transcript)
    client_sock.setblocking(False)
    sent = client_sock.send(bytes(unread)) if unread else 0
    wait_until(lambda: unread_bytes(client.sock) >= min(sent, UNREAD_BYTES))
    client_sock.close()
    if unread < UNREAD_BYTES:
        wait_until(client.has_left)
    rig.deployment.script.put((b"", "reset"))
    wait_until(lambda: client not in rig.clients.open)
    assert len(rig.deployment.transcript) == 1


def test_a_client_that_writes_much_behind_its_request_is_answered_and_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It acknowledges the beginning of its answer, so that it is known to be there: tried again, served."""
    monkeypatch.setattr(client_presence, "CHECK_AFTER_US", -1)
    monkeypatch.setattr(client_presence, "HIDDEN_END_AFTER_US", -1)
    rig = Rig(tmp_path, servers=2)
    client_sock, client = rig.connect()
    start_thread(client.run)
    client_sock.sendall(rig.request("first", "read", 2000))
    wait_until(lambda: rig.deployment.transcript)
    filler = b"\r\n" * (UNREAD_BYTES // 2)
    client_sock.sendall(filler[:16_000] + rig.request("second", "read", 2000) + filler * 2)
    wait_until(lambda: unread_bytes(client.sock) >= UNREAD_BYTES)
    rig.deployment.script.put((b"", "reset"))
    parser = ResponseParser()
    for name in ("first", "second"):
        rig.deployment.script.put(http_response(200, name))
        response = read_message(client_sock, parser)
        assert response is not None and response.status == 200 and response.body.decode() == name
