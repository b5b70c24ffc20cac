"""Relay processes, a scripted origin, and followers that poll relays from the test itself."""

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

from .rig import stop_process

TIMEOUT_S = 20


def list_line(
    host: str, service: str | None = None, health: str = "active", port: int = 9000
) -> dict[str, Any]:
    fields = {
        "host": host,
        "dial": f"127.0.0.9:{port}",
        "site": "a",
        "class": "m",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }
    return fields if service is None else {**fields, "service": service}


def wait_until(condition: Callable[[], object], seconds: float = TIMEOUT_S) -> None:
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "timed out"
        time.sleep(0.002)


class Origin:
    """A region's discovery: `put` and `drop` change the list; it can be silent, unreachable or restarted."""

    def __init__(self, lines: Iterable[dict[str, Any]] = (), seq: int = 1) -> None:
        self.changed = threading.Condition()
        self.lines = {str(one["host"]): one for one in lines}
        self.seq = self.first = seq
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.silent = False
        self.scripted_bodies: list[bytes] = []  # answered first, whatever is requested
        self.requests: list[str] = []
        self.connections: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.socket_address = self.listener.getsockname()
        self.address = f"127.0.0.1:{self.socket_address[1]}"
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def put(self, *lines: dict[str, Any]) -> None:
        with self.changed:
            self.seq += 1
            for one in lines:
                self.changes.append((self.seq, one))
                if one["health"] == "left":
                    self.lines.pop(str(one["host"]), None)
                else:
                    self.lines[str(one["host"])] = one
            self.changed.notify_all()

    def drop(self, *hosts: str) -> None:
        self.put(*({**self.lines[host], "health": "left"} for host in hosts))

    def restart(self, seq: int, lines: Iterable[dict[str, Any]]) -> None:
        """Restart with a new list and new versions."""
        with self.changed:
            self.lines = {str(one["host"]): one for one in lines}
            self.seq = self.first = seq
            self.changes = []
        self.reset_connections()

    def set_silent(self, silent: bool) -> None:
        """While silent, connections are accepted and stay open, but nothing is answered."""
        with self.changed:
            self.silent = silent
            self.changed.notify_all()
        if not silent:
            self.reset_connections()

    def stop_listening(self) -> None:
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.reset_connections()

    def listen_again(self) -> None:
        self.listener = socket.create_server(self.socket_address)
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def reset_connections(self) -> None:
        with self.changed:
            open_now, self.connections = self.connections, []
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
            with self.changed:
                self.connections.append(sock)
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
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        with self.changed:
            self.requests.append(target)
            if self.scripted_bodies and not self.silent:
                return self.scripted_bodies.pop(0)
            since = int(query.get("since", -1))
            whole = not self.first <= since <= self.seq
            if not whole:
                self.changed.wait_for(
                    lambda: self.seq != since or self.silent, int(query.get("timeout_ms", 0)) / 1000
                )
            self.changed.wait_for(lambda: not self.silent)
            if whole or not self.first <= since <= self.seq:
                hosts = self.lines
            else:
                hosts = {str(one["host"]): one for seq, one in self.changes if seq > since}
            return json.dumps(
                {"seq": self.seq, "whole": hosts is self.lines, "hosts": list(hosts.values())}
            ).encode()


class RelayProcess:
    """A relay as a process of its own, with its log; `files` limits its descriptors."""

    def __init__(
        self, folder: Path, sources: dict[str, Origin], name: str = "r0", files: int = 0, **changed: Any
    ) -> None:
        self.path = folder / f"{name}.json"
        self.config: dict[str, Any] = {
            "name": name,
            "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "sources": {region: origin.address for region, origin in sources.items()},
            **changed,
        }
        self.files = files
        self.events: list[dict[str, Any]] = []
        self.start()

    def start(self) -> None:
        self.path.write_text(json.dumps(self.config))

        def limit() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.files, self.files))

        self.process = subprocess.Popen(
            [sys.executable, "-m", "pumicepath", "relay", "--config", str(self.path)],
            stdout=subprocess.PIPE,
            env={**os.environ},
            preexec_fn=limit if self.files else None,
        )
        self.reader = threading.Thread(target=self.read_log, args=(self.process.stdout,), daemon=True)
        self.reader.start()
        started = self.wait_for_event("started")
        host, _, port = started["listen"].rpartition(":")
        self.socket_address = (host, int(port))
        host, _, port = started["admin"].rpartition(":")
        self.admin_address = (host, int(port))

    def read_log(self, pipe: Any) -> None:
        for text in pipe:
            self.events.append(json.loads(text))

    def events_named(self, name: str) -> list[dict[str, Any]]:
        return [event for event in list(self.events) if event["event"] == name]

    def wait_for_event(self, name: str, count: int = 1) -> dict[str, Any]:
        """Wait for the `count`-th event of that name."""
        wait_until(lambda: len(self.events_named(name)) >= count)
        return self.events_named(name)[count - 1]

    def restart(self) -> None:
        """Kill the process and start a new one at the same address."""
        self.kill()
        self.config["listen"] = f"{self.socket_address[0]}:{self.socket_address[1]}"
        self.events.clear()
        self.start()

    def signal(self, number: int) -> None:
        if number == signal.SIGSTOP:
            stop_process(self.process)
        else:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()

    def stats(self) -> dict[str, int]:
        with socket.create_connection(self.admin_address, TIMEOUT_S) as sock:
            sock.sendall(writing.request("GET", "/stats", [("Host", "a")]))
            body = read_message(sock, ResponseParser(1 << 20)).body.decode()
        return {
            name.removeprefix("edge_gw.relay."): int(value)
            for name, _, value in (text.partition("=") for text in body.splitlines())
        }


class Follower:
    """Polls a relay for services: `call` once, `poll_until` until a condition holds."""

    def __init__(self, where: tuple[str, int], services: str | None = "*") -> None:
        self.services = services
        self.lines: dict[str, dict[str, Any]] = {}
        self.regions: dict[str, dict[str, Any]] = {}
        self.seq = -1
        self.connect(where)

    def connect(self, where: tuple[str, int]) -> None:
        self.sock = socket.create_connection(where, TIMEOUT_S)
        self.parser = ResponseParser(64 << 20)

    def target(self, wait_ms: int) -> str:
        parts = [f"since={self.seq}&timeout_ms={wait_ms}"] if self.seq >= 0 else []
        parts += [f"services={self.services}"] if self.services is not None else []
        return "/discovery/hosts" + ("?" + "&".join(parts) if parts else "")

    def send_request(self, wait_ms: int = 3000) -> None:
        self.sock.sendall(writing.request("GET", self.target(wait_ms), [("Host", "relay")]))

    def receive(self) -> dict[str, Any] | None:
        response = read_message(self.sock, self.parser)
        if response is None or response.status != 200:
            return None
        data: dict[str, Any] = orjson.loads(response.body)
        names = [one["host"] for one in data["hosts"]]
        assert len(set(names)) == len(names), "a server twice"
        if data["whole"]:
            self.lines = {}
        for one in data["hosts"]:
            if one["health"] == "left":
                self.lines.pop(one["host"], None)
            else:
                self.lines[one["host"]] = one
        self.seq = data["seq"]
        self.regions = data.get("regions", {})
        return data

    def call(self, wait_ms: int = 3000) -> dict[str, Any] | None:
        self.send_request(wait_ms)
        return self.receive()

    def poll_until(self, condition: Callable[[], object], wait_ms: int = 500) -> None:
        """Poll until the condition holds; a 503 is repeated."""
        end = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, "timed out"
            if self.call(wait_ms) is None:
                time.sleep(0.02)

    def close(self) -> None:
        self.sock.close()
