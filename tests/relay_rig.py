"""Real relays, an origin that does as it is told, and followers that speak to relays from the test itself."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

from pumicepath.http1 import writing
from pumicepath.http1.parsing import RequestParser, ResponseParser
from pumicepath.lab.loopback.scripted import read_message

LONG_S = 20


def line(host: str, service: str | None = None, health: str = "active", port: int = 9000) -> dict[str, Any]:
    told = {
        "host": host,
        "dial": f"127.0.0.9:{port}",
        "site": "a",
        "class": "m",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }
    return told if service is None else {**told, "service": service}


def until(holds: Callable[[], object], seconds: float = LONG_S) -> None:
    end = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < end, "it did not come"
        time.sleep(0.002)


class Origin:
    """A region's discovery: `put` and `drop` are changes; it may fall silent, refuse, or begin anew."""

    def __init__(self, lines: Iterable[dict[str, Any]] = (), seq: int = 1) -> None:
        self.some = threading.Condition()
        self.lines = {str(one["host"]): one for one in lines}
        self.seq = self.first = seq
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.silent = False
        self.scripted: list[bytes] = []  # bodies that are answered first, whatever is asked
        self.calls: list[str] = []
        self.open: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.where = self.listener.getsockname()
        self.address = f"127.0.0.1:{self.where[1]}"
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def put(self, *lines: dict[str, Any]) -> None:
        with self.some:
            self.seq += 1
            for one in lines:
                self.log.append((self.seq, one))
                if one["health"] == "left":
                    self.lines.pop(str(one["host"]), None)
                else:
                    self.lines[str(one["host"])] = one
            self.some.notify_all()

    def drop(self, *hosts: str) -> None:
        self.put(*({**self.lines[host], "health": "left"} for host in hosts))

    def restart(self, seq: int, lines: Iterable[dict[str, Any]]) -> None:
        """Its versions and its list begin anew."""
        with self.some:
            self.lines = {str(one["host"]): one for one in lines}
            self.seq = self.first = seq
            self.log = []
        self.reset()

    def hush(self, silent: bool) -> None:
        """Connections come up and stay open; nothing is answered."""
        with self.some:
            self.silent = silent
            self.some.notify_all()
        if not silent:
            self.reset()

    def refuse(self) -> None:
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.reset()

    def back(self) -> None:
        self.listener = socket.create_server(self.where)
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def reset(self) -> None:
        with self.some:
            open_now, self.open = self.open, []
        for sock in open_now:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock = listener.accept()[0]
            except OSError:
                return
            sock.settimeout(None)
            with self.some:
                self.open.append(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        parser = RequestParser()
        try:
            while (request := read_message(sock, parser)) is not None:
                body = self.answer(request.target)
                sock.sendall(writing.response(200, [], body, True))
        except OSError:
            pass
        sock.close()

    def answer(self, target: str) -> bytes:
        asked = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        with self.some:
            self.calls.append(target)
            if self.scripted and not self.silent:
                return self.scripted.pop(0)
            since = int(asked.get("since", -1))
            whole = not self.first <= since <= self.seq
            if not whole:
                self.some.wait_for(
                    lambda: self.seq != since or self.silent, int(asked.get("timeout_ms", 0)) / 1000
                )
            self.some.wait_for(lambda: not self.silent)
            if whole or not self.first <= since <= self.seq:
                hosts = self.lines
            else:
                hosts = {str(one["host"]): one for seq, one in self.log if seq > since}
            return json.dumps(
                {"seq": self.seq, "whole": hosts is self.lines, "hosts": list(hosts.values())}
            ).encode()


class Relay:
    """A relay as a process of its own."""

    def __init__(
        self, folder: Path, sources: dict[str, Origin], name: str = "r0", files: int = 0, **changed: Any
    ) -> None:
        self.path = folder / f"{name}.json"
        self.told: dict[str, Any] = {
            "name": name,
            "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "sources": {region: origin.address for region, origin in sources.items()},
            **changed,
        }
        self.files = files
        self.events: list[dict[str, Any]] = []
        self.begin()

    def begin(self) -> None:
        self.path.write_text(json.dumps(self.told))

        def limit() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.files, self.files))

        self.process = subprocess.Popen(
            [sys.executable, "-m", "pumicepath", "relay", "--config", str(self.path)],
            stdout=subprocess.PIPE,
            env={**os.environ},
            preexec_fn=limit if self.files else None,
        )
        self.reader = threading.Thread(target=self.read, args=(self.process.stdout,), daemon=True)
        self.reader.start()
        started = self.event("started")
        host, _, port = started["listen"].rpartition(":")
        self.where = (host, int(port))
        host, _, port = started["admin"].rpartition(":")
        self.admin = (host, int(port))

    def read(self, pipe: Any) -> None:
        for text in pipe:
            self.events.append(json.loads(text))

    def named(self, name: str) -> list[dict[str, Any]]:
        return [event for event in list(self.events) if event["event"] == name]

    def event(self, name: str, count: int = 1) -> dict[str, Any]:
        """The so-many-eth such event, waited for."""
        until(lambda: len(self.named(name)) >= count)
        return self.named(name)[count - 1]

    def again(self) -> None:
        """Killed, and started anew at the same addresses."""
        self.kill()
        self.told["listen"] = f"{self.where[0]}:{self.where[1]}"
        self.events.clear()
        self.begin()

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    def kill(self) -> None:
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()

    def stats(self) -> dict[str, int]:
        with socket.create_connection(self.admin, LONG_S) as sock:
            sock.sendall(writing.request("GET", "/stats", [("Host", "a")]))
            body = read_message(sock, ResponseParser(1 << 20)).body.decode()
        return {
            name.removeprefix("edge_gw.relay."): int(value)
            for name, _, value in (text.partition("=") for text in body.splitlines())
        }


class Follower:
    """Follows services at a relay by hand: `call` asks once, `follow` until something holds."""

    def __init__(self, where: tuple[str, int], services: str | None = "*") -> None:
        self.services = services
        self.held: dict[str, dict[str, Any]] = {}
        self.regions: dict[str, dict[str, Any]] = {}
        self.seq = -1
        self.dial(where)

    def dial(self, where: tuple[str, int]) -> None:
        self.sock = socket.create_connection(where, LONG_S)
        self.parser = ResponseParser(64 << 20)

    def target(self, wait_ms: int) -> str:
        parts = [f"since={self.seq}&timeout_ms={wait_ms}"] if self.seq >= 0 else []
        parts += [f"services={self.services}"] if self.services is not None else []
        return "/discovery/hosts" + ("?" + "&".join(parts) if parts else "")

    def ask(self, wait_ms: int = 3000) -> None:
        self.sock.sendall(writing.request("GET", self.target(wait_ms), [("Host", "relay")]))

    def hear(self) -> dict[str, Any] | None:
        response = read_message(self.sock, self.parser)
        if response is None or response.status != 200:
            return None
        told: dict[str, Any] = orjson.loads(response.body)
        names = [one["host"] for one in told["hosts"]]
        assert len(set(names)) == len(names), "a server twice"
        if told["whole"]:
            self.held = {}
        for one in told["hosts"]:
            if one["health"] == "left":
                self.held.pop(one["host"], None)
            else:
                self.held[one["host"]] = one
        self.seq = told["seq"]
        self.regions = told.get("regions", {})
        return told

    def call(self, wait_ms: int = 3000) -> dict[str, Any] | None:
        self.ask(wait_ms)
        return self.hear()

    def follow(self, holds: Callable[[], object], wait_ms: int = 500) -> None:
        """Until that holds; a 503 is asked again."""
        end = time.monotonic() + LONG_S
        while not holds():
            assert time.monotonic() < end, "it did not come"
            if self.call(wait_ms) is None:
                time.sleep(0.02)

    def close(self) -> None:
        self.sock.close()
