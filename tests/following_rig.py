"""Scripted relays, and a real sidecar that follows them."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
from pathlib import Path
from typing import Any

from pumicepath.distribution.relay_selector import RelaySelector
from pumicepath.http1.parsing import RequestParser, ResponseParser
from pumicepath.lab.loopback.scripted import Deployment, ScriptedServer, http_response, read_message


class ScriptedRelay:
    """A stand-in for a relay; `state` is "serving", "busy" (answers 503) or "silent" (answers nothing)."""

    def __init__(self, seq: int, *regions: str) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(None)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.changed = threading.Condition()
        self.state = "serving"
        self.accepted = 0
        self.seq = self.first = seq
        self.regions: dict[str, dict] = {}
        self.lines: dict[str, dict] = {}
        self.changes: list[tuple[int, dict]] = []
        self.requests: list[tuple[float, str]] = []
        self.connections: set[socket.socket] = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            try:
                sock = self.listener.accept()[0]
            except OSError:
                return
            self.connections.add(sock)
            self.accepted += 1
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        sock.settimeout(None)
        parser = RequestParser()
        try:
            while (request := read_message(sock, parser)) is not None:
                with self.changed:
                    self.requests.append((time.monotonic(), request.target))
                    data = self.answer(request.target)
                if data:
                    sock.sendall(data)
        except OSError:
            pass
        self.connections.discard(sock)
        sock.close()

    def answer(self, target: str) -> bytes:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        since = int(query.get("since", -1))
        if self.first <= since:
            wait = int(query["timeout_ms"]) / 1000
            self.changed.wait_for(lambda: self.seq > since or self.state != "serving", wait)
        if self.state == "silent":
            return b""
        if self.state == "busy":
            return http_response(503)
        whole = not self.first <= since <= self.seq
        lines = list(self.lines.values()) if whole else [one for seq, one in self.changes if seq > since]
        return http_response(
            200, json.dumps({"seq": self.seq, "whole": whole, "hosts": lines, "regions": self.regions})
        )

    def publish(self, region: str, seq: int, live: bool, *lines: dict) -> ScriptedRelay:
        with self.changed:
            self.seq += 1
            self.regions[region] = {"seq": seq, "live": live}
            for line in lines:
                self.lines[line["host"]] = {**line, "region": region, "service": "cart"}
                self.changes.append((self.seq, self.lines[line["host"]]))
            self.changed.notify_all()
        return self

    def set_state(self, state: str) -> None:
        with self.changed:
            self.state = state
            self.changed.notify_all()

    def kill(self) -> None:
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in list(self.connections):
            sock.shutdown(socket.SHUT_RDWR)

    def is_caught_up(self) -> bool:
        """Whether the last request asks for changes after the newest version, which has thus been applied."""
        return f"since={self.seq}&" in (self.requests[-1][1] if self.requests else "")


class AnsweringServer(ScriptedServer):
    """A server that answers 200 to every request."""

    def serve(self, sock: socket.socket) -> None:
        parser = RequestParser()
        sock.settimeout(None)
        with sock, contextlib.suppress(OSError):
            while read_message(sock, parser) is not None:
                self.transcript.append(f"{self.name}: asked")
                sock.sendall(http_response(200, "fine"))


class RelayDeployment(Deployment):
    """One real sidecar, servers that answer every request, and relays in the order that it prefers them."""

    def __init__(
        self, folder: Path, count: int, max_wait: float = 0.6, servers: int = 2, **changed: Any
    ) -> None:
        super().__init__(folder, 0, **changed)
        self.servers = [AnsweringServer(f"s-{at}", self.script, self.transcript) for at in range(servers)]
        self.configuration["known"] = self.list_document(1, True, "active")
        relays = {relay.address: relay for relay in (ScriptedRelay(1000 * (at + 1)) for at in range(count))}
        order = RelaySelector("n0", list(relays), lambda: 0.5).order
        self.relays = [relays[at] for at in order]
        self.configuration["relays"] = list(relays)
        if max_wait:
            self.configuration["settings"]["rules"]["askEveryS"] = max_wait / 2
        self.write_config()

    def write_config(self, **changed: Any) -> None:
        self.configuration.update(changed)
        self.write_configuration()

    def lines_with_health(self, *healths: str) -> list[dict]:
        return [
            {**line, "health": health}
            for line, health in zip(self.list_document(1, True, "active")["hosts"], healths)
        ]

    def servers_used(self, requests: int) -> set[str]:
        """The servers that receive anything until `requests` are served, however slow the machine is."""
        del self.transcript[:]
        end = time.monotonic() + 20
        while requests:
            assert time.monotonic() < end
            with socket.create_connection(self.address) as sock:
                self.send("read", sock=sock)
                response = self.receive(sock, ResponseParser())
            requests -= response is not None and response.status == 200
        return {line.partition(":")[0] for line in self.transcript if line.startswith("s-")}
