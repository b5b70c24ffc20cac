"""Second copies: answers that get lost on their way, told from queues by what becomes of late ones."""

import pytest

from pumicepath.interface import Effect, Group, Outcome, Tariff
from pumicepath.logic import DOUBT_PART, LOST

from .helpers import SECOND, Bench, entry, marked, settings

FLEET = [entry(server, cell=server // 2) for server in range(2, 8)]


def played(tariff: Tariff, lost: int, late: float, **more: object) -> Bench:
    """Two a second for half a minute; of each `lost` one answer never comes, one comes after `late` s."""
    bench = Bench(settings(tariff, **more), FLEET)
    for step in range(60):
        start = step / 2
        one = bench.at(start).take(step, step + 1, patience=1.8)
        if step % lost:
            bench.at(start + 0.1).end(one, Outcome.OK)
        elif late:
            bench.at(start + late).end(one, Outcome.OK, 0)
        else:
            bench.at(start + 0.45)  # a copy, if any went out by now, is answered soon
            if one.out > 1:
                bench.end(one, Outcome.OK)
                one.ended(bench.now, 0, Outcome.CANCELLED, 0, True)
            else:
                one.left(bench.now)
                bench.end(one, Outcome.TIMEOUT)
    return bench


@pytest.mark.parametrize("group", list(Group))
def test_once_answers_prove_lost_a_copy_goes_to_the_group_that_drops_it(group: Group) -> None:
    bench = played(marked(group), 4, 0.0, copies=True)
    balancer, cells = bench.balancer, {entry.server: entry.cell for entry in FLEET}
    sends = [line.split()[2][:-1] for line in bench.lines if "hop to" in line]
    copied = [at for at in range(1, len(sends)) if sends[at] == sends[at - 1]]
    assert balancer.lost > LOST and 5 <= len(copied) <= 13  # of 15, the first of which teach it
    if group == Group.CELL:
        assert all(cells[bench.sent[at]] == cells[bench.sent[at - 1]] for at in copied)
    assert all(bench.sent[at] != bench.sent[at - 1] for at in copied)


@pytest.mark.parametrize(
    ("tariff", "late", "more"),
    [
        (marked(Group.CELL), DOUBT_PART + 0.2, {"copies": True}),  # a queue: what is late does come
        (marked(Group.CELL), 0.0, {}),  # not allowed
        (Tariff(SECOND, 5 * SECOND, 3.0, 0.2, Effect.IDEMPOTENT, Group.ALL, 0), 0.0, {"copies": True}),
        (Tariff(SECOND, 5 * SECOND, 3.0, 0.2, Effect.UNREPEATABLE, Group.ALL, 0), 0.0, {"copies": True}),
    ],
)
def test_no_copy_where_it_would_be_work_done_twice(tariff: Tariff, late: float, more: dict) -> None:
    bench = played(tariff, 4, late, **more)
    assert len(bench.sent) == len({line.split()[2] for line in bench.lines if "hop to" in line})
