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

from pumicepath.balancer import Balancer  # noqa: E402
from pumicepath.compiled import FORM  # noqa: E402
from pumicepath.http1 import writing  # noqa: E402
from pumicepath.http1.parsing import MAX_BODY_BYTES, RequestParser, ResponseParser  # noqa: E402
from pumicepath.interface import ListKind, Outcome, ServerEntry, ServerState  # noqa: E402
from pumicepath.lab.loopback.client_connections import encode_request as request_of  # noqa: E402
from pumicepath.lab.loopback.servers import RESPONSES  # noqa: E402
from pumicepath.lab.spec import Load, Plan, RequestClassSpec, Sidecars  # noqa: E402
from pumicepath.lab.spec import sidecar_settings as settings_of
from pumicepath.sidecar import answers, config  # noqa: E402
from pumicepath.sidecar.admission_gate import AdmissionGate  # noqa: E402
from pumicepath.sidecar.submissions import parse_submission  # noqa: E402

REQUEST = request_of("read", True, "12d687-1", 77, 2000, False, 0)
ANSWER = RESPONSES[Outcome.OK]
PLAN = Plan(
    sidecars=Sidecars(count=1),
    load=Load(
        tariffs=(
            RequestClassSpec(name="read"),
            RequestClassSpec(name="once", effect="at_most_once", gain=3.0),
        )
    ),
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
    request, response = RequestParser(), ResponseParser(MAX_BODY_BYTES)

    def feed(parser, data: bytes):
        free_space = parser.ring.writable()
        free_space[: len(data)] = data
        parser.ring.commit(len(data))

    def parse(parser, data: bytes):
        feed(parser, data)
        return parser.next()

    def glance() -> None:
        feed(request, REQUEST)
        seen = request.peek_request()
        request.ring.consume(seen[0])

    whole, answer = parse(request, REQUEST), parse(response, ANSWER)

    def write_hop() -> bytes:
        headers = [
            (name, value) for name, value in whole.end_to_end_headers() if name.lower() != "x-expires-in-ms"
        ]
        return writing.request(whole.method, whole.target, [*headers, ("x-expires-in-ms", "5")], whole.body)

    gate = AdmissionGate(sidecar_config)

    def pass_gate() -> None:
        gate.enter(10, 10**18, 0, False, 5000.0)
        gate.leave()
        gate.reenter()
        gate.leave(100)

    parts: dict[str, Callable[[], object]] = {
        "read a request": lambda: parse(request, REQUEST),
        "what it asks": lambda: parse_submission(
            whole, sidecar_config.request_classes, sidecar_config.settings.request_classes
        ),
        "through the entrance, twice": pass_gate,
        "write the hop": write_hop,
        "read the answer": lambda: parse(response, ANSWER),
        "write the answer": lambda: writing.response(*answers.succeeded(answer), True),
        "glance at a request": glance,
    }
    for servers in (4, 9, 12):
        balancer = Balancer(sidecar_config.settings, 1, NullCallbacks())
        balancer.update_servers(
            0, ListKind.FULL, [ServerEntry(at, 0, 0, ServerState.READY, 1.0, 0) for at in range(servers)]
        )
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
        submission = balancer.submit(
            state[0], state[1], 0, keys[state[1] % 5000], False, state[0] + 2_000_000
        )
        submission.hop_finished(state[0] + 5000, 0, Outcome.OK, 5000, True)

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
