"""A long request goes to a server, and runs there, although its client left before the attempt began."""

import socket
import time
from pathlib import Path

from rig import (BROKEN, HELD, SETTINGS_LAGER, TROUBLE, Client, Discovery, NotRun, Record, Server,
                 Sidecar, listen, request_bytes, run_case, status_of)

BODY_BYTES = 400_000
BOUND_S = 0.1 + 0.05  # an attempt may begin 0.1 s after the close; each time limit is 50 ms longer


class Vanished:
    """A machine that has vanished: new connections to it never come up, and nothing is reset."""

    def __init__(self) -> None:
        self.listener = listen(0)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.waiting = []
        for _ in range(4):  # fill the queue: the kernel drops what would connect from now on
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.listener.getsockname())
            self.waiting.append(sock)
        time.sleep(0.2)


def case(record: Record, to_end: list) -> int:
    discovery = Discovery(record)
    servers = [Server(record, f"s{number}", 0.05) for number in range(3)]
    for server in servers:
        discovery.put(server.name, server.address, site="hamar-a", kind="vanleg")
    vanished = Vanished()
    with socket.socket() as sock:
        sock.settimeout(0.5)
        try:
            sock.connect(vanished.listener.getsockname())
            raise NotRun("the queue of a listener can't be filled here")
        except TimeoutError:
            pass
    discovery.put("s3", vanished.address, site="hamar-a", kind="vanleg")
    sidecar = Sidecar(record, discovery.address, SETTINGS_LAGER, discovery.whole())
    to_end.append(sidecar)
    sidecar.start()
    sidecar.wait_ready()
    broken = asked = left = 0
    for round_ in range(2):
        for number in range(8):
            asked += 1
            trace_id = f"r{round_}-{number:02d}"
            body = b"lot " * (BODY_BYTES // 4)
            data = request_bytes(trace_id, "reserve", "POST", f"lot-{asked}", 1500, body)
            client = Client(sidecar.port)
            client.connect()
            assert client.sock is not None
            client.sock.settimeout(5.0)
            began_at = time.monotonic()
            client.sock.sendall(data)
            written_at = time.monotonic()
            if TROUBLE:
                client.close()
                closed_at = time.monotonic()
                left += 1
                record.note(f"client: {trace_id} written in {written_at - began_at:.4f} s; it leaves")
                time.sleep(0.7)
                for server in servers:
                    for each, first_at in server.begun:
                        if each == trace_id and first_at > closed_at + BOUND_S:
                            broken += 1
                            ran = any(run[0] == trace_id for run in server.runs)
                            record.note(f"BROKEN: an attempt for {trace_id} began at {server.name} "
                                        f"{first_at - closed_at:.3f} s after its client had closed"
                                        + (", and it ran" if ran else ""))
            else:
                answer = client.reader.message()
                record.note(f"client: {trace_id} answered {status_of(answer)}")
                client.close()
        time.sleep(6.0)
    record.note(f"asked {asked}, left {left}, broken {broken}")
    print(f"asked {asked}, left {left}, broken {broken}")
    return BROKEN if broken else HELD


run_case(Path(__file__).parent, case)
