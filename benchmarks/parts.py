"""CPU time of the parts of a submission that need no socket, each measured alone in a loop.

python benchmarks/parts.py                           # compiled, if the tree is
PUMICEPATH_INTERPRETED=1 python benchmarks/parts.py
"""

from __future__ import annotations

import json
import random
import statistics
import sys
import time
from collections.abc import Callable
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from pumicepath.compiled import FORM  # noqa: E402
from pumicepath.http1 import writing  # noqa: E402
from pumicepath.http1.parsing import MOST_BODY, RequestParser, ResponseParser  # noqa: E402
from pumicepath.interface import Entry, Listing, Outcome, Phase  # noqa: E402
from pumicepath.lab.loopback.servers import ANSWERS  # noqa: E402
from pumicepath.lab.loopback.wires import asked as request_of  # noqa: E402
from pumicepath.lab.spec import Load, Plan, Sidecars, Tariff  # noqa: E402
from pumicepath.lab.spec import told as settings_of
from pumicepath.logic import Balancer  # noqa: E402
from pumicepath.sidecar import answers, config  # noqa: E402
from pumicepath.sidecar.entrance import Entrance  # noqa: E402
from pumicepath.sidecar.submissions import asked  # noqa: E402

REQUEST = request_of("read", True, "12d687-1", 77, 2000, False, 0)
ANSWER = ANSWERS[Outcome.OK]
PLAN = Plan(
    sidecars=Sidecars(count=1),
    load=Load(tariffs=(Tariff(name="read"), Tariff(name="once", effect="at_most_once", gain=3.0))),
)


class NullCallbacks:
    """Callbacks of a balancer that do nothing."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_: None


def make_parts() -> dict[str, Callable[[], object]]:
    """The measured parts by their labels in the output."""
    sidecar_config = config.decode_config(
        {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings_of(PLAN, 0, 0)}
    )
    request, response = RequestParser(), ResponseParser(MOST_BODY)

    def feed(parser, data: bytes):
        free_space = parser.ring.room()
        free_space[: len(data)] = data
        parser.ring.wrote(len(data))

    def parse(parser, data: bytes):
        feed(parser, data)
        return parser.next()

    def glance() -> None:
        feed(request, REQUEST)
        seen = request.glance()
        request.ring.drop(seen[0])

    whole, answer = parse(request, REQUEST), parse(response, ANSWER)

    def write_hop() -> bytes:
        headers = [(name, value) for name, value in whole.passed_on() if name.lower() != "x-expires-in-ms"]
        return writing.request(whole.method, whole.target, [*headers, ("x-expires-in-ms", "5")], whole.body)

    gate = Entrance(sidecar_config)

    def pass_gate() -> None:
        gate.enter(10, 10**18, 0, False, 5000.0)
        gate.leave()
        gate.again()
        gate.leave(100)

    parts: dict[str, Callable[[], object]] = {
        "read a request": lambda: parse(request, REQUEST),
        "what it asks": lambda: asked(whole, sidecar_config.request_classes, sidecar_config.settings.tariffs),
        "through the entrance, twice": pass_gate,
        "write the hop": write_hop,
        "read the answer": lambda: parse(response, ANSWER),
        "write the answer": lambda: writing.response(*answers.succeeded(answer), True),
        "glance at a request": glance,
    }
    for servers in (4, 9, 12):
        balancer = Balancer(sidecar_config.settings, 1, NullCallbacks())
        balancer.listed(0, Listing.FULL, [Entry(at, 0, 0, Phase.READY, 1.0, 0) for at in range(servers)])
        parts[f"decide, {servers} servers"] = decision_loop(balancer)
    return parts


def decision_loop(balancer: Balancer) -> Callable[[], None]:
    """A function that decides on one submission and records its end, for keys drawn at random."""
    rng = random.Random(1)
    keys = [rng.randrange(1, 1500) for _ in range(5000)]
    state = [10**9, 0]

    def decide() -> None:
        state[0] += 800
        state[1] += 1
        submission = balancer.take(state[0], state[1], 0, keys[state[1] % 5000], False, state[0] + 2_000_000)
        submission.ended(state[0] + 5000, 0, Outcome.OK, 5000, True)

    return decide


@click.command()
@click.option("--runs", default=5, show_default=True)
@click.option("--times", default=20_000, show_default=True)
@click.option("--as-json", is_flag=True)
def main(runs: int, times: int, as_json: bool) -> None:
    """Microseconds for each part, median of the runs."""
    results: dict[str, list[float]] = {}
    for _ in range(runs):
        for name, part in make_parts().items():
            began = time.process_time()
            for _ in range(times):
                part()
            results.setdefault(name, []).append((time.process_time() - began) / times * 1e6)
    medians = {name: statistics.median(values) for name, values in results.items()}
    if as_json:
        print(json.dumps({"form": FORM, **medians}))
        return
    print(FORM)
    for name, value in medians.items():
        print(f"{name:28} {value:6.1f} us  ({min(results[name]):.1f} to {max(results[name]):.1f})")


if __name__ == "__main__":
    main()
