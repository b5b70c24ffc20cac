"""Second copies: answers that get lost on their way, told from queues by what becomes of late ones."""

import pytest

from pumicepath.balancer import HEDGE_LOSS_RATE, SUSPECT_TARGET_FRACTION
from pumicepath.interface import DedupGroup, Effect, Outcome, RequestClass

from .helpers import SECOND, ScriptedHost, deduplicated_class, make_entry, make_settings

FLEET = [make_entry(server, cell=server // 2) for server in range(2, 8)]


def played(tariff: RequestClass, lost: int, late: float, **more: object) -> ScriptedHost:
    """Two a second for half a minute; of each `lost` one answer never comes, one comes after `late` s."""
    bench = ScriptedHost(make_settings(tariff, **more), FLEET)
    for step in range(60):
        start = step / 2
        one = bench.advance_to(start).submit(step, step + 1, deadline=1.8)
        if step % lost:
            bench.advance_to(start + 0.1).finish_hop(one, Outcome.OK)
        elif late:
            bench.advance_to(start + late).finish_hop(one, Outcome.OK, 0)
        else:
            bench.advance_to(start + 0.45)  # a copy, if any went out by now, is answered soon
            if one.hops_in_flight > 1:
                bench.finish_hop(one, Outcome.OK)
                one.hop_finished(bench.now, 0, Outcome.CANCELLED, 0, True)
            else:
                one.client_left(bench.now)
                bench.finish_hop(one, Outcome.TIMEOUT)
    return bench


@pytest.mark.parametrize("group", list(DedupGroup))
def test_once_answers_prove_lost_a_copy_goes_to_the_group_that_drops_it(group: DedupGroup) -> None:
    bench = played(deduplicated_class(group), 4, 0.0, copies=True)
    balancer, cells = bench.balancer, {entry.server: entry.cell for entry in FLEET}
    sends = [line.split()[2][:-1] for line in bench.lines if "hop to" in line]
    copied = [at for at in range(1, len(sends)) if sends[at] == sends[at - 1]]
    assert (
        balancer.loss_rate > HEDGE_LOSS_RATE and 5 <= len(copied) <= 13
    )  # of 15, the first of which teach it
    if group == DedupGroup.CELL:
        assert all(cells[bench.sent_to[at]] == cells[bench.sent_to[at - 1]] for at in copied)
    assert all(bench.sent_to[at] != bench.sent_to[at - 1] for at in copied)


@pytest.mark.parametrize(
    ("tariff", "late", "more"),
    [
        (
            deduplicated_class(DedupGroup.CELL),
            SUSPECT_TARGET_FRACTION + 0.2,
            {"copies": True},
        ),  # a queue: what is late does come
        (deduplicated_class(DedupGroup.CELL), 0.0, {}),  # not allowed
        (
            RequestClass(SECOND, 5 * SECOND, 3.0, 0.2, Effect.IDEMPOTENT, DedupGroup.ALL, 0),
            0.0,
            {"copies": True},
        ),
        (
            RequestClass(SECOND, 5 * SECOND, 3.0, 0.2, Effect.NON_IDEMPOTENT, DedupGroup.ALL, 0),
            0.0,
            {"copies": True},
        ),
    ],
)
def test_no_copy_where_it_would_be_work_done_twice(tariff: RequestClass, late: float, more: dict) -> None:
    bench = played(tariff, 4, late, **more)
    assert len(bench.sent_to) == len({line.split()[2] for line in bench.lines if "hop to" in line})
