"""Relays that follow a script, and a real sidecar that follows them."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
from pathlib import Path
from typing import Any

from pumicepath.distribution.homes import Homes
from pumicepath.http1.parsing import RequestParser, ResponseParser
from pumicepath.lab.loopback.scripted import Deployment, ScriptedServer, http_response, read_message


class Relay:
    """A stand-in that answers as relays do, for as long as it is to: `state` is serving, busy or silent."""

    def __init__(self, seq: int, *regions: str) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(None)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.change = threading.Condition()
        self.state = "serving"
        self.accepted = 0
        self.seq = self.first = seq
        self.regions: dict[str, dict] = {}
        self.lines: dict[str, dict] = {}
        self.news: list[tuple[int, dict]] = []
        self.asked: list[tuple[float, str]] = []
        self.open: set[socket.socket] = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            try:
                sock = self.listener.accept()[0]
            except OSError:
                return
            self.open.add(sock)
            self.accepted += 1
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        sock.settimeout(None)
        parser = RequestParser()
        try:
            while (request := read_message(sock, parser)) is not None:
                with self.change:
                    self.asked.append((time.monotonic(), request.target))
                    data = self.answer(request.target)
                if data:
                    sock.sendall(data)
        except OSError:
            pass
        self.open.discard(sock)
        sock.close()

    def answer(self, target: str) -> bytes:
        given = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        since = int(given.get("since", -1))
        if self.first <= since:
            wait = int(given["timeout_ms"]) / 1000
            self.change.wait_for(lambda: self.seq > since or self.state != "serving", wait)
        if self.state == "silent":
            return b""
        if self.state == "busy":
            return http_response(503)
        whole = not self.first <= since <= self.seq
        lines = list(self.lines.values()) if whole else [one for seq, one in self.news if seq > since]
        return http_response(
            200, json.dumps({"seq": self.seq, "whole": whole, "hosts": lines, "regions": self.regions})
        )

    def tell(self, region: str, seq: int, live: bool, *lines: dict) -> Relay:
        with self.change:
            self.seq += 1
            self.regions[region] = {"seq": seq, "live": live}
            for line in lines:
                self.lines[line["host"]] = {**line, "region": region, "service": "cart"}
                self.news.append((self.seq, self.lines[line["host"]]))
            self.change.notify_all()
        return self

    def turn(self, state: str) -> None:
        with self.change:
            self.state = state
            self.change.notify_all()

    def kill(self) -> None:
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in list(self.open):
            sock.shutdown(socket.SHUT_RDWR)

    def taken(self) -> bool:
        """Whether the newest that it has told has been taken."""
        return f"since={self.seq}&" in (self.asked[-1][1] if self.asked else "")


class Answering(ScriptedServer):
    """A server that answers whatever comes."""

    def serve(self, sock: socket.socket) -> None:
        parser = RequestParser()
        sock.settimeout(None)
        with sock, contextlib.suppress(OSError):
            while read_message(sock, parser) is not None:
                self.transcript.append(f"{self.name}: asked")
                sock.sendall(http_response(200, "fine"))


class Around(Deployment):
    """One real sidecar, servers that answer whatever comes, and relays in the order that it has of them."""

    def __init__(
        self, folder: Path, count: int, waits: float = 0.6, servers: int = 2, **changed: Any
    ) -> None:
        super().__init__(folder, 0, **changed)
        self.servers = [Answering(f"s-{at}", self.script, self.transcript) for at in range(servers)]
        self.configuration["known"] = self.list_document(1, True, "active")
        relays = {relay.address: relay for relay in (Relay(1000 * (at + 1)) for at in range(count))}
        order = Homes("n0", list(relays), lambda: 0.5).order
        self.relays = [relays[at] for at in order]
        self.configuration["relays"] = list(relays)
        if waits:
            self.configuration["settings"]["rules"]["askEveryS"] = waits / 2
        self.write()

    def write(self, **changed: Any) -> None:
        self.configuration.update(changed)
        self.config_path.write_text(json.dumps(self.configuration))

    def lines_now(self, *healths: str) -> list[dict]:
        return [
            {**line, "health": health}
            for line, health in zip(self.list_document(1, True, "active")["hosts"], healths)
        ]

    def used(self, requests: int) -> set[str]:
        """Which servers are sent anything until so many requests are served, however slow the machine is."""
        del self.transcript[:]
        end = time.monotonic() + 20
        while requests:
            assert time.monotonic() < end
            with socket.create_connection(self.address) as sock:
                self.send("read", sock=sock)
                response = self.receive(sock, ResponseParser())
            requests -= response is not None and response.status == 200
        return {line.partition(":")[0] for line in self.transcript if line.startswith("s-")}
