"""The decisions of one sidecar: choice of servers, retries, breakers and load shedding.

A host creates one `Balancer` for each sidecar that it runs, passes it the server lists, and calls `submit`
for each submission.  The `Submission` returned is the handle for what happens to it: outcomes of its hops,
expired timers and the departure of its client are reported by calls on it.  Decisions go out through
`Callbacks`.

There are no sockets, threads or clocks here: every call is given the time, in microseconds, and the caller
makes sure that calls don't overlap.  The types shared with hosts are in `interface`.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import replace
from heapq import heapify, heappop, nsmallest

from .interface import (
    RESPONSE_STALL_US,
    Callbacks,
    DedupGroup,
    Effect,
    ListKind,
    Outcome,
    PeerTrials,
    RequestClass,
    ServerEntry,
    ServerState,
    Settings,
)

CLOSED, OPEN, HALF_OPEN = range(3)
UINT64_MASK = (1 << 64) - 1

FAILURE_THRESHOLD = 3  # consecutive failures that open a breaker
COOLDOWN_US = 5_000_000  # from opening to the first trial
MAX_COOLDOWN_US = 20_000_000
TRIAL_FRACTION = 0.25  # trials as a fraction of the hops that the server would get with a closed breaker
MAX_HALF_OPEN_TRIALS = 1
CROWDED_RATIO = 1.25  # multiple of its fair share of hops in flight from which a server is passed over
QUEUED_LATENCY_RATIO = 3.0  # a hop that took this multiple of the typical latency counts as queued,
QUEUED_TARGET_FRACTION = 0.3  # if it also took this fraction of the latency target
RESPONSE_GAP_FRACTION = 0.25  # of the latency target: the least pause in which a response has stopped
STALL_LATENCY_RATIO = 1.0  # a hop in flight for this multiple of the typical latency stalls its server,
STALL_TARGET_FRACTION = 0.1  # if it has also been out for this fraction of the latency target
SUSPECT_LATENCY_RATIO = 3.0  # after this multiple of the typical latency an answer may be lost on its way,
SUSPECT_TARGET_FRACTION = 0.25  # if this fraction of the latency target has passed too
HEDGE_LOSS_RATE = 0.3  # hedges are sent once more than this fraction of suspected answers proved lost
SLOW_TARGET_FRACTION = 0.7  # a hop that took more than this fraction of the latency target counts as slow
RETRY_VALUE_FACTOR = 0.2  # fraction of its value that counts for a submission that its client retries
CONGESTION_RATIO = 0.4  # ratio of slow, or of queued, hops above which the limit is cut
MIN_SLOW_RATIO = 0.05  # ratio of slow hops from which the queue at the median server counts
LIMIT_GROWTH = 0.12  # fraction of the limit after its last cut by which it grows in a typical latency
FAILURE_RATE_THRESHOLD = 0.25  # a breaker opens at a failure rate above this plus
FAILURE_RATE_MEDIAN_FACTOR = 2.0  # this multiple of the median server's failure rate
FAILURE_RUN_PROBABILITY = 0.00002  # runs of failures more likely than this at the median rate are chance
COLD_BUDGET_FRACTION = 0.55  # of what the overload rule lets all sidecars together send to a cold server
GOODPUT_SLACK = 1.1  # multiple of the rate of answers here up to which submissions count for cold servers,
MIN_GOODPUT_SUBMISSIONS = 10  # once so many were admitted
GOLDEN_RATIO_STEP = 0.6180339887498949  # its multiples modulo 1 fill the unit interval evenly, at any count
SILVER_RATIO_STEP = 0.41421356237309515  # so do these; no two sums of multiples of both steps are equal
FULL_RATIO_THRESHOLD = 0.05  # ratio of hops answered with "full" above which submissions are shed
FULL_RATIO_STEP = 0.25  # weight of each hop in that ratio
FULL_RATIO_DECAY_US = 1.5e6  # time constant with which that ratio fades
SHORT_DEADLINE_VALUE_FACTOR = 0.3  # the same where the deadline is nearer than the typical latency
FULL_SHED_FACTOR = 3.0  # probability of shedding per unit of that ratio above its threshold
SUBSET_CHOICE_VALUE = 0.025  # value of more servers to choose from, weighed against the cost of connections
MIN_SUBSET_SIZE = 4  # servers that a sidecar uses at least where connections cost
MAX_CROSS_ZONE_COST = 0.08  # cost of a cross-zone hop from which servers of other zones get the lowest weight
RECENT_KEYS = 64  # number of last submissions in which popular keys are looked for
HOT_KEY_RATIO = 2.0  # servers that a key is spread over, per server's fair share that it makes up
SAMPLE_DECAY_US = 3_000_000  # time constant with which a server's slowdown fades without new samples
MIN_IDLE_BITS = 17  # idle times under 2 to the power of this, in microseconds, share the first bucket
IDLE_BUCKETS = 8  # number of idle time buckets, each twice as long as the one before
IDLE_LOSS_RATE = 0.55  # loss rate above that of the first bucket which shows that connections are dropped,
MIN_IDLE_LOSSES = 3.0  # with more losses than this
IDLE_LOSS_DECAY_US = 2e6  # time constant with which uses and losses fade
IDLE_LIMIT_HOLD_US = 15_000_000  # how long a limit on idle times stays until longer ones are tried again
HINT_PEERS = 6  # number of other sidecars that get a hint
HINT_INTERVAL_US = 1_000_000  # between two hints, at least
UNLISTED_STEP_US = 1_000_000  # between changes of the weight of a server that the list dropped or has again
MIN_UNLISTED_FACTOR = 1 / 16  # lowest factor on the weight of a server that the list dropped
MAX_UNLISTED_US = 30_000_000  # without an answer, until a server that the list dropped counts as gone
MAX_DRAINED = 4096  # servers that are remembered as drained
MAX_OUT_OF_SERVICE = 1000  # servers that operators can take out of service at once
HINT_VERSION = 1  # first byte of a hint; then a byte per bucket for uses, and one per bucket for losses
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
NEUTRAL_OUTCOMES = (Outcome.FULL, Outcome.CANCELLED, Outcome.MOOT)
Placement = tuple[tuple[int, ...] | None, tuple[int, ...] | None]  # allowed zones and kinds; None: any


class SeededRandom:
    """A linear congruential generator with the constants of Knuth's MMIX; only its high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed & UINT64_MASK

    def next_bits(self) -> int:
        """Return 31 random bits."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & UINT64_MASK
        return self.state >> 33

    def next_float(self) -> float:
        """Return a random number from 0 up to, but not including, 1."""
        return self.next_bits() / (1 << 31)


def mix_bits(value: int) -> int:
    """Scatter 64 bits, so that similar keys and ids get unrelated scores: the finalizer of SplitMix64."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & UINT64_MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & UINT64_MASK
    return value ^ (value >> 31)


class IdleLossTracker:
    """Counts lost hops by how long their connection had been idle, and limits the idle time accordingly.

    Firewalls and the like drop idle connections without notice.  The next hop on such a connection is lost,
    which a non-idempotent one can't make up for, and the losses would open the breakers of healthy servers.
    """

    def __init__(self) -> None:
        self.used = [0.0] * IDLE_BUCKETS
        self.lost = [0.0] * IDLE_BUCKETS
        self.own_counts = bytearray(2 * IDLE_BUCKETS)  # observed here since the last hint was sent
        self.decayed_at = self.hold_until = 0
        self.idle_limit = UINT64_MASK  # idle time from which a connection is not to be used any more

    def record(self, now: int, idle_time: int, lost: bool) -> None:
        """Count a hop observed here on a connection that had been idle for `idle_time` microseconds."""
        bucket = min(IDLE_BUCKETS - 1, max(0, idle_time.bit_length() - MIN_IDLE_BITS))
        for slot in (bucket, bucket + IDLE_BUCKETS)[: 1 + lost]:
            self.own_counts[slot] = min(255, self.own_counts[slot] + 1)
        self.add(now, bucket, 1, int(lost))

    def add(self, now: int, bucket: int, used: int, lost: int) -> None:
        """Add uses and losses to a bucket, and derive the limit anew.

        A longer limit replaces the present one only after `IDLE_LIMIT_HOLD_US`.
        """
        decay = math.exp((self.decayed_at - now) / IDLE_LOSS_DECAY_US)
        self.decayed_at = now
        for other in range(IDLE_BUCKETS):
            self.used[other] *= decay
            self.lost[other] *= decay
        self.used[bucket] += used
        self.lost[bucket] += lost
        baseline = IDLE_LOSS_RATE + self.lost[0] / (1.0 + self.used[0])
        limit = next(
            (
                1 << MIN_IDLE_BITS + other - 1
                for other in range(1, IDLE_BUCKETS)
                if self.lost[other] > max(MIN_IDLE_LOSSES, baseline * self.used[other])
            ),
            UINT64_MASK,
        )
        if limit < self.idle_limit or now > self.hold_until:
            self.idle_limit = limit
            self.hold_until = now + IDLE_LIMIT_HOLD_US

    def merge_hint(self, now: int, data: bytes) -> bool:
        """Add the counts that another sidecar observed; return False if the hint can't be read."""
        if len(data) != 1 + 2 * IDLE_BUCKETS or data[0] != HINT_VERSION:
            return False
        for bucket in range(IDLE_BUCKETS):
            used, lost = data[1 + bucket], data[1 + IDLE_BUCKETS + bucket]
            if 0 < used >= lost:
                self.add(now, bucket, used, lost)
        return True


class Hop:
    """One attempt at a server.

    `server_index` is valid while the hop is in flight, since the index may be reused afterwards; `zone` and
    `cell` stay those of the server that it was sent to.  `due_at` is when its server counts as stalled or,
    once the response has begun, when more of it must have arrived.
    """

    __slots__ = (
        "sent_at",
        "due_at",
        "server_index",
        "zone",
        "cell",
        "generation",
        "is_trial",
        "load_at_send",
        "in_flight",
        "may_have_run",
        "outcome_recorded",
        "response_begun",
        "idle_time",
        "suspected_lost",
    )

    def __init__(
        self,
        sent_at: int,
        due_at: int,
        server_index: int,
        zone: int,
        cell: int,
        generation: int,
        is_trial: bool,
        load_at_send: float,
    ) -> None:
        self.sent_at, self.due_at = sent_at, due_at
        self.server_index, self.zone, self.cell = server_index, zone, cell
        self.generation = generation
        self.is_trial = is_trial
        self.in_flight = self.may_have_run = True
        self.outcome_recorded = self.response_begun = self.suspected_lost = False
        self.load_at_send = load_at_send
        self.idle_time = 0


class Candidates:
    """The ready servers of one placement, the subset that this sidecar uses, and its scores by key."""

    __slots__ = ("servers", "subset", "scores")

    def __init__(self, servers: list[int], subset: list[int]) -> None:
        self.servers, self.subset = servers, subset
        self.scores: dict[int, list[float]] = {}


class ClassState:
    """A request class and the latency of its submissions, in microseconds.

    `typical_latency` is a running median, and `unloaded_latency` the lowest value that it has had.

    A submission keeps the state under which it was admitted, even if new settings replace the class
    meanwhile.
    """

    __slots__ = (
        "request_class",
        "placement",
        "latency_target",
        "typical_latency",
        "unloaded_latency",
        "samples",
    )

    def __init__(self, request_class: RequestClass, previous: ClassState | None = None) -> None:
        self.request_class = request_class
        self.placement: Placement = (request_class.zones, request_class.kinds)
        self.latency_target = request_class.latency_target
        self.typical_latency: float = (
            previous.typical_latency if previous else max(1.0, request_class.latency_target / 4)
        )
        self.unloaded_latency: float = previous.unloaded_latency if previous else self.typical_latency
        self.samples: int = previous.samples if previous else 0


class Submission:
    """One submission from its admission to its final answer, and its hops until the last one has finished."""

    __slots__ = (
        "balancer",
        "id",
        "class_state",
        "key",
        "deadline_at",
        "is_retry",
        "hops",
        "hops_in_flight",
        "done",
        "uploading",
        "body_discarded",
    )

    def __init__(
        self,
        balancer: Balancer,
        submission_id: int,
        class_state: ClassState,
        key: int,
        is_retry: bool,
        deadline_at: int,
    ) -> None:
        self.balancer = balancer
        self.id = submission_id
        self.class_state = class_state
        self.key = key
        self.deadline_at = deadline_at
        self.is_retry = is_retry
        self.hops: list[Hop] = []
        self.hops_in_flight = 0
        self.done = False
        self.uploading = False  # whether its body is still arriving and is forwarded as it arrives
        self.body_discarded = False  # whether part of its body is gone, so that no other hop can send it

    def body_complete(self, now: int, hop_number: int, deadline_at: int) -> None:
        """Report that the body has arrived whole: the deadline and the time of the hop start now."""
        hop = self.hops[hop_number]
        self.uploading = False
        self.deadline_at = deadline_at
        if hop.in_flight:
            hop.sent_at = now
            hop.due_at = now + int(
                max(
                    STALL_LATENCY_RATIO * self.class_state.typical_latency,
                    STALL_TARGET_FRACTION * self.class_state.latency_target,
                )
            )
            self.balancer.callbacks.set_timer(now + self.class_state.latency_target, self)

    def is_finished(self) -> bool:
        """Whether it has its final answer and no hop is in flight."""
        return self.done and self.hops_in_flight == 0

    def response_started(self, now: int, hop_number: int) -> None:
        """Report that the response to a hop has begun, or that more of it, but not all, has arrived.

        The first call counts as an answer and decides a trial; a break later on still counts as a failure.
        """
        hop = self.hops[hop_number]
        if not hop.in_flight:
            return
        gap = max(RESPONSE_STALL_US, int(RESPONSE_GAP_FRACTION * self.class_state.latency_target))
        hop.due_at = now + gap
        if not hop.response_begun:
            self.balancer.record_answer(now, self.class_state, hop, now - hop.sent_at)
            hop.response_begun = True
            hop.is_trial = hop.outcome_recorded = False
            if hop.due_at < self.deadline_at and not self.class_state.request_class.stream:
                self.balancer.callbacks.set_timer(hop.due_at, self)

    def hop_finished(self, now: int, hop_number: int, outcome: Outcome, elapsed: int, is_final: bool) -> None:
        """Report the outcome of a hop after `elapsed` microseconds; `is_final`: the client has its answer."""
        hop = self.hops[hop_number]
        if not hop.in_flight:
            return
        hop.in_flight = False
        self.hops_in_flight -= 1
        hop.may_have_run = outcome not in NEVER_RAN or (
            outcome == Outcome.FULL and self.balancer.settings.full_may_have_run
        )
        if outcome not in (Outcome.CANCELLED, Outcome.MOOT):
            self.balancer.record_full(outcome == Outcome.FULL)
        self.balancer.finish_hop(now, self.class_state, hop, outcome, elapsed)
        if self.done:
            return
        if is_final:
            self.done = True
            for other_number, other in enumerate(self.hops):
                if other.in_flight:
                    self.balancer.callbacks.cancel(self.id, other_number)
        elif self.hops_in_flight == 0:
            self.send_next_hop(now)

    def client_left(self, now: int) -> None:
        """Report that the client has gone: hops in flight still report outcomes, but no answer is due."""
        self.done = True

    def on_timer(self, now: int) -> None:
        """Count overdue hops against their servers, but let them go on; hedge those suspected lost."""
        balancer, latency_target = self.balancer, self.class_state.latency_target
        for hop_number, hop in enumerate(self.hops):
            if not hop.in_flight or hop.outcome_recorded:
                continue
            if not hop.response_begun and now - hop.sent_at >= latency_target:
                balancer.record_overdue(now, self.class_state, hop)
            elif (
                not hop.response_begun
                and not hop.suspected_lost
                and now - hop.sent_at >= self.suspect_after()
            ):
                hop.suspected_lost = True
                self.send_hedge(now)
            elif hop.response_begun and now < hop.due_at:
                # It goes on.  Where it would stop only past the deadline, that one decides.
                if hop.due_at < self.deadline_at:
                    balancer.callbacks.set_timer(hop.due_at, self)
            elif hop.response_begun and not self.class_state.request_class.stream:
                # A response may begin and never end; where the submission may run again, another server
                # gets it.
                balancer.record_outcome(now, hop, True, "answer broken off")
                if not self.done and self.can_retry(now):
                    balancer.callbacks.cancel(self.id, hop_number)

    def suspect_after(self) -> int:
        """How long a hop is in flight until its answer is suspected lost; the latency target without hedging.

        Only deduplicated submissions are hedged, as the servers of their group drop the second copy.
        """
        if (
            not self.balancer.settings.hedging_allowed
            or self.class_state.request_class.effect != Effect.DEDUPLICATED
        ):
            return self.class_state.latency_target
        return int(
            max(
                SUSPECT_LATENCY_RATIO * self.class_state.typical_latency,
                SUSPECT_TARGET_FRACTION * self.class_state.latency_target,
            )
        )

    def send_hedge(self, now: int) -> None:
        """Send a second hop beside the first if answers tend to get lost on their way.

        The work has been done then, and the deduplication group doesn't do it again.
        """
        balancer = self.balancer
        if (
            self.hops_in_flight == 1
            and not self.done
            and not self.body_discarded
            and now < self.deadline_at
            and balancer.loss_rate > HEDGE_LOSS_RATE
            and balancer.load < balancer.limit
            and balancer.take_retry_token(self)
            and (index := balancer.choose_server(now, self)) >= 0
        ):
            self.send_hop(now, index)

    def can_retry(self, now: int) -> bool:
        """Whether a further hop would be allowed; takes no retry token."""
        try:
            self.retry_anchor(now)
        except PermissionError:
            return False
        return (
            not self.body_discarded
            and len(self.hops) < self.balancer.settings.max_hops
            and self.balancer.retry_tokens >= 1.0
        )

    def retry_anchor(self, now: int) -> Hop | None:
        """Return the hop whose deduplication group a further hop must stay in; None: it may go to any server.

        Raises PermissionError if no further hop is allowed.
        """
        request_class = self.class_state.request_class
        for hop in self.hops:
            if hop.may_have_run:
                if request_class.effect == Effect.IDEMPOTENT:
                    return None
                if (
                    request_class.effect == Effect.NON_IDEMPOTENT
                    or now > hop.sent_at + request_class.dedup_window
                ):
                    raise PermissionError
                return hop if request_class.dedup_group != DedupGroup.ALL else None
        return None

    def safe_to_reject(self) -> bool:
        """Whether the client can safely try again, which a rejection promises."""
        request_class = self.class_state.request_class
        if request_class.effect == Effect.IDEMPOTENT or not any(hop.may_have_run for hop in self.hops):
            return True
        return request_class.effect == Effect.DEDUPLICATED and request_class.dedup_group == DedupGroup.ALL

    def send_next_hop(self, now: int) -> None:
        """Send the next hop, or give the final answer if none is allowed."""
        index = -1
        if now < self.deadline_at and not self.body_discarded and self.balancer.take_retry_token(self):
            index = self.balancer.choose_server(now, self)
        if index >= 0:
            self.send_hop(now, index)
        else:
            self.give_up(now)

    def give_up(self, now: int) -> None:
        """Give the final answer: rejected if the client can safely try again, else failed."""
        self.done = True
        if self.safe_to_reject():
            self.balancer.callbacks.reject(self.id, self.balancer.retry_after(self.class_state))
        else:
            self.balancer.callbacks.fail(self.id)

    def send_hop(self, now: int, index: int) -> None:
        """Send a hop to a server and set the timers that watch it."""
        balancer = self.balancer
        self.hops.append(balancer.start_hop(now, self.class_state, index))
        self.hops_in_flight += 1
        balancer.callbacks.send(self.id, balancer.ids[index], 0)
        latency_target = self.class_state.latency_target
        if self.uploading:
            # The server can't begin before the client has sent the body: its time doesn't count until then.
            self.hops[-1].sent_at = self.hops[-1].due_at = self.deadline_at
        elif now + latency_target < self.deadline_at:
            balancer.callbacks.set_timer(now + latency_target, self)
        if not self.uploading and (suspect_after := self.suspect_after()) < latency_target:
            balancer.callbacks.set_timer(now + suspect_after, self)


class SettingsTransition:
    """Replaces the stricter combination of old and new settings by the new ones when its timer expires."""

    def __init__(self, balancer: Balancer, settings: Settings) -> None:
        self.balancer = balancer
        self.settings = settings

    def on_timer(self, now: int) -> None:
        """End the transition, unless later settings have begun another."""
        if self.balancer.transition is self:
            self.balancer.transition, self.balancer.settings = None, self.settings
            self.balancer.derive_from_settings(self.settings)


class Balancer:
    """The state and decisions of one sidecar; all state of servers is in parallel lists by server index.

    A server keeps its index while it is listed or a hop to it is in flight; afterwards the index is reused.
    """

    def __init__(self, settings: Settings, seed: int, callbacks: Callbacks) -> None:
        self.settings = settings
        self.callbacks = callbacks
        self.peer_trials: PeerTrials | None = None
        self.rng = SeededRandom(seed)
        # The server list.
        self.index_by_id: dict[int, int] = {}
        self.free_indexes: list[int] = []
        self.ids: list[int] = []
        self.names: list[str] = []
        self.zones: list[int] = []
        self.cells: list[int] = []
        self.kinds: list[int] = []
        self.listed_states: list[ServerState] = []
        self.weights: list[float] = []
        self.cold_tokens: list[float] = []  # token bucket of each cold server, where tenants have quotas
        self.cold_tokens_at: list[int] = []
        self.max_weights: dict[int, float] = {}  # by kind: the largest weight listed of it
        self.started_at: list[int] = []
        self.listed_starts: list[int] = []  # as listed, not adjusted to this clock
        self.salts: list[int] = []
        self.ready: list[int] = []
        self.list_is_usable = True  # False: nothing is sent, as the list may be too old for that
        self.candidates: dict[Placement, Candidates] = {}
        self.out_of_service: dict[int, int] = {}  # by id: when an operator took it out
        self.drained_starts: dict[int, int] = {}  # by id: the start that was listed as draining
        self.returned_at: dict[int, int] = {}  # by id: when an operator put it back, while it may be cold
        self.transition: SettingsTransition | None = None
        self.total_quota = 0.0  # submissions per microsecond
        self.derive_from_settings(settings)
        # Breakers.
        self.breaker_states: list[int] = []
        self.failure_counts: list[int] = []
        self.breaker_since: list[int] = []  # when it opened or, while half-open, when its trial was sent
        self.cooldowns: list[int] = []
        self.failure_rates: list[float] = []
        self.generations: list[int] = []  # outcomes of hops from an earlier generation are not counted
        self.trials_in_flight: list[int] = []
        # Observations of this sidecar.
        self.hops_in_flight: list[list[Hop]] = []
        self.unlisted_since: list[int] = []  # when the list dropped a server that is still used; 0: listed
        self.weight_factors: list[float] = []  # fraction of the weight that counts
        self.weight_factors_at: list[int] = []
        self.answered_at: list[int] = []
        self.idle_since: list[int] = []  # when the last hop to a server finished; 0: no hop yet
        self.idle_losses = IdleLossTracker()
        self.hint_sent_at = self.ignored_messages = 0
        self.loss_rate = 0.0  # fraction of suspected answers that never arrived
        self.slowdowns: list[float] = []  # latency as a multiple of the typical latency
        self.queued_ratios: list[float] = []
        self.last_was_late: list[bool] = []
        self.slowdowns_at: list[int] = []
        self.cold_sends: list[deque[int]] = []
        self.total_in_flight = 0
        self.class_states = tuple(ClassState(request_class) for request_class in settings.request_classes)
        self.retry_tokens = 10.0
        # Each sidecar starts its turns at cold servers at a point of its own.  With multiples of
        # GOLDEN_RATIO_STEP here, sidecars in step would reach the same points as others some submissions
        # later, and all of them would send to one cold server within one window.
        self.turn_point = settings.sidecar_index * SILVER_RATIO_STEP % 1.0
        self.mean_gap = 0.0  # microseconds between admissions
        self.admitted = self.admitted_at = 0
        # Keys of the last submissions, and the number of times that each is among them.
        self.recent_keys: deque[int] = deque()
        self.key_counts: dict[int, int] = {}
        # The concurrency limit: hops in flight (averaged), the limit, its last cut, and what moves it.
        self.load = 0.0
        self.load_at = 0
        self.limit = self.limit_after_cut = math.inf
        self.limit_cut_at = 0
        self.slow_ratio = 0.0
        self.full_ratio = 0.0
        self.full_ratio_at = 0
        # Answers received, fading with time, for the goodput ratio.
        self.recent_answers, self.first_admitted_at, self.recent_answers_at = 0.0, -1, -1
        # Requests for the server list.
        self.follows_list = not settings.polls_list
        self.list_requested = False

    # -- the server list

    def update_servers(
        self, now: int, kind: ListKind, entries: Sequence[ServerEntry], elapsed: int = 0
    ) -> None:
        """Apply a server list or changes to it; `elapsed`: microseconds that a failed request for it took."""
        if kind == ListKind.FAILED:
            self.follows_list = self.list_requested = False
            # The random pause keeps the sidecars from asking again all at once.  It must end well before the
            # rules count the list, or a change made since the failed call began, as known here: so it is at
            # most half the poll interval, and shorter the longer that call took.
            pause = (
                (1_000_000 + self.rng.next_bits() % 3_000_000) * max(1_000, 4_000 - elapsed // 1000) // 4_000
            )
            self.callbacks.set_timer(now + min(self.settings.poll_interval // 2, pause), self)
            return
        if kind == ListKind.CACHED:
            if self.settings.polls_list:
                self.on_timer(now)
        else:
            self.list_requested = False
            self.follows_list = True
        changed = kind != ListKind.CHANGES
        if changed:
            listed_ids = {entry.server for entry in entries}
            for server, index in self.index_by_id.items():
                if server not in listed_ids:
                    self.mark_unlisted(now, index)
        for entry in entries:
            index = self.index_by_id.get(entry.server, -1)
            if self.settings.only_draining_removes:
                entry = self.keep_draining(now, entry)
            if index >= 0 and entry.state == ServerState.GONE:
                self.mark_unlisted(now, index)
                changed = True
            elif index >= 0 and (entry.state, entry.started_at, entry.zone, entry.cell, entry.kind) == (
                self.listed_states[index],
                self.listed_starts[index],
                self.zones[index],
                self.cells[index],
                self.kinds[index],
            ):
                self.set_weight(index, entry)  # renewals of live weights need no more than this
            elif entry.state != ServerState.GONE or index >= 0:
                self.set_entry(now, entry)
                changed = True
        if changed:
            for index in [
                index for index in self.index_by_id.values() if self.listed_states[index] == ServerState.GONE
            ]:
                self.release_index(index)
            self.update_ready()

    def keep_draining(self, now: int, entry: ServerEntry) -> ServerEntry:
        """Keep a server draining that was listed so, whatever an outdated list says of the same process.

        Used where only draining removes servers.
        """
        if entry.state == ServerState.DRAINING:
            self.drained_starts[entry.server] = max(
                entry.started_at, self.drained_starts.pop(entry.server, 0)
            )
            if len(self.drained_starts) > MAX_DRAINED:
                del self.drained_starts[next(iter(self.drained_starts))]
        elif entry.state == ServerState.READY:
            if entry.started_at <= self.drained_starts.get(entry.server, -1):
                return entry._replace(state=ServerState.DRAINING)
            index = self.index_by_id.get(entry.server, -1)
            if index >= 0 and self.unlisted_since[index]:
                self.unlisted_since[index], self.weight_factors_at[index] = 0, now
        return entry

    def mark_unlisted(self, now: int, index: int) -> None:
        """Handle a server that the list no longer has.

        Where only draining removes servers it stays in use until it hasn't answered for `MAX_UNLISTED_US`, as
        lists may omit servers that still serve.  The cost is hops tried at servers that are really gone.
        """
        if not self.settings.only_draining_removes or self.listed_states[index] != ServerState.READY:
            self.listed_states[index] = ServerState.GONE
        elif not self.unlisted_since[index]:
            self.unlisted_since[index] = self.weight_factors_at[index] = now
        elif now - max(self.unlisted_since[index], self.answered_at[index]) > MAX_UNLISTED_US:
            self.listed_states[index] = ServerState.GONE

    def weight_factor(self, now: int, index: int) -> float:
        """Return the fraction of its weight that counts for a server that the list dropped or has again.

        It halves at each step without an answer, and doubles at others and once the server is listed again.
        """
        since = self.weight_factors_at[index]
        if now - since >= UNLISTED_STEP_US and (
            self.unlisted_since[index] or self.weight_factors[index] < 1.0
        ):
            self.weight_factors_at[index] = now
            grows = not self.unlisted_since[index] or self.answered_at[index] >= since
            self.weight_factors[index] = (
                min(1.0, 2 * self.weight_factors[index])
                if grows
                else max(MIN_UNLISTED_FACTOR, self.weight_factors[index] / 2)
            )
        return self.weight_factors[index]

    def set_list_usable(self, usable: bool) -> None:
        """Choose servers from the list or, while a new process waits for its first one, choose none."""
        self.list_is_usable = usable
        self.update_ready()

    def update_ready(self) -> None:
        """Collect the servers that are listed as ready and not out of service; none of an unusable list."""
        self.ready = [
            index
            for index, state in enumerate(self.listed_states)
            if self.list_is_usable
            and state == ServerState.READY
            and self.ids[index] not in self.out_of_service
        ]
        self.update_candidates()

    def update_candidates(self) -> None:
        """Compute the candidates of each class; they change with the list and the settings only."""
        self.candidates.clear()
        for class_state in self.class_states:
            self.candidates_for(class_state.placement)

    def candidates_for(self, placement: Placement) -> Candidates:
        """Return the candidates for a placement; those of earlier settings are computed on demand."""
        candidates = self.candidates.get(placement)
        if candidates is None:
            zones, kinds = placement
            ready = [
                index
                for index in self.ready
                if (zones is None or self.zones[index] in zones)
                and (kinds is None or self.kinds[index] in kinds)
            ]
            candidates = self.candidates[placement] = Candidates(ready, self.choose_subset(ready))
        return candidates

    def set_out_of_service(self, now: int, server: int, out: bool, certain: bool = False) -> bool:
        """Take a server out of service for an operator, or put it back; return False for an unknown id.

        Neither lists nor breakers nor trials bring it back while operators work on it.  When put back it
        counts as cold since its start, if it was started meanwhile, else since now.  `certain`: the id is
        known to exist, as another process has found it.
        """
        index = self.index_by_id.get(server, -1)
        was_out = server in self.out_of_service
        is_unknown = (index < 0 or self.listed_states[index] == ServerState.GONE) and not certain
        if not was_out and (is_unknown or out and len(self.out_of_service) >= MAX_OUT_OF_SERVICE):
            return False
        if out:
            self.out_of_service.setdefault(server, now)
        elif was_out:
            retention = max(self.settings.cold_duration, self.settings.overload_window)
            self.returned_at = {
                other: since for other, since in self.returned_at.items() if now - since < retention
            }
            if self.out_of_service.pop(server) >= (self.started_at[index] if index >= 0 else 0):
                self.returned_at[server] = now
            if index >= 0:
                self.reset_server(now, index, max(self.started_at[index], self.returned_at.get(server, 0)))
        self.update_ready()
        if out != was_out:
            self.callbacks.log(f"server {self.server_name(server)} {'out' if out else 'back'} by hand")
        return True

    def server_name(self, server: int) -> str:
        """Return a server's name, or its id if it is not listed."""
        index = self.index_by_id.get(server, -1)
        return self.names[index] if index >= 0 else str(server)

    def server_counts(self) -> tuple[int, int]:
        """Return the number of listed servers, and of those that operators or breakers keep from use."""
        listed = [
            index for index in self.index_by_id.values() if self.listed_states[index] != ServerState.GONE
        ]
        return len(listed), sum(
            self.breaker_states[index] != CLOSED or self.ids[index] in self.out_of_service for index in listed
        )

    def update_subsets(self) -> None:
        """Choose the subsets anew after a breaker has opened or closed."""
        for candidates in self.candidates.values():
            subset = self.choose_subset(candidates.servers)
            if subset != candidates.subset:
                candidates.scores.clear()
            candidates.subset = subset

    def choose_subset(self, ready: list[int]) -> list[int]:
        """Choose the servers that this sidecar uses: all or, where connections cost, some.

        These are the first in a pseudo-random order of its own, as a server with connections of hundreds of
        sidecars would pay for each of them.  A server whose breaker is not closed stays in the subset for its
        trials; the next one in the order is added to make up for it.
        """
        cost = self.settings.connection_cost * self.settings.fleet_size
        size = len(ready)
        if cost > 0:
            size = max(MIN_SUBSET_SIZE, math.ceil(math.sqrt(SUBSET_CHOICE_VALUE * 100 * len(ready) / cost)))
        if size >= len(ready):
            return ready
        own_seed = mix_bits(self.settings.sidecar_index + 1)
        subset = []
        for _, index in sorted((mix_bits(own_seed ^ self.salts[index]), index) for index in ready):
            subset.append(index)
            size -= self.breaker_states[index] == CLOSED
            if size <= 0:
                break
        return sorted(subset)

    def receive_peer_message(self, now: int, data: bytes) -> None:
        """Take a hint from another sidecar, which may be late, malformed or of another version."""
        if not self.idle_losses.merge_hint(now, data):
            self.ignored_messages += 1

    def apply_settings(self, now: int, settings: Settings) -> None:
        """Apply other settings; submissions admitted before end under the class they were admitted under.

        Breakers, samples and hops in flight stay.  Until the longest of the windows has passed, the
        stricter of the old and new values holds for each limit that the rules check: budgets may be half
        spent, and hops sent under the old settings still count by them.
        """
        before, previous_states = (
            self.settings,
            {class_state.request_class.name: class_state for class_state in self.class_states},
        )
        self.class_states = tuple(
            ClassState(request_class, previous_states.get(request_class.name))
            for request_class in settings.request_classes
        )
        if not any(class_state.request_class.name in previous_states for class_state in self.class_states):
            # The limit was learnt from submissions of other classes.
            self.limit = self.limit_after_cut = math.inf
            self.slow_ratio = self.full_ratio = 0.0
        previous_quota = self.total_quota
        self.derive_from_settings(settings)
        if not self.total_quota or 0.0 < previous_quota < self.total_quota:
            self.total_quota = previous_quota
        self.cold_tokens = [min(0.0, tokens) for tokens in self.cold_tokens]
        self.cold_tokens_at = [now] * len(self.cold_tokens)
        self.settings = replace(
            settings,
            cold_fraction=min(before.cold_fraction, settings.cold_fraction),
            cold_duration=max(before.cold_duration, settings.cold_duration),
            max_hops=min(before.max_hops, settings.max_hops),
            overload_multiple=min(before.overload_multiple, settings.overload_multiple),
            overload_window=min(before.overload_window, settings.overload_window),
            full_may_have_run=before.full_may_have_run or settings.full_may_have_run,
            poll_interval=min(before.poll_interval, settings.poll_interval),
        )
        self.transition = SettingsTransition(self, settings)
        transition_time = max(self.settings.cold_duration, before.overload_window, settings.overload_window)
        self.callbacks.set_timer(now + transition_time, self.transition)
        self.update_candidates()
        if settings.polls_list:
            self.on_timer(now)

    def derive_from_settings(self, settings: Settings) -> None:
        """Compute the values that follow from settings."""
        self.mean_latency_target = sum(
            request_class.latency_target for request_class in settings.request_classes
        ) / max(1, len(settings.request_classes))
        self.total_quota = sum(settings.tenant_quotas) / 1e6
        self.sidecar_offset = settings.sidecar_index * GOLDEN_RATIO_STEP % 1.0

    def send_hints(self, now: int) -> None:
        """Send some other sidecars what was observed here.

        Received hints are never passed on, as they would come back and confirm themselves.
        """
        if (
            now - self.hint_sent_at < HINT_INTERVAL_US
            or not self.settings.peer_messages_allowed
            or self.settings.fleet_size < 2
        ):
            return
        self.hint_sent_at = now
        if any(self.idle_losses.own_counts[1:IDLE_BUCKETS]):
            hint = bytes([HINT_VERSION]) + bytes(self.idle_losses.own_counts)
            for _ in range(min(HINT_PEERS, self.settings.fleet_size - 1)):
                peer = self.rng.next_bits() % (self.settings.fleet_size - 1)
                self.callbacks.send_to_peer(peer + (peer >= self.settings.sidecar_index), hint)
            self.idle_losses.own_counts = bytearray(2 * IDLE_BUCKETS)

    def release_index(self, index: int) -> None:
        """Forget a server that is gone once no hop to it is in flight, so that memory stays bounded."""
        if (
            self.listed_states[index] == ServerState.GONE
            and not self.hops_in_flight[index]
            and self.index_by_id.get(self.ids[index]) == index
        ):
            del self.index_by_id[self.ids[index]]
            self.generations[index] += 1
            self.free_indexes.append(index)

    def set_entry(self, now: int, entry: ServerEntry) -> None:
        """Add a server, or update its listed properties."""
        index = self.index_by_id.get(entry.server)
        if index is None:
            if self.free_indexes:
                index = self.free_indexes.pop()
            else:
                index = len(self.ids)
                for column in (
                    self.ids,
                    self.salts,
                    self.zones,
                    self.cells,
                    self.kinds,
                    self.breaker_states,
                    self.failure_counts,
                    self.breaker_since,
                    self.generations,
                    self.trials_in_flight,
                    self.slowdowns_at,
                    self.started_at,
                    self.listed_starts,
                    self.cooldowns,
                    self.cold_tokens_at,
                    self.idle_since,
                    self.unlisted_since,
                    self.weight_factors_at,
                    self.answered_at,
                ):
                    column.append(0)
                for float_column in (
                    self.weights,
                    self.cold_tokens,
                    self.failure_rates,
                    self.queued_ratios,
                    self.slowdowns,
                    self.weight_factors,
                ):
                    float_column.append(0.0)
                self.listed_states.append(ServerState.GONE)
                self.names.append("")
                self.last_was_late.append(False)
                self.cold_sends.append(deque())
                self.hops_in_flight.append([])
            self.index_by_id[entry.server] = index
            self.ids[index] = entry.server
            self.names[index] = entry.name or str(entry.server)
            self.salts[index] = mix_bits(entry.server + 1)
            self.breaker_since[index] = self.slowdowns_at[index] = self.idle_since[index] = 0
            self.weights[index] = self.queued_ratios[index] = 0.0
            self.unlisted_since[index], self.weight_factors[index] = 0, 1.0
            # A different start in each sidecar, or the first hops of all would reach a new server together.
            self.cold_tokens[index] = (self.sidecar_offset + self.salts[index] / UINT64_MASK) % 1.0
            self.last_was_late[index] = False
            self.cold_sends[index].clear()
            self.listed_starts[index] = entry.started_at
            self.reset_server(now, index, self.effective_start(now, entry))
        if entry.started_at > self.listed_starts[index]:
            # Outcomes of the process before it must not count against the new one.
            self.listed_starts[index] = entry.started_at
            self.reset_server(now, index, self.effective_start(now, entry))
        self.zones[index] = entry.zone
        self.cells[index] = entry.cell
        self.kinds[index] = entry.kind
        self.listed_states[index] = entry.state
        self.set_weight(index, entry)

    def reset_server(self, now: int, index: int, started_at: int) -> None:
        """Reset the breaker, latency and slow start of a server: a new process, or put back in service."""
        self.started_at[index] = started_at
        self.breaker_states[index] = CLOSED
        self.failure_counts[index] = self.trials_in_flight[index] = self.cooldowns[index] = 0
        self.generations[index] += 1
        self.failure_rates[index], self.slowdowns[index], self.cold_tokens_at[index] = 0.0, 1.0, now

    def set_weight(self, index: int, entry: ServerEntry) -> None:
        """Set a server's weight: as listed or, with live weights, the largest listed of its kind.

        Live weights fall with the load of a server.  Taken as they are, keys would move with each renewal,
        and a cold server would look large as it is still empty.
        """
        weight = entry.weight if 0.0 < entry.weight < math.inf else 1.0
        if not self.settings.live_weights:
            self.weights[index] = weight
            return
        if entry.kind < 0:
            self.weights[index] = max(self.weights[index], weight)
            return
        if weight > self.max_weights.get(entry.kind, 0.0):
            self.max_weights[entry.kind] = weight
        self.weights[index] = self.max_weights[entry.kind]

    def record_full(self, is_full: bool) -> None:
        """Count whether a hop found its server full.

        This is known at once, while a list would report it only after servers are overloaded.
        """
        self.full_ratio += FULL_RATIO_STEP * (is_full - self.full_ratio)

    def effective_start(self, now: int, entry: ServerEntry) -> int:
        """Return when a listed server started by this sidecar's clock; 0: long ago.

        Clocks differ: a listed server is running, so a start in the future is taken as now, since the
        server must not count as cold until then.  The result is never before the true start, so that no
        budget gets larger.
        """
        returned_at = self.returned_at.get(entry.server, 0)
        return max(1, returned_at, min(now, entry.started_at)) if entry.started_at else returned_at

    def on_timer(self, now: int) -> None:
        """Request the server list, unless it is being followed already."""
        if not self.follows_list and not self.list_requested:
            self.list_requested = True
            self.callbacks.request_server_list()

    # -- admission

    def submit(
        self, now: int, submission_id: int, class_index: int, key: int, is_retry: bool, deadline_at: int
    ) -> Submission:
        """Admit a submission; `deadline_at` is when its client gives up, a key of 0 means none."""
        return self.submit_with(
            now, submission_id, self.class_states[class_index], key, is_retry, deadline_at
        )

    def submit_with(
        self,
        now: int,
        submission_id: int,
        class_state: ClassState,
        key: int,
        is_retry: bool,
        deadline_at: int,
        uploading: bool = False,
    ) -> Submission:
        """Admit a submission under the class state in force when it was read, even if replaced since then."""
        submission = Submission(self, submission_id, class_state, key, is_retry, deadline_at)
        submission.uploading = uploading
        if key:
            self.count_key(key)
        self.retry_tokens = min(10.0, self.retry_tokens + 0.2)
        self.turn_point = (self.turn_point + GOLDEN_RATIO_STEP) % 1.0
        if not self.admitted:
            self.first_admitted_at = now
        else:
            self.mean_gap += max(0.1, 1.0 / self.admitted) * (now - self.admitted_at - self.mean_gap)
        self.admitted += 1
        self.admitted_at = now
        self.send_hints(now)
        if not self.should_shed(now, submission):
            submission.send_next_hop(now)
        elif (index := self.choose_server(now, submission, True)) >= 0:
            submission.send_hop(now, index)
        else:
            submission.give_up(now)
        return submission

    def count_key(self, key: int) -> None:
        """Count a key among the recent ones, and forget the oldest."""
        self.recent_keys.append(key)
        self.key_counts[key] = self.key_counts.get(key, 0) + 1
        if len(self.recent_keys) > RECENT_KEYS:
            oldest = self.recent_keys.popleft()
            self.key_counts[oldest] -= 1
            if not self.key_counts[oldest]:
                del self.key_counts[oldest]
                for candidates in self.candidates.values():
                    candidates.scores.pop(oldest, None)

    def should_shed(self, now: int, submission: Submission) -> bool:
        """Decide at random whether to shed a submission close to the limit; those of low value go first."""
        if self.settings.live_weights:
            self.full_ratio *= math.exp((self.full_ratio_at - now) / FULL_RATIO_DECAY_US)
            self.full_ratio_at = now
        if self.limit == math.inf and self.full_ratio <= FULL_RATIO_THRESHOLD:
            return False
        values = [
            class_state.request_class.value / class_state.typical_latency for class_state in self.class_states
        ]
        value = (
            submission.class_state.request_class.value
            / submission.class_state.typical_latency
            * len(values)
            / max(1e-9, sum(values))
        )
        value = min(2.0, max(0.5, value))
        if submission.is_retry:
            # Most of a retried submission's latency target has passed: others make better use of the
            # capacity.
            value *= RETRY_VALUE_FACTOR
        if self.settings.live_weights:
            if submission.deadline_at - now < submission.class_state.typical_latency:
                value *= SHORT_DEADLINE_VALUE_FACTOR
            if self.rng.next_float() < min(
                0.97, FULL_SHED_FACTOR * (self.full_ratio - FULL_RATIO_THRESHOLD) / value
            ):
                return True
            if self.limit == math.inf:
                return False
        load = (
            min(self.update_load(now), self.total_in_flight)
            + submission.class_state.typical_latency / self.mean_latency_target
        ) / self.limit
        return self.rng.next_float() < (load - 1.0) / 0.25 + min(4.0, 1.0 / value)

    def update_load(self, now: int) -> float:
        """Return the hops in flight, averaged over about the mean latency target.

        A sidecar with little traffic has one hop in flight or none, which is too coarse to hold against a
        limit.
        """
        self.load += (self.total_in_flight - self.load) * (
            1.0 - math.exp((self.load_at - now) / self.mean_latency_target)
        )
        self.load_at = now
        return self.load

    def update_limit(self, now: int, class_state: ClassState, hop: Hop, elapsed: int) -> None:
        """Cut the concurrency limit while too many hops are slow, and raise it while they are not.

        Congestion sustains itself: servers go on with work that nobody waits for any more, and at an
        unchanged rate of hops nothing is answered in time again.  The queue at the median server counts
        too, as queues can harm servers long before hops are late; a few slow servers are left to the
        breakers.
        """
        if hop.sent_at <= self.limit_cut_at or hop.server_index not in self.ready:
            return
        load = self.update_load(now)
        latency_target = class_state.latency_target
        is_slow = elapsed > SLOW_TARGET_FRACTION * latency_target
        # A key that is new to a server takes longer; where work is short compared with its latency target,
        # that is no queue.
        is_queued = elapsed > max(
            QUEUED_LATENCY_RATIO * class_state.typical_latency, QUEUED_TARGET_FRACTION * latency_target
        )
        # The fewer submissions, the more each hop counts, or sidecars with little traffic would learn too
        # late.
        self.slow_ratio += min(0.2, max(0.06, self.mean_gap / SAMPLE_DECAY_US)) * (is_slow - self.slow_ratio)
        self.queued_ratios[hop.server_index] += 0.2 * (is_queued - self.queued_ratios[hop.server_index])
        median = sorted(self.queued_ratios[index] for index in self.ready)[len(self.ready) // 2]
        # Queues count only if some hops are slow too: after a release new servers know no key, and all hops
        # take longer without any congestion.
        if (
            self.slow_ratio > CONGESTION_RATIO
            or median > CONGESTION_RATIO
            and self.slow_ratio > MIN_SLOW_RATIO
        ):
            self.limit_cut_at = now
            self.limit_after_cut = 0.7 * min(self.limit, max(load, hop.load_at_send))
            if self.limit == math.inf:
                self.callbacks.log(
                    f"limit on: {self.slow_ratio:.2f} of hops tardy, {median:.2f} of those at the "
                    f"middle server queued, {self.limit_after_cut:.1f} may be out"
                )
            self.limit = self.limit_after_cut = max(
                1.5 * class_state.typical_latency / self.mean_latency_target, self.limit_after_cut
            )
            self.slow_ratio = min(self.slow_ratio, CONGESTION_RATIO / 2)
            self.queued_ratios = [ratio / 2 for ratio in self.queued_ratios]
        elif not is_slow and load > self.limit / 2:
            self.limit += min(0.25 * self.limit, LIMIT_GROWTH * self.limit_after_cut / self.limit)
        elif self.limit < math.inf and self.slow_ratio < 0.02 and load * 4 < self.limit:
            self.callbacks.log(f"limit off: {self.slow_ratio:.2f} of hops tardy, {load:.1f} out")
            self.limit = math.inf

    def retry_after(self, class_state: ClassState) -> int:
        """Return after how many microseconds a rejected client should try again, spread at random."""
        return min(
            self.settings.max_retry_after, int(class_state.latency_target * (0.5 + self.rng.next_float()))
        )

    def fixed_retry_after(self, class_state: ClassState) -> int:
        """Return a retry-after for a host at its connection limit; it changes no state and needs no lock."""
        return min(self.settings.max_retry_after, class_state.latency_target)

    def take_retry_token(self, submission: Submission) -> bool:
        """Whether the retry budget allows a further hop, which takes a token of it; the first hop is free."""
        if not submission.hops:
            return True
        if len(submission.hops) >= self.settings.max_hops or self.retry_tokens < 1.0:
            return False
        self.retry_tokens -= 1.0
        return True

    # -- choosing a server

    def choose_server(self, now: int, submission: Submission, cold_only: bool = False) -> int:
        """Return the index of the server for the next hop, or -1.

        It is the first in the key's order, after cold servers whose turn it is, whose breaker admits and
        which is not crowded, slow or stalled; else the first whose breaker admits.  `cold_only`: only a
        cold server whose turn it is.  While submissions are shed, cold servers still have capacity, and
        would otherwise get a small part of the few that are sent.
        """
        try:
            anchor = submission.retry_anchor(now)
        except PermissionError:
            return -1
        tried = [hop.server_index for hop in submission.hops]
        request_class = submission.class_state.request_class
        total = sum(self.weights[index] for index in self.ready) or 1.0
        order = []
        cold = []
        cross_zone = self.cross_zone_factor()
        candidates = self.candidates_for(submission.class_state.placement)
        for index, score in zip(candidates.subset, self.scores_for(submission.key, candidates)):
            if (
                index in tried
                or anchor is not None
                and not self.in_dedup_group(request_class.dedup_group, anchor, index)
            ):
                continue
            if self.started_at[index] and self.warm_fraction(now, index) < 1.0:
                cold.append(index)
                continue
            weight = self.weights[index] * self.weight_factor(now, index)
            if self.zones[index] != self.settings.zone:
                weight *= cross_zone
            order.append((score / weight, index))
        heapify(order)  # most hops need only the first
        if submission.key and len(order) > 1 and not tried:
            # A popular key would overload the first server in its order.  If it makes up more than one
            # server's share of this sidecar's submissions, it is spread at random over as many of the first
            # servers.
            key_fraction = (self.key_counts[submission.key] - 1) / max(
                RECENT_KEYS // 2, len(self.recent_keys)
            )
            spread = math.ceil(key_fraction * len(order) * HOT_KEY_RATIO)
            if spread > 1:
                chosen = nsmallest(spread, order)[self.rng.next_bits() % min(spread, len(order))]
                order[order.index(chosen)] = (0.0, chosen[1])
                heapify(order)
        order = [] if cold_only else order
        if submission.is_retry:
            cold = []  # retries of clients would add hops to cold servers that can't take them
        turns = [] if tried else [index for index in cold if self.is_cold_turn(now, index, total, candidates)]
        fallback = first = -1
        while turns or order:
            index = turns.pop(0) if turns else heappop(order)[1]
            first = index if first < 0 and index not in cold else first
            if not self.breaker_admits(now, index, request_class.effect == Effect.NON_IDEMPOTENT):
                continue
            fair_share = self.total_in_flight * self.weights[index] / total
            slowdown = self.current_slowdown(now, index)
            crowded = (
                len(self.hops_in_flight[index]) >= 2
                and len(self.hops_in_flight[index]) > CROWDED_RATIO * fair_share
            )
            stalled = len(self.hops_in_flight[index]) > 0 and now > self.hops_in_flight[index][0].due_at
            slow = (
                slowdown > 2.0
                and submission.class_state.typical_latency * slowdown > request_class.latency_target / 2
            )
            if not crowded and not slow and not stalled:
                return index
            if fallback < 0 and not cold_only:
                # While all servers are slow, keys stay where they are warm: elsewhere they would cost more
                # work.
                fallback = index
        if fallback < 0 and not cold_only:
            # When all breakers refuse, no single server is at fault, and the key's order holds.
            extra_turns = [index for index in cold if self.is_cold_turn(now, index, total, candidates, 1.4)]
            fallback = extra_turns[0] if extra_turns else first
        return fallback

    def scores_for(self, key: int, candidates: Candidates) -> list[float]:
        """Return the key's score for each server of the subset; divided by weight, the lowest comes first.

        This is weighted rendezvous hashing (Thaler and Ravishankar, 1998; logarithmic method of
        Schindelhauer and Schomaker, 2005): when a server leaves only its keys move.
        """
        scores = candidates.scores.get(key)
        if scores is None:
            seed = mix_bits(key) if key else self.rng.next_bits() << 20
            scores = [
                -math.log((mix_bits(seed ^ self.salts[index]) + 1) / (UINT64_MASK + 2))
                for index in candidates.subset
            ]
            if key in self.key_counts:
                candidates.scores[key] = scores
        return scores

    def cross_zone_factor(self) -> float:
        """Return the factor on weights of other zones: low, until slow hops cost more than crossing zones."""
        cost = self.settings.cross_zone_cost
        if cost <= 0.0:
            return 1.0
        return min(1.0, max(0.05, 1.0 - cost / MAX_CROSS_ZONE_COST, 0.5 * self.slow_ratio / cost))

    def in_dedup_group(self, dedup_group: DedupGroup, anchor: Hop, index: int) -> bool:
        """Whether a server is in the same zone or cell as the one that an earlier hop was sent to."""
        return (
            self.zones[index] == anchor.zone
            if dedup_group == DedupGroup.ZONE
            else self.cells[index] == anchor.cell
        )

    def warm_fraction(self, now: int, index: int) -> float:
        """Return the fraction of its capacity that a server has at least, by the time since its start."""
        if not self.started_at[index]:
            return 1.0
        initial = self.settings.cold_fraction
        age = max(0, now - self.started_at[index])
        return min(1.0, max(0.01, initial + (1.0 - initial) * age / max(1, self.settings.cold_duration)))

    def is_cold_turn(
        self, now: int, index: int, total: float, candidates: Candidates, factor: float = 1.0
    ) -> bool:
        """Whether this submission should go to a cold server.

        A cold server is not in the keys' order; each sidecar sends it an even fraction of all its submissions
        instead.  Otherwise popular keys, or many sidecars at once, whatever their number and traffic, would
        overload it.  `factor` multiplies its budget.
        """
        budget = (
            COLD_BUDGET_FRACTION * self.settings.overload_multiple * self.warm_fraction(now, index) * factor
        )
        weight_share = self.weights[index] / total
        # Only this fraction of the sidecars uses the server, and each of them sends for the others too.
        subset_ratio = len(candidates.subset) / len(candidates.servers)
        if (
            self.turn_point + self.salts[index] / UINT64_MASK
        ) % 1.0 >= budget * weight_share / subset_ratio * self.goodput_ratio(now):
            return False
        if self.total_quota > 0.0:
            # The quotas of tenants say what the fleet can do.  Tokens at that rate bound what client
            # retries, or a sidecar with far more traffic than others, can add to a cold server.
            rate = budget * weight_share * self.total_quota / (subset_ratio * self.settings.fleet_size)
            self.cold_tokens[index] = min(
                1.0, self.cold_tokens[index] + rate * (now - self.cold_tokens_at[index])
            )
            self.cold_tokens_at[index] = now
            if self.cold_tokens[index] < 1.0 or self.transition is None:
                return self.cold_tokens[index] >= 1.0
        # Unloaded latencies, since under congestion typical ones are mostly waiting, and the larger value
        # would hold servers back that have warmed up.
        mean_latency = sum(class_state.unloaded_latency for class_state in self.class_states) / len(
            self.class_states
        )
        return len(self.recent_cold_sends(now, index)) < max(
            1, int(budget * self.settings.overload_window / mean_latency)
        )

    def goodput_ratio(self, now: int) -> float:
        """Return the fraction of present submissions that the fleet could serve, by the recent answers here.

        Client retries multiply the submissions of all sidecars, and would multiply the hops to a cold
        server.  The ratio is needed only if neither quotas say what tenants may send nor clients mark
        retries.  A server is assumed to do at least half a core's work.
        """
        if self.total_quota > 0.0 or self.settings.clients_mark_retries:
            return 1.0
        window = max(1, self.settings.cold_duration, self.settings.overload_window)
        self.recent_answers, self.recent_answers_at = (
            self.recent_answers * math.exp((self.recent_answers_at - now) / window),
            now,
        )
        rate = self.recent_answers / window / (1.0 - math.exp((self.first_admitted_at - now - 1) / window))
        latency_times_fleet = (
            sum(class_state.unloaded_latency for class_state in self.class_states)
            / len(self.class_states)
            * self.settings.fleet_size
        )
        floor = len(self.ready) / (2 * latency_times_fleet)
        return (
            1.0
            if self.admitted < MIN_GOODPUT_SUBMISSIONS
            else min(1.0, self.mean_gap * max(GOODPUT_SLACK * rate, floor))
        )

    def recent_cold_sends(self, now: int, index: int) -> deque[int]:
        """Return the times of hops to a cold server within the window of the overload rule."""
        sent = self.cold_sends[index]
        while sent and sent[0] <= now - self.settings.overload_window:
            sent.popleft()
        return sent

    # -- breakers

    def breaker_admits(self, now: int, index: int, non_idempotent: bool) -> bool:
        """Whether the server's breaker lets a hop through; opens it again if a trial takes too long."""
        if self.breaker_states[index] == CLOSED:
            return True
        if self.breaker_states[index] == OPEN:
            waited = now - self.breaker_since[index] - self.cooldowns[index]
            if self.peer_trials is not None and 0 <= waited < self.cooldowns[index] and self.sends_often():
                # Another sidecar may be making the trial; after a cooldown without news this one tries alone.
                return not non_idempotent and self.peer_trials.may_try(self.names[index])
            # A non-idempotent hop becomes a trial only if there was no other one for a further cooldown.
            return waited >= (self.cooldowns[index] if non_idempotent else 0)
        if self.trials_in_flight[index] < MAX_HALF_OPEN_TRIALS:
            return True
        if now - self.breaker_since[index] >= self.cooldowns[index]:
            self.open_breaker(now, index, "trial without verdict")
        return False

    def start_hop(self, now: int, class_state: ClassState, index: int) -> Hop:
        """Count a hop that is sent now; after the cooldown of an open breaker it becomes its trial."""
        if self.breaker_states[index] == OPEN and now - self.breaker_since[index] >= self.cooldowns[index]:
            self.breaker_states[index] = HALF_OPEN
            self.trials_in_flight[index] = 0
        is_trial = self.breaker_states[index] == HALF_OPEN
        if is_trial:
            # The time limit runs from the trial itself.  Counted from the change to half-open, a new trial,
            # sent after earlier ones finished without a result, would be out of time at once.
            self.breaker_since[index] = now
            self.trials_in_flight[index] += 1
        load = self.update_load(now) + class_state.typical_latency / self.mean_latency_target
        self.total_in_flight += 1
        if self.warm_fraction(now, index) < 1.0:
            self.recent_cold_sends(now, index).append(now)
            if self.total_quota > 0.0:
                self.cold_tokens[index] -= 1.0
        due_at = now + int(
            max(
                STALL_LATENCY_RATIO * class_state.typical_latency,
                STALL_TARGET_FRACTION * class_state.latency_target,
            )
        )
        hop = Hop(
            now, due_at, index, self.zones[index], self.cells[index], self.generations[index], is_trial, load
        )
        if not self.hops_in_flight[index] and self.idle_since[index]:
            hop.idle_time = now - self.idle_since[index]
            if hop.idle_time >= self.idle_losses.idle_limit:
                hop.idle_time = 0
                self.callbacks.close_idle_connections(self.ids[index])
        self.hops_in_flight[index].append(hop)
        return hop

    def open_breaker(self, now: int, index: int, cause: str) -> None:
        """Open a server's breaker, and log the cooldown and the cause."""
        # Trials of many sidecars with little traffic would add up at an unhealthy server: the fewer
        # submissions a sidecar has for it, the longer it waits, and the index of the sidecar spreads the
        # waits.
        wait = max(COOLDOWN_US, self.mean_gap * len(self.ready) / TRIAL_FRACTION) * (
            2 if self.cooldowns[index] else 1
        )
        if self.peer_trials is not None and self.sends_often():
            wait = float(COOLDOWN_US)  # sidecars share one trial, so none needs to wait longer
        stagger = 1.0 + (self.sidecar_offset + self.salts[index] / UINT64_MASK) % 1.0 / 2
        self.cooldowns[index] = int(min(MAX_COOLDOWN_US, wait) * stagger)
        self.breaker_states[index] = OPEN
        self.breaker_since[index] = now
        self.update_subsets()
        self.generations[index] += 1
        self.trials_in_flight[index] = self.failure_counts[index] = 0
        self.callbacks.log(
            f"server {self.names[index]} open for {self.cooldowns[index] / 1e6:.1f} s: {cause}"
        )
        if self.peer_trials is not None:
            self.peer_trials.breaker_opened(self.names[index], self.cooldowns[index], self.sends_often())

    def sends_often(self) -> bool:
        """Whether this sidecar sends each server a hop within a cooldown, and so can make timely trials."""
        return self.mean_gap * len(self.ready) < COOLDOWN_US

    def postpone_trial(self, now: int, server: int, wait: int) -> None:
        """Postpone the trial of an open breaker by `wait`, as another sidecar reported; 0: allow it now."""
        index = self.index_by_id.get(server, -1)
        if index >= 0 and self.breaker_states[index] == OPEN:
            self.breaker_since[index] = (
                max(self.breaker_since[index], now + wait - self.cooldowns[index])
                if wait
                else (now - 2 * self.cooldowns[index])
            )

    def record_outcome(self, now: int, hop: Hop, failed: bool, cause: str) -> None:
        """Count the outcome of a hop, once, for its server's breaker."""
        index = hop.server_index
        if hop.generation != self.generations[index] or hop.outcome_recorded:
            return
        hop.outcome_recorded = True
        if cause not in ("late", "overdue"):
            self.failure_rates[index] += 0.1 * (failed - self.failure_rates[index])
        if hop.is_trial and self.breaker_states[index] == HALF_OPEN:
            self.trials_in_flight[index] -= 1
            if self.peer_trials is not None:
                self.peer_trials.trial_finished(self.names[index], failed)
            if failed:
                self.open_breaker(now, index, f"trial failed, {cause}")
            else:
                self.breaker_states[index] = CLOSED
                self.failure_counts[index] = 0
                self.update_subsets()
                self.callbacks.log(f"server {self.names[index]} closed after a trial")
        elif failed:
            self.failure_counts[index] += 1
            if self.breaker_states[index] != CLOSED:
                return
            median_rate = self.median_failure_rate(index)
            threshold = FAILURE_THRESHOLD
            if median_rate > 0.0:
                # A fault that hits hops to all servers alike also causes runs of failures by chance.
                threshold = max(
                    threshold, math.ceil(math.log(FAILURE_RUN_PROBABILITY) / math.log(min(0.9, median_rate)))
                )
            if self.failure_counts[index] >= threshold:
                self.open_breaker(now, index, f"{self.failure_counts[index]} failures, {cause}")
            elif (
                self.failure_rates[index] > FAILURE_RATE_THRESHOLD + FAILURE_RATE_MEDIAN_FACTOR * median_rate
            ):
                # A server that fails only a fraction of its hops seldom fails several in a row.
                self.open_breaker(now, index, f"{self.failure_rates[index]:.2f} of hops failed, {cause}")
        elif self.breaker_states[index] == CLOSED:
            # While it is open, the success of a hop sent as all breakers refused must not shorten the
            # cooldown.
            self.failure_counts[index] = 0
            if self.failure_rates[index] < FAILURE_RATE_THRESHOLD / 2:
                self.cooldowns[index] = 0

    def finish_hop(self, now: int, class_state: ClassState, hop: Hop, outcome: Outcome, elapsed: int) -> None:
        """Take a hop out of those in flight, and pass its outcome to whatever learns from it."""
        self.hops_in_flight[hop.server_index].remove(hop)
        self.idle_since[hop.server_index] = now
        self.release_index(hop.server_index)
        self.update_load(now)
        self.total_in_flight -= 1
        if hop.suspected_lost and outcome in (Outcome.OK, Outcome.TIMEOUT):
            self.loss_rate += min(0.2, max(0.06, self.mean_gap / SAMPLE_DECAY_US)) * (
                (outcome == Outcome.TIMEOUT) - self.loss_rate
            )
        if hop.response_begun:
            self.record_outcome(now, hop, outcome in (Outcome.ERROR, Outcome.RESET), "broken stream")
        elif outcome == Outcome.OK:
            self.answered_at[hop.server_index] = now
            self.goodput_ratio(now)
            self.recent_answers += 1.0
            self.record_answer(now, class_state, hop, elapsed)
        elif outcome == Outcome.TIMEOUT and elapsed >= class_state.latency_target:
            self.record_overdue(now, class_state, hop)
        elif outcome in NEUTRAL_OUTCOMES or outcome == Outcome.TIMEOUT:
            self.release_trial(hop)
        else:
            self.record_outcome(now, hop, True, outcome.name.lower())

    def release_trial(self, hop: Hop) -> None:
        """Allow another trial in place of one that finished without a result."""
        if hop.is_trial and hop.generation == self.generations[hop.server_index] and not hop.outcome_recorded:
            self.trials_in_flight[hop.server_index] -= 1

    def record_answer(self, now: int, class_state: ClassState, hop: Hop, elapsed: int) -> None:
        """Learn from a hop that was answered after `elapsed` microseconds."""
        if not hop.outcome_recorded:
            self.update_limit(now, class_state, hop, elapsed)
        if not hop.outcome_recorded:
            self.idle_losses.record(now, hop.idle_time, False)
        self.record_latency(now, class_state, hop.server_index, elapsed)
        is_late = elapsed > class_state.latency_target and not self.most_are_late(hop.server_index)
        self.record_outcome(now, hop, is_late, "late" if is_late else "answered")

    def record_overdue(self, now: int, class_state: ClassState, hop: Hop) -> None:
        """Learn from a hop that has not been answered within its latency target."""
        if hop.outcome_recorded:
            return
        self.idle_losses.record(now, hop.idle_time, True)
        self.update_limit(now, class_state, hop, now - hop.sent_at)
        self.record_latency(
            now, class_state, hop.server_index, max(now - hop.sent_at, class_state.latency_target + 1)
        )
        if not self.most_are_late(hop.server_index):
            self.record_outcome(now, hop, True, "overdue")
        elif hop.is_trial and hop.generation == self.generations[hop.server_index]:
            self.trials_in_flight[hop.server_index] -= 1
        hop.outcome_recorded = True

    def median_failure_rate(self, excluded: int) -> float:
        """Return the median failure rate of the other servers, for which no single server is at fault."""
        others = sorted(self.failure_rates[index] for index in self.ready if index != excluded)
        return others[len(others) // 2] if others else 0.0

    def most_are_late(self, excluded: int) -> bool:
        """Whether the last hops to half of the other servers were late too: this one is not at fault then."""
        others = [
            self.last_was_late[index] or self.breaker_states[index] != CLOSED
            for index in self.ready
            if index != excluded and self.slowdowns_at[index]
        ]
        return len(others) > 0 and 2 * sum(others) >= len(others)

    # -- latencies

    def record_latency(self, now: int, class_state: ClassState, index: int, elapsed: int) -> None:
        """Add a latency to the server's slowdown and to the class's typical latency."""
        ratio = elapsed / class_state.typical_latency
        # The longer ago the last sample, the more this one counts, as some sidecars seldom use a server.
        sample_weight = (
            max(0.3, 1.0 - math.exp((self.slowdowns_at[index] - now) / SAMPLE_DECAY_US))
            if self.slowdowns_at[index]
            else 1.0
        )
        self.slowdowns[index] = (
            self.current_slowdown(now, index) * (1.0 - sample_weight) + min(ratio, 20.0) * sample_weight
        )
        self.slowdowns_at[index] = now
        self.last_was_late[index] = elapsed > class_state.latency_target
        # The median, moved a little by each answer; in a mean a few stuck hops would make all others look
        # fast.
        class_state.samples += 1
        step = max(0.01 if self.limit == math.inf else 0.001, 0.3 / class_state.samples)
        class_state.typical_latency *= 1.0 + step if elapsed > class_state.typical_latency else 1.0 - step
        if class_state.samples < 30 or class_state.typical_latency < class_state.unloaded_latency:
            class_state.unloaded_latency = class_state.typical_latency

    def current_slowdown(self, now: int, index: int) -> float:
        """Return a server's latency as a multiple of the typical one; it fades to 1 without new samples."""
        decay = min(MAX_COOLDOWN_US, max(SAMPLE_DECAY_US, self.mean_gap * len(self.ready)))
        return 1.0 + (self.slowdowns[index] - 1.0) * math.exp((self.slowdowns_at[index] - now) / decay)
