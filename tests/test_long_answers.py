"""An answer that its server goes on giving is passed on whole; one that stops is ended."""

from __future__ import annotations

import random
import threading
import time
from pathlib import Path

from pumicepath.lab.loopback.honest_clients import HonestClient, HonestRequest, Served
from pumicepath.lab.loopback.memory_trial import deployment_with_servers
from pumicepath.lab.loopback.server_process import ServerProcess

SEED = 5
SERVERS = 4
FRAMINGS = ("length", "chunked", "close")
REQUESTS_EACH = 6  # of each framing and class
START_INTERVAL_S = 0.05


def long_request(rng: random.Random, request_class: str, framing: str) -> HonestRequest:
    """A request whose answer goes on for seconds after its first bytes, past the deadline."""
    size = rng.randrange(20_000, 230_000)
    bytes_per_s = size / rng.uniform(1.5, 2.5)
    piece = max(1, int(bytes_per_s * rng.choice((0.03, 0.25))))
    pause_ms = int(1000 * piece / bytes_per_s)
    query = f"&framing={framing}&piece={piece}&pause_ms={pause_ms}&first_ms=20"
    return HonestRequest(request_class, rng.randrange(600, 850), 0, size, query)


# Answers that servers were still writing at the deadline were cut off in most framings (report 000ac8).
def test_an_answer_that_its_server_goes_on_giving_is_passed_on_whole_in_every_framing(tmp_path: Path) -> None:
    rng, served = random.Random(SEED), Served()
    requests = [
        long_request(rng, request_class, framing)
        for framing in FRAMINGS
        for request_class in ("read", "once")
        for _ in range(REQUESTS_EACH)
    ]
    clients = []
    with ServerProcess(SERVERS) as servers, deployment_with_servers(tmp_path, servers).running() as running:
        for number, request in enumerate(requests):
            stop = threading.Event()
            clients.append(HonestClient(running.address, [request], 0.0, f"{number}", stop, served))
            time.sleep(START_INTERVAL_S)
            stop.set()
        for client in clients:
            client.thread.join()
    assert served.outcomes == {"served": len(requests)}, served.notes
    assert set(servers.times_run().values()) == {1}
