"""Scenarios for the decisions of `balancer`, most of them compared with recorded traces."""

import math
from dataclasses import replace

import pytest

from pumicepath.balancer import SeededRandom
from pumicepath.interface import DedupGroup, Effect, ListKind, Outcome, RequestClass, ServerState

from .helpers import (
    ONCE_CLASS,
    READ_CLASS,
    SECOND,
    ScriptedHost,
    check_host_trace,
    deduplicated_class,
    make_entry,
    make_settings,
)


def preferred_server(host: ScriptedHost, key: int) -> int:
    """Return the server that a key goes to while all servers are healthy."""
    host.finish_hop(host.submit(900_000 + key, key), Outcome.OK)
    host.lines.clear()
    return host.sent_to[-1]


def test_breaker_opens_makes_a_trial_and_closes() -> None:
    host = ScriptedHost(make_settings(), [make_entry(server) for server in (10, 11, 12)])
    preferred_server(host, 1)
    host.run_submissions(1, 4, 1, Outcome.RESET)
    host.advance_to(3).run_submissions(5, 1, 1, Outcome.RESET)
    host.advance_to(8).run_submissions(6, 2, 1, Outcome.OK)
    check_host_trace("breaker", host)


def test_trial_without_result_reopens_and_its_late_outcome_is_ignored() -> None:
    slow_class = RequestClass(20 * SECOND, 60 * SECOND, 1.0, 0.0, Effect.IDEMPOTENT, DedupGroup.ALL, 0)
    host = ScriptedHost(make_settings(slow_class), [make_entry(server) for server in (10, 11, 12)])
    preferred_server(host, 1)
    host.run_submissions(1, 3, 1, Outcome.RESET)
    stuck = host.advance_to(6).submit(4, 1, deadline=30)
    host.finish_hop(host.advance_to(8).submit(5, 1), Outcome.OK)
    host.finish_hop(host.advance_to(13).submit(6, 1), Outcome.OK)
    host.advance_to(14).finish_hop(stuck, Outcome.OK)
    host.finish_hop(host.advance_to(14).submit(7, 1), Outcome.OK)
    check_host_trace("trial_expiry", host)


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CANCELLED])
def test_neutral_outcomes_free_the_trial(outcome: Outcome) -> None:
    host = ScriptedHost(make_settings(), [make_entry(server) for server in (10, 11)])
    first = preferred_server(host, 1)
    host.run_submissions(1, 3, 1, Outcome.RESET)
    host.advance_to(3).run_submissions(4, 2, 1, outcome)
    assert host.sent_to[-4:].count(first) == 2


def test_overdue_hops_open_the_breaker_but_go_on() -> None:
    host = ScriptedHost(make_settings(), [make_entry(server) for server in (10, 11, 12, 13)])
    first = preferred_server(host, 1)
    for round_ in range(4):
        slow = host.advance_to(10 * round_ + 1).submit(round_, 1)
        for step in range(60):
            submission = host.advance_to(10 * round_ + 2 + step * 0.1).submit(
                1000 + 100 * round_ + step, 50 + step
            )
            host.finish_hop(submission, Outcome.OK)
        assert not slow.is_finished()
        host.finish_hop(slow, Outcome.OK)
    logs = [line for line in host.lines if "log" in line]
    host.lines = logs
    check_host_trace("late_answers", host, f"favourite was {first}")


def test_fleet_wide_slowness_opens_no_breaker() -> None:
    host = ScriptedHost(make_settings(), [make_entry(server) for server in (10, 11, 12, 13)])
    for number in range(1, 60):
        submission = host.advance_to(number).submit(number, number)
        host.advance_to(number + 0.9).finish_hop(submission, Outcome.OK)
    late = [line for line in host.lines if "open for" in line and float(line.split()[0]) > 20]
    assert not late


def test_partly_failing_server_is_ejected_without_consecutive_failures() -> None:
    host = ScriptedHost(make_settings(), [make_entry(server) for server in (10, 11, 12)])
    for number, key in enumerate(host.keys_with_same_server(1, 24), 1):
        submission = host.advance_to(number * 0.1).submit(number, key)
        host.finish_hop(
            submission, Outcome.ERROR if number % 2 and not submission.is_finished() else Outcome.OK
        )
        if not submission.is_finished():
            host.finish_hop(submission, Outcome.OK)
    check_host_trace("partial_errors", host)


def test_only_the_keys_of_a_leaving_server_move() -> None:
    host = ScriptedHost(make_settings(), [make_entry(server) for server in range(10, 18)])
    before = [preferred_server(host, key) for key in range(1, 200)]
    host.balancer.update_servers(0, ListKind.CHANGES, [make_entry(12, state=ServerState.GONE)])
    after = [preferred_server(host, key) for key in range(1, 200)]
    assert [b for a, b in zip(after, before) if a != b] == [b for b in before if b == 12]


def test_non_idempotent_submission_is_retried_only_if_it_never_ran() -> None:
    host = ScriptedHost(make_settings(), [make_entry(server) for server in (10, 11, 12)])
    for number, outcome in enumerate([Outcome.CONNECT_FAILED, Outcome.FULL, Outcome.RESET, Outcome.ERROR]):
        host.finish_hop(host.advance_to(number).submit(number, request_class=1), outcome)
    check_host_trace("unrepeatable", host)


@pytest.mark.parametrize("group", list(DedupGroup))
def test_deduplicated_stays_inside_its_group_and_window(group: DedupGroup) -> None:
    servers = [
        make_entry(10, 0, 0),
        make_entry(11, 0, 1),
        make_entry(12, 1, 2),
        make_entry(13, 1, 2),
        make_entry(14, 0, 0),
    ]
    host = ScriptedHost(make_settings(deduplicated_class(group)), servers)
    for number in range(5):
        submission = host.advance_to(4 * number).submit(number, key=number + 1, deadline=4)
        host.advance_to(4 * number + (2.1 if number == 4 else 0.1)).finish_hop(submission, Outcome.RESET)
        while not submission.is_finished():
            host.finish_hop(submission, Outcome.RESET)
    check_host_trace(f"deduplicated_{group.name.lower()}", host)


def test_draining_and_gone_servers_get_nothing_and_an_empty_list_rejects() -> None:
    host = ScriptedHost(make_settings(), [make_entry(10), make_entry(11)])
    host.balancer.update_servers(0, ListKind.CHANGES, [make_entry(10, state=ServerState.DRAINING)])
    host.submit(1)
    host.balancer.update_servers(0, ListKind.FULL, [])
    host.submit(2)
    host.submit(3, request_class=1)
    check_host_trace("drained", host)


def test_list_is_requested_again_soon_after_failures() -> None:
    host = ScriptedHost(make_settings(polls_list=True), [make_entry(10)])
    for second in (1, 2):
        host.advance_to(second).balancer.update_servers(host.now, ListKind.FAILED, [])
        host.advance_to(second + 0.5)
    host.advance_to(7).balancer.update_servers(host.now, ListKind.FULL, [make_entry(10)])
    host.advance_to(40)
    check_host_trace("asking", host)


def test_cold_server_stays_within_its_budget() -> None:
    for sidecar_index in range(3):
        host = ScriptedHost(
            make_settings(sidecar_index=sidecar_index), [make_entry(10, started_at=1), make_entry(11)]
        )
        sends = []
        for step in range(4000):
            submission = host.advance_to(1 + step * 0.005).submit(step, key=step + 1)
            if host.sent_to[-1] == 10:
                sends.append(host.now)
            host.advance_to(1.004 + step * 0.005).finish_hop(submission, Outcome.OK)
        width, typical_latency = 3 * SECOND, host.balancer.class_states[0].typical_latency
        for at in sends:
            level = 0.2 + 0.8 * at / (20 * SECOND)
            budget = max(2, 2.5 * level * width / typical_latency / 3)
            assert sum(at - width < other <= at for other in sends) <= budget


def test_final_answer_comes_at_the_deadline() -> None:
    host = ScriptedHost(make_settings(), [make_entry(10), make_entry(11)])
    for number, class_index in ((1, 0), (2, 1)):
        submission = host.advance_to(3 * number).submit(number, request_class=class_index, deadline=1)
        host.advance_to(3 * number + 1).finish_hop(submission, Outcome.TIMEOUT)
        submission.on_timer(host.now + SECOND)
        assert submission.is_finished()
    check_host_trace("patience", host)


def test_congestion_sets_a_limit_and_quick_answers_remove_it() -> None:
    host = ScriptedHost(
        make_settings(READ_CLASS, ONCE_CLASS), [make_entry(server) for server in (10, 11, 12)]
    )
    held = [
        host.advance_to(0.01 * number).submit(number, key=number, request_class=number % 2)
        for number in range(40)
    ]
    host.advance_to(1.2)
    for submission in held:
        host.finish_hop(submission, Outcome.OK)
    held = [
        host.advance_to(1.3 + 0.01 * number).submit(100 + number, key=number, request_class=number % 2)
        for number in range(40)
    ]
    in_flight = sum(submission.hops_in_flight for submission in held)
    host.advance_to(1.75)
    for submission in held:
        if submission.hops_in_flight:
            host.finish_hop(submission, Outcome.OK)
    for number in range(200):
        host.finish_hop(host.advance_to(2 + 0.1 * number).submit(200 + number, key=number), Outcome.OK)
    logs = [line for line in host.lines if "limit" in line]
    host.lines = logs
    check_host_trace("jam", host, f"{in_flight} of 40 sent under the limit")


def test_hop_in_flight_beyond_the_typical_latency_moves_its_key() -> None:
    host = ScriptedHost(make_settings(), [make_entry(server) for server in (10, 11, 12)])
    first = preferred_server(host, 1)
    host.submit(1)
    host.advance_to(0.5).submit(2)
    assert host.sent_to[-2] == first != host.sent_to[-1]


def test_hop_in_flight_for_a_fraction_of_the_latency_target_does_not_move_keys() -> None:
    host = ScriptedHost(make_settings(), [make_entry(server) for server in (10, 11, 12)])
    for number in range(300):
        submission = host.advance_to(number * 0.1).submit(1000 + number, key=number + 10)
        host.advance_to(number * 0.1 + 0.005).finish_hop(submission, Outcome.OK)
    first = preferred_server(host, 1)
    host.advance_to(40).submit(1)
    host.advance_to(40.05).submit(2)
    assert host.sent_to[-2:] == [first, first]
    host.advance_to(40.07).submit(3)
    assert host.sent_to[-1] != first


def test_random_source_is_uniform_and_repeats_with_its_seed() -> None:
    first, second = SeededRandom(42), SeededRandom(42)
    draws = [first.next_float() for _ in range(4000)]
    assert draws == [second.next_float() for _ in range(4000)]
    assert math.isclose(sum(draws) / 4000, 0.5, abs_tol=0.03) and min(draws) >= 0 and max(draws) < 1


def test_success_while_all_breakers_refuse_does_not_shorten_a_cooldown() -> None:
    host = ScriptedHost(make_settings(), [make_entry(10)])
    for number in range(3):
        host.finish_hop(host.advance_to(number).submit(number), Outcome.RESET)
    for number in range(3, 13):
        host.finish_hop(host.advance_to(2 + number * 0.1).submit(number), Outcome.OK)
    stuck = host.advance_to(8).submit(20)
    host.finish_hop(host.advance_to(8.1).submit(21), Outcome.OK)
    host.finish_hop(stuck, Outcome.OK)
    check_host_trace("last_resort", host)


def test_time_limit_of_a_trial_runs_from_the_trial_not_from_half_open() -> None:
    host = ScriptedHost(make_settings(), [make_entry(10), make_entry(11)])
    preferred_server(host, 1)
    host.run_submissions(1, 3, 1, Outcome.RESET)
    for number in (10, 14, 18):
        host.run_submissions(number, 1, 1, Outcome.FULL)
        host.advance_to(host.now / SECOND + 4)
    assert not [line for line in host.lines if "without verdict" in line]


def test_congestion_does_not_hold_back_a_warmed_server() -> None:
    counts = []
    for congested in (False, True):
        host = ScriptedHost(make_settings(fleet_size=1), [make_entry(10, started_at=1), make_entry(11)])
        for number in range(60):
            submission = host.advance_to(0.2 * number).submit(number, key=number + 1)
            host.advance_to(0.2 * number + 0.12).finish_hop(submission, Outcome.OK)
        held = [host.advance_to(12).submit(100 + number, key=number + 1, deadline=9) for number in range(150)]
        host.advance_to(15 if congested else 12.12)
        for submission in held:
            if submission.hops_in_flight:
                host.finish_hop(submission, Outcome.OK)
        start = len(host.sent_to)
        for number in range(400):
            host.finish_hop(
                host.advance_to(17 + 0.005 * number).submit(300 + number, key=number + 1), Outcome.OK
            )
        counts.append(host.sent_to[start:].count(10))
    assert counts[1] > 0.8 * counts[0] > 20, counts


def test_many_idle_sidecars_take_even_turns_at_a_new_server_whatever_the_key() -> None:
    turns = []
    for sidecar_index in range(100):
        servers = [make_entry(server, started_at=server == 10) for server in range(10, 20)]
        host = ScriptedHost(make_settings(sidecar_index=sidecar_index, fleet_size=100), servers)
        for number in range(4):
            host.finish_hop(
                host.advance_to(0.1 * number + 0.001 * sidecar_index).submit(number, key=1), Outcome.OK
            )
        turns += [at for at, server in enumerate(host.sent_to) if server == 10]
    # Expected in each round of submissions: 0.55 x 2.5 x 0.2 of the share of one server in ten, 2.75.
    assert [turns.count(at) for at in range(4)] == [3, 2, 2, 3]


def test_sidecars_in_step_do_not_all_send_to_one_cold_server() -> None:
    """Sixty sidecars started together; expected per submission is 0.275 of the share of one in a hundred."""
    hits = dict.fromkeys(range(10), 0)
    for sidecar_index in range(60):
        servers = [make_entry(server, started_at=server < 10) for server in range(100)]
        host = ScriptedHost(make_settings(sidecar_index=sidecar_index, fleet_size=60), servers)
        for number in range(80):
            host.finish_hop(
                host.advance_to(0.01 * number).submit(number, 1000 * sidecar_index + number + 1), Outcome.OK
            )
        for server in host.sent_to[40:]:
            if server in hits:
                hits[server] += 1
    assert 40 < sum(hits.values()) < 90 and max(hits.values()) <= 13, hits


@pytest.mark.parametrize("marks_retries", [True, False])
def test_client_retries_add_no_turns_at_a_cold_server(marks_retries: bool) -> None:
    """A storm of client retries once sent a cold server 4.7 times its capacity, where 3 overload it."""
    cold_hops = []
    for sidecar_index in range(40):
        host = ScriptedHost(
            make_settings(sidecar_index=sidecar_index, fleet_size=40, clients_mark_retries=marks_retries),
            [make_entry(server) for server in range(11, 20)],
        )
        for number in range(40):
            host.finish_hop(host.advance_to(0.5 * number).submit(number, number + 1), Outcome.OK)
        host.balancer.update_servers(host.now, ListKind.CHANGES, [make_entry(10, started_at=host.now)])
        host.sent_to.clear()
        for number in range(60):  # five times the rate, and none is answered
            submission = host.advance_to(20 + 0.1 * number).submit(
                100 + number, number + 1, retry=marks_retries and number % 5 > 0
            )
            submission.client_left(host.now)
            host.finish_hop(submission, Outcome.CANCELLED)
        cold_hops.append(host.sent_to.count(10))
    # Its budget is 0.55 x 2.5 x 0.2 to 0.44 of the share of one in ten: 21 of 480 first tries, 105 of 2,400.
    assert 8 < sum(cold_hops) < 40, cold_hops


def test_only_a_popular_key_is_spread_over_the_first_servers_of_its_order() -> None:
    host = ScriptedHost(make_settings(), [make_entry(server) for server in range(10, 30)])
    servers_by_key = {key: set() for key in (1, 2, 3)}
    for number in range(400):
        key = 1 if number % 8 == 0 else 2 if number % 100 == 1 else 1000 + number
        host.finish_hop(host.advance_to(number).submit(number, key), Outcome.OK)
        servers_by_key.setdefault(key, set()).add(host.sent_to[-1])
    assert [len(servers_by_key[key]) for key in (1, 2)] == [5, 1]


def test_one_late_answer_keeps_an_idle_sidecar_away_longer_than_a_busy_one() -> None:
    back = []
    for interval in (0.1, 0.5):
        host = ScriptedHost(make_settings(), [make_entry(server) for server in range(10, 20)])
        keys = host.keys_with_same_server(1, 2)
        for number in range(100):
            submission = host.advance_to(number * interval).submit(number, 1000 + number)
            host.advance_to(number * interval + 0.08).finish_hop(submission, Outcome.OK)
        late = host.advance_to(100 * interval).submit(200, keys[0])
        first = host.sent_to[-1]
        host.advance_to(100 * interval + 1).finish_hop(late, Outcome.OK)
        host.advance_to(100 * interval + 6).submit(201, keys[1])
        back.append(host.sent_to[-1] == first)
    assert back == [True, False]


def test_an_idle_sidecar_makes_trials_less_often() -> None:
    logs = []
    for interval in (0.1, 2.0):
        host = ScriptedHost(make_settings(sidecar_index=3), [make_entry(server) for server in (10, 11, 12)])
        for number, key in enumerate(host.keys_with_same_server(1, 20), 1):
            submission = host.advance_to(number * interval).submit(number, key)
            host.finish_hop(submission, Outcome.RESET)
            host.finish_hop(submission, Outcome.OK)
        logs += [line for line in host.lines if "open for" in line][:1]
    host.lines = logs
    check_host_trace("cooldowns", host)


def test_response_that_stops_is_cancelled_only_if_the_submission_may_run_again() -> None:
    host = ScriptedHost(make_settings(), [make_entry(10), make_entry(11), make_entry(12)])
    for number, class_index in enumerate((0, 1)):
        submission = host.advance_to(2 * number).submit(number, request_class=class_index)
        submission.response_started(host.advance_to(2 * number + 0.1).now, 0)
        host.advance_to(2 * number + 1.2)
        cancelled = "hop 0 cancelled" in host.lines[-1]
        submission.hop_finished(
            host.now, 0, Outcome.CANCELLED if cancelled else Outcome.TIMEOUT, 1_100_000, False
        )
        if not submission.is_finished():
            host.finish_hop(submission, Outcome.OK)
    check_host_trace("broken_off", host)


# An answer that went on was taken for broken off once its next pause could have ended past the deadline.
@pytest.mark.parametrize("pause", [0.04, 0.5, 0.9])
def test_response_that_goes_on_is_not_cancelled_before_the_deadline(pause: float) -> None:
    host = ScriptedHost(make_settings(), [make_entry(10), make_entry(11), make_entry(12)])
    submission = host.submit(0, deadline=2.0)
    for step in range(int(1.97 / pause) + 1):
        submission.response_started(host.advance_to(0.02 + step * pause).now, 0)
    host.advance_to(1.99)
    assert [line.split(": ")[1][:6] for line in host.lines] == ["hop to"]


def test_nothing_is_kept_of_servers_that_are_gone() -> None:
    host = ScriptedHost(make_settings(), [make_entry(10), make_entry(11)])
    for first in range(20, 60, 2):
        held = host.submit(first, key=0)
        for ready in (False, True):
            host.balancer.update_servers(
                host.now, ListKind.FULL, [make_entry(first + 1), make_entry(first)][: 2 * ready]
            )
        # Its index is not reused while a hop to it is in flight, as the outcome would count for another.
        host.finish_hop(held, Outcome.RESET)
        host.finish_hop(held, Outcome.OK)
    values = [getattr(host.balancer, name) for name in dir(host.balancer) if not name.startswith("__")]
    rows = [row for row in values if isinstance(row, (list, dict))]
    assert max(map(len, rows)) <= 4 and sorted(host.balancer.index_by_id) == [58, 59]
    assert host.balancer.failure_counts.count(0) == len(host.balancer.failure_counts)


def test_retry_stays_in_the_group_of_a_server_whose_index_was_reused() -> None:
    host = ScriptedHost(make_settings(deduplicated_class(DedupGroup.ZONE)), [make_entry(10, zone=1)])
    submission = host.submit(1, key=0, deadline=5)
    host.balancer.update_servers(0, ListKind.FULL, [make_entry(12, zone=2)])
    host.finish_hop(submission, Outcome.RESET)
    assert host.lines[-1].endswith("submission 1: forfeited") and submission.is_finished()


def test_failures_common_to_all_servers_open_only_the_breaker_of_the_unhealthy_one() -> None:
    host = ScriptedHost(make_settings(max_hops=1), [make_entry(server) for server in range(10, 18)])
    for number in range(1, 2001):
        submission = host.advance_to(number * 0.02).submit(number, key=number)
        unhealthy = host.sent_to[-1] == 13 and number > 1000
        host.finish_hop(
            submission, Outcome.RESET if unhealthy or host.balancer.rng.next_float() < 0.25 else Outcome.OK
        )
    # All servers fail a quarter of their hops, and the unhealthy one fails all of them in the second half.
    opened = [line.split()[3] for line in host.lines if "open for" in line and float(line.split()[0]) > 5]
    assert opened and set(opened) == {"13"}


def test_hops_with_new_keys_do_not_count_as_queued_where_work_is_short() -> None:
    limits = []
    for factor in (4, 30, 50):
        host = ScriptedHost(make_settings(), [make_entry(server) for server in (10, 11, 12)])
        for number in range(1, 400):
            submission = host.advance_to(number * 0.5).submit(number, key=number)
            host.advance_to(number * 0.5 + 0.01 * (factor if number > 200 and number % 2 else 1)).finish_hop(
                submission, Outcome.OK
            )
        limits.append(sum("limit on" in line for line in host.lines))
    assert limits[:2] == [0, 0] and limits[2] > 0


def test_started_stream_closes_a_trial_and_its_reset_counts() -> None:
    host = ScriptedHost(
        make_settings(replace(READ_CLASS, stream=True), ONCE_CLASS), [make_entry(10), make_entry(11)]
    )
    preferred_server(host, 1)
    host.run_submissions(1, 3, 1, Outcome.RESET)
    for number in range(4, 8):
        submission = host.advance_to(2 * number).submit(number, deadline=60)
        submission.response_started(host.advance_to(2 * number + 0.1).now, 0)
        host.advance_to(2 * number + 1.9)
        submission.hop_finished(host.now, 0, Outcome.RESET, 1_900_000, True)
    check_host_trace("stream", host)


def test_cold_server_without_capacity_gets_nothing_while_a_warm_one_is_ready() -> None:
    host = ScriptedHost(make_settings(cold_fraction=0.0), [make_entry(10, started_at=1), make_entry(11)])
    host.submit(1)
    assert host.sent_to == [11]


def test_log_uses_the_names_of_servers_compiled_and_interpreted() -> None:
    """Compiled code keeps ids as plain integers, so a name can't travel with the id object."""
    logged_names = []
    for server_id, name in ((7, "s-7"), (2**63 + 9, "s-9"), (11, "")):
        host = ScriptedHost(
            make_settings(), [make_entry(server_id)._replace(name=name), make_entry(1), make_entry(2)]
        )
        for step in range(40):
            submission = host.advance_to(step / 10).submit(step, step + 1)
            host.finish_hop(submission, Outcome.ERROR if host.sent_to[-1] == server_id else Outcome.OK)
            while not submission.is_finished():
                host.finish_hop(submission, Outcome.OK)
        logged_names += {line.split("server ")[1].split()[0] for line in host.lines if " open for " in line}
    assert logged_names == ["s-7", "s-9", "11"]


def test_start_in_the_future_counts_as_now_and_only_once() -> None:
    """Clocks differ: a server listed to start in 60 s is cold for its 20 s, and is reset only once."""
    ahead = make_entry(7, started_at=65 * SECOND)
    host = ScriptedHost(make_settings(), [make_entry(1), make_entry(2), make_entry(7)])
    at = host.balancer.index_by_id[7]
    before = host.balancer.generations[at]
    host.advance_to(5).balancer.update_servers(host.now, ListKind.CHANGES, [ahead])
    fractions = []
    for seconds in (5, 10, 15, 25, 40):
        host.advance_to(seconds).balancer.update_servers(host.now, ListKind.CHANGES, [ahead])
        fractions.append(round(host.balancer.warm_fraction(host.now, at), 3))
    assert fractions == [0.2, 0.4, 0.6, 1.0, 1.0] and host.balancer.generations[at] == before + 1


def test_cold_servers_take_their_turns_during_congestion() -> None:
    """In a fleet of mostly new servers the few warm ones would be overloaded while the new ones are idle."""
    cold = [make_entry(server, started_at=9 * SECOND) for server in range(2, 8)]
    host = ScriptedHost(make_settings(), [make_entry(1)])
    for number in range(1000, 1100):
        submission = host.advance_to(0.1 * (number - 1000)).submit(number, key=number + 1)
        host.advance_to(host.now / SECOND + 0.09).finish_hop(submission, Outcome.OK)
    host.sent_to.clear()
    host.balancer.update_servers(host.now, ListKind.CHANGES, cold)
    for number in range(200):
        host.balancer.limit = 0.001  # congestion: all submissions to warm servers are shed
        host.finish_hop(host.advance_to(10 + 0.1 * number).submit(number, key=number + 1), Outcome.OK)
    counts = [host.sent_to.count(server) for server in range(1, 8)]
    assert counts[0] == 0 and all(counts[1:]) and 60 < sum(counts) < 150, counts


def test_pause_after_a_failed_list_request_shrinks_with_its_duration() -> None:
    """A change made when the call began must be known 6 s later; the next call has to start within 4 s."""
    for elapsed, shortest, longest in ((0, 1.0, 4.0), (SECOND, 0.75, 3.0), (7 * SECOND // 2, 0.25, 1.0)):
        host = ScriptedHost(make_settings(polls_list=True), [make_entry(10)])
        pauses = []
        for _ in range(200):
            host.balancer.update_servers(host.now, ListKind.FAILED, [], elapsed)
            pauses.append((host.timers.pop()[0] - host.now) / SECOND)
        assert shortest <= min(pauses) < shortest * 1.1 and longest * 0.95 < max(pauses) <= longest
