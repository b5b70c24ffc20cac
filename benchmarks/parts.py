"""CPU of the parts of a submission that need no socket, each alone in a loop.

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
from pumicepath.lab.spec import Load, Plan, RequestClassSpec, Sidecars  # noqa: E402
from pumicepath.lab.spec import sidecar_settings as settings_of
from pumicepath.logic import Balancer  # noqa: E402
from pumicepath.sidecar import answers, config  # noqa: E402
from pumicepath.sidecar.entrance import Entrance  # noqa: E402
from pumicepath.sidecar.submissions import asked  # noqa: E402

REQUEST = request_of("read", True, "12d687-1", 77, 2000, False, 0)
ANSWER = ANSWERS[Outcome.OK]
PLAN = Plan(
    sidecars=Sidecars(count=1),
    load=Load(
        tariffs=(
            RequestClassSpec(name="read"),
            RequestClassSpec(name="once", effect="at_most_once", gain=3.0),
        )
    ),
)


class Nowhere:
    """An outlet that does nothing."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_: None


def parts() -> dict[str, Callable[[], object]]:
    told = config.decode_config(
        {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings_of(PLAN, 0, 0)}
    )
    request, response = RequestParser(), ResponseParser(MOST_BODY)

    def feed(parser, data: bytes):
        room = parser.ring.room()
        room[: len(data)] = data
        parser.ring.wrote(len(data))

    def parse(parser, data: bytes):
        feed(parser, data)
        return parser.next()

    def glance() -> None:
        feed(request, REQUEST)
        seen = request.glance()
        request.ring.drop(seen[0])

    whole, answer = parse(request, REQUEST), parse(response, ANSWER)

    def onward() -> bytes:
        headers = [(name, value) for name, value in whole.passed_on() if name.lower() != "x-expires-in-ms"]
        return writing.request(whole.method, whole.target, [*headers, ("x-expires-in-ms", "5")], whole.body)

    entrance = Entrance(told)

    def through() -> None:
        entrance.enter(10, 10**18, 0, False, 5000.0)
        entrance.leave()
        entrance.again()
        entrance.leave(100)

    found: dict[str, Callable[[], object]] = {
        "read a request": lambda: parse(request, REQUEST),
        "what it asks": lambda: asked(whole, told.request_classes, told.settings.tariffs),
        "through the entrance, twice": through,
        "write the hop": onward,
        "read the answer": lambda: parse(response, ANSWER),
        "write the answer": lambda: writing.response(*answers.succeeded(answer), True),
        "glance at a request": glance,
    }
    for servers in (4, 9, 12):
        balancer = Balancer(told.settings, 1, Nowhere())
        balancer.listed(0, Listing.FULL, [Entry(at, 0, 0, Phase.READY, 1.0, 0) for at in range(servers)])
        found[f"decide, {servers} servers"] = decisions(balancer)
    return found


def decisions(balancer: Balancer) -> Callable[[], None]:
    chance = random.Random(1)
    keys = [chance.randrange(1, 1500) for _ in range(5000)]
    state = [10**9, 0]

    def decide() -> None:
        state[0] += 800
        state[1] += 1
        one = balancer.take(state[0], state[1], 0, keys[state[1] % 5000], False, state[0] + 2_000_000)
        one.ended(state[0] + 5000, 0, Outcome.OK, 5000, True)

    return decide


@click.command()
@click.option("--runs", default=5, show_default=True)
@click.option("--times", default=20_000, show_default=True)
@click.option("--as-json", is_flag=True)
def main(runs: int, times: int, as_json: bool) -> None:
    """Microseconds a part, the middle of the runs."""
    found: dict[str, list[float]] = {}
    for _ in range(runs):
        for name, part in parts().items():
            began = time.process_time()
            for _ in range(times):
                part()
            found.setdefault(name, []).append((time.process_time() - began) / times * 1e6)
    middle = {name: statistics.median(values) for name, values in found.items()}
    if as_json:
        print(json.dumps({"form": FORM, **middle}))
        return
    print(FORM)
    for name, value in middle.items():
        print(f"{name:28} {value:6.1f} us  ({min(found[name]):.1f} to {max(found[name]):.1f})")


if __name__ == "__main__":
    main()
