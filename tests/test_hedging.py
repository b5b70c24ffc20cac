"""Hedging: answers lost on their way are told from queueing by whether late answers still arrive."""

import pytest

from pumicepath.balancer import HEDGE_LOSS_RATE, SUSPECT_TARGET_FRACTION
from pumicepath.interface import DedupGroup, Effect, Outcome, RequestClass

from .helpers import SECOND, ScriptedHost, deduplicated_class, make_entry, make_settings

FLEET = [make_entry(server, cell=server // 2) for server in range(2, 8)]


def run_with_losses(request_class: RequestClass, every: int, delay: float, **changed: object) -> ScriptedHost:
    """Run 60 submissions, two a second; each `every`-th answer is lost or, with a `delay`, late (seconds)."""
    host = ScriptedHost(make_settings(request_class, **changed), FLEET)
    for step in range(60):
        start = step / 2
        submission = host.advance_to(start).submit(step, step + 1, deadline=1.8)
        if step % every:
            host.advance_to(start + 0.1).finish_hop(submission, Outcome.OK)
        elif delay:
            host.advance_to(start + delay).finish_hop(submission, Outcome.OK, 0)
        else:
            host.advance_to(start + 0.45)  # a hedge, if one was sent by now, is answered
            if submission.hops_in_flight > 1:
                host.finish_hop(submission, Outcome.OK)
                submission.hop_finished(host.now, 0, Outcome.CANCELLED, 0, True)
            else:
                submission.client_left(host.now)
                host.finish_hop(submission, Outcome.TIMEOUT)
    return host


@pytest.mark.parametrize("group", list(DedupGroup))
def test_once_answers_prove_lost_a_hedge_goes_to_the_group_that_deduplicates_it(group: DedupGroup) -> None:
    host = run_with_losses(deduplicated_class(group), 4, 0.0, hedging_allowed=True)
    balancer, cells = host.balancer, {entry.server: entry.cell for entry in FLEET}
    submission_ids = [line.split()[2][:-1] for line in host.lines if "hop to" in line]
    hedged = [
        index for index in range(1, len(submission_ids)) if submission_ids[index] == submission_ids[index - 1]
    ]
    # 15 answers are lost; the first of them raise the loss rate, and no hedges are sent for these.
    assert balancer.loss_rate > HEDGE_LOSS_RATE and 5 <= len(hedged) <= 13
    if group == DedupGroup.CELL:
        assert all(cells[host.sent_to[index]] == cells[host.sent_to[index - 1]] for index in hedged)
    assert all(host.sent_to[index] != host.sent_to[index - 1] for index in hedged)


@pytest.mark.parametrize(
    ("request_class", "delay", "changed"),
    [
        (
            deduplicated_class(DedupGroup.CELL),
            SUSPECT_TARGET_FRACTION + 0.2,
            {"hedging_allowed": True},
        ),  # queueing: late answers do arrive
        (deduplicated_class(DedupGroup.CELL), 0.0, {}),  # not allowed
        (
            RequestClass(SECOND, 5 * SECOND, 3.0, 0.2, Effect.IDEMPOTENT, DedupGroup.ALL, 0),
            0.0,
            {"hedging_allowed": True},
        ),
        (
            RequestClass(SECOND, 5 * SECOND, 3.0, 0.2, Effect.NON_IDEMPOTENT, DedupGroup.ALL, 0),
            0.0,
            {"hedging_allowed": True},
        ),
    ],
)
def test_no_hedge_where_the_work_would_be_done_twice(
    request_class: RequestClass, delay: float, changed: dict
) -> None:
    host = run_with_losses(request_class, 4, delay, **changed)
    assert len(host.sent_to) == len({line.split()[2] for line in host.lines if "hop to" in line})
