"""All decisions of one sidecar.

A host makes one `Balancer` for each sidecar it runs, tells it of lists, and calls `take` for
each submission.  The `Submission` that comes back is the handle: outcomes of its hops, its wakes and its
client's leaving are calls on it.  Answers go to the `Outlet`.  All types are in `interface`.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import replace
from heapq import heapify, heappop, nsmallest

from .interface import (
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

FAILURE_THRESHOLD = 3
COOLDOWN_US = 5_000_000
MAX_COOLDOWN_US = 20_000_000
TRIAL_FRACTION = 0.25  # trials as a part of the hops that a server would get in calm
MAX_HALF_OPEN_TRIALS = 1
CROWDED_RATIO = 1.25  # times a server's fair part of all that is out
QUEUED_LATENCY_RATIO = 3.0  # usual times from which a hop has met a queue, and
QUEUED_TARGET_FRACTION = 0.3  # the part of its agreed time that it must have taken too
RESPONSE_GAP_FRACTION = 0.25  # part of the agreed time within which an answer that has begun must be whole
STALL_LATENCY_RATIO = 1.0  # usual times from which a hop still out marks its server as stalled, and
STALL_TARGET_FRACTION = 0.1  # the part of its agreed time that it must be out too
SUSPECT_LATENCY_RATIO = 3.0  # usual times from which an answer may be lost, and
SUSPECT_TARGET_FRACTION = 0.25  # the part of its agreed time that it must have taken too
HEDGE_LOSS_RATE = 0.3  # the part of them that never came from which copies go out
SLOW_TARGET_FRACTION = 0.7  # part of the agreed time from which a hop is tardy
RETRY_VALUE_FACTOR = 0.2  # of its value that counts of a submission that its client sends again
CONGESTION_RATIO = 0.4  # share of tardy or queued hops that cuts what may be out
MIN_SLOW_RATIO = 0.05  # share of tardy hops from which the middle server's queue counts
LIMIT_GROWTH = 0.12  # how fast the limit rises, as a part of it for each usual time
FAILURE_RATE_THRESHOLD = 0.25  # share of failures that opens a breaker, and
FAILURE_RATE_MEDIAN_FACTOR = 2.0  # so many times the middle server's on top of that
FAILURE_RUN_PROBABILITY = (
    0.00002  # chance of failures in a row that are still the middle server's share by accident
)
COLD_BUDGET_FRACTION = 0.55  # of what the rules let all sidecars together send to a cold server
GOODPUT_SLACK = 1.1  # times what is answered here that counts of what is taken, for cold servers,
MIN_GOODPUT_SUBMISSIONS = 10  # once so many are known
GOLDEN_RATIO_STEP = 0.6180339887498949  # its multiples fill the unit interval evenly, however many are taken
SILVER_RATIO_STEP = 0.41421356237309515  # so do these; no sum of multiples of both comes twice
FULL_RATIO_THRESHOLD = 0.05  # share of hops that find servers full above which less is taken on, and
FULL_RATIO_STEP = 0.25  # what each hop counts in that share, and
FULL_RATIO_DECAY_US = 1.5e6  # how fast it is forgotten
SHORT_DEADLINE_VALUE_FACTOR = (
    0.3  # of its value that counts of one whose client will hardly wait for the answer
)
FULL_SHED_FACTOR = 3.0  # how much less, for each time of that share
SUBSET_CHOICE_VALUE = 0.025  # worth of choice against the price of connections, for how many servers one uses
MIN_SUBSET_SIZE = 4  # servers that a sidecar uses at least, where connections cost
MAX_CROSS_ZONE_COST = 0.08  # crossing price from which other zones count least
RECENT_KEYS = 64  # submissions among which a key is judged popular
HOT_KEY_RATIO = 2.0  # times a server's fair part from which a key is spread
SAMPLE_DECAY_US = 3_000_000  # how fast a server's lag is forgotten without new samples
MIN_IDLE_BITS = 17  # rests under 2 to the power of this, in microseconds, are one length
IDLE_BUCKETS = 8  # lengths of rests that are told apart, each twice the one before
IDLE_LOSS_RATE = 0.55  # part of them in vain, above the usual, that tells of dropped connections, and
MIN_IDLE_LOSSES = 3.0  # how many in vain at least
IDLE_LOSS_DECAY_US = 2e6  # how fast it is forgotten what rests did, and
IDLE_LIMIT_HOLD_US = 15_000_000  # how long connections are freed for it, until that is tried anew
HINT_PEERS = 6  # other sidecars that are told of it, and
HINT_INTERVAL_US = 1_000_000  # how often at most
UNLISTED_STEP_US = 1_000_000  # between two steps of a server that the list has dropped, or has again, and
MIN_UNLISTED_FACTOR = 1 / 16  # the part of its weight at which they end
MAX_UNLISTED_US = 30_000_000  # without an answer, until a dropped server is gone
MAX_DRAINED = 4096  # servers of which it is kept that they have drained
MAX_OUT_OF_SERVICE = 1000  # servers out by hand at once
HINT_VERSION = 1  # of the messages: this, then how often each length was used, how often in vain
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
NEUTRAL_OUTCOMES = (Outcome.FULL, Outcome.CANCELLED, Outcome.MOOT)
Placement = tuple[tuple[int, ...] | None, tuple[int, ...] | None]  # zones and kinds of servers; None: any


class SeededRandom:
    """A linear congruential generator; only its high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed & UINT64_MASK

    def next_bits(self) -> int:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & UINT64_MASK
        return self.state >> 33

    def next_float(self) -> float:
        return self.next_bits() / (1 << 31)


def mix_bits(value: int) -> int:
    """Scatter 64 bits, so that near keys and ids get unrelated ranks."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & UINT64_MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & UINT64_MASK
    return value ^ (value >> 31)


class IdleLossTracker:
    """How many hops bring nothing that are the first on a connection after a rest, by how long that was.

    Guards hops, unrepeatable ones above all, against whatever drops resting connections and says nothing, and
    the breakers of healthy servers against being opened by it.
    """

    def __init__(self) -> None:
        self.used = [0.0] * IDLE_BUCKETS
        self.lost = [0.0] * IDLE_BUCKETS
        self.own_counts = bytearray(2 * IDLE_BUCKETS)  # here, since others were told
        self.decayed_at = self.hold_until = 0
        self.idle_limit = UINT64_MASK  # from which rest on a connection is not to be used

    def record(self, now: int, rest: int, lost: bool) -> None:
        length = min(IDLE_BUCKETS - 1, max(0, rest.bit_length() - MIN_IDLE_BITS))
        for at in (length, length + IDLE_BUCKETS)[: 1 + lost]:
            self.own_counts[at] = min(255, self.own_counts[at] + 1)
        self.add(now, length, 1, int(lost))

    def add(self, now: int, length: int, used: int, lost: int) -> None:
        fading = math.exp((self.decayed_at - now) / IDLE_LOSS_DECAY_US)
        self.decayed_at = now
        for each in range(IDLE_BUCKETS):
            self.used[each] *= fading
            self.lost[each] *= fading
        self.used[length] += used
        self.lost[length] += lost
        usual = IDLE_LOSS_RATE + self.lost[0] / (1.0 + self.used[0])
        limit = next(
            (
                1 << MIN_IDLE_BITS + each - 1
                for each in range(1, IDLE_BUCKETS)
                if self.lost[each] > max(MIN_IDLE_LOSSES, usual * self.used[each])
            ),
            UINT64_MASK,
        )
        if limit < self.idle_limit or now > self.hold_until:
            self.idle_limit = limit
            self.hold_until = now + IDLE_LIMIT_HOLD_US

    def merge_hint(self, now: int, data: bytes) -> bool:
        """What another sidecar has seen; False if that can't be read."""
        if len(data) != 1 + 2 * IDLE_BUCKETS or data[0] != HINT_VERSION:
            return False
        for length in range(IDLE_BUCKETS):
            used, lost = data[1 + length], data[1 + IDLE_BUCKETS + length]
            if 0 < used >= lost:
                self.add(now, length, used, lost)
        return True


class Hop:
    """A hop; `server` means something while it is out, its zone and cell stay those that it was sent to."""

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
        self, at: int, due: int, server: int, zone: int, cell: int, generation: int, trial: bool, level: float
    ) -> None:
        self.sent_at, self.due_at = at, due
        self.server_index, self.zone, self.cell = server, zone, cell
        self.generation = generation
        self.is_trial = trial
        self.in_flight = self.may_have_run = True
        self.outcome_recorded = self.response_begun = self.suspected_lost = False
        self.load_at_send = level
        self.idle_time = 0


class Candidates:
    """The servers open to some tariffs, those of them that this sidecar uses, and keys' draws of these."""

    __slots__ = ("servers", "subset", "draws")

    def __init__(self, ready: list[int], near: list[int]) -> None:
        self.servers, self.subset = ready, near
        self.scores: dict[int, list[float]] = {}


class ClassState:
    """What a tariff says, and how long its submissions take; they end under what they were taken by."""

    __slots__ = ("request_class", "place", "latency_target", "usual", "calm", "samples")

    def __init__(self, tariff: RequestClass, before: ClassState | None = None) -> None:
        self.request_class = tariff
        self.placement: Placement = (tariff.zones, tariff.kinds)
        self.latency_target = tariff.latency_target
        self.typical_latency: float = (
            before.typical_latency if before else max(1.0, tariff.latency_target / 4)
        )
        self.unloaded_latency: float = before.unloaded_latency if before else self.typical_latency
        self.samples: int = before.samples if before else 0


class Submission:
    """One submission from its taking to its final answer, and its hops until the last has ended."""

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
        self, balancer: Balancer, name: int, terms: ClassState, key: int, retry: bool, until: int
    ) -> None:
        self.balancer = balancer
        self.id = name
        self.class_state = terms
        self.key = key
        self.deadline_at = until
        self.is_retry = retry
        self.hops: list[Hop] = []
        self.hops_in_flight = 0
        self.done = False
        self.uploading = False  # whether its body still comes, and goes on as it does
        self.body_discarded = False  # whether part of its body was let go, so that no other hop can have it

    def body_complete(self, now: int, number: int, until: int) -> None:
        """The last of a body has come: patience and the time of the hop that carries it begin."""
        hop = self.hops[number]
        self.uploading = False
        self.deadline_at = until
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
        return self.done and self.hops_in_flight == 0

    def response_started(self, now: int, number: int) -> None:
        """The answer of a hop has begun: the verdict of a trial; a break later still counts as failure.

        Called again as more of it comes, but not all.
        """
        hop = self.hops[number]
        if hop.in_flight and hop.response_begun:
            hop.due_at = now + int(RESPONSE_GAP_FRACTION * self.class_state.latency_target)
        elif hop.in_flight:
            self.balancer.record_answer(now, self.class_state, hop, now - hop.sent_at)
            hop.response_begun = True
            hop.is_trial = hop.outcome_recorded = False
            hop.due_at = now + int(RESPONSE_GAP_FRACTION * self.class_state.latency_target)
            if hop.due_at < self.deadline_at and not self.class_state.request_class.stream:
                self.balancer.callbacks.set_timer(hop.due_at, self)

    def hop_finished(self, now: int, number: int, outcome: Outcome, spent: int, finished: bool) -> None:
        hop = self.hops[number]
        if not hop.in_flight:
            return
        hop.in_flight = False
        self.hops_in_flight -= 1
        hop.may_have_run = outcome not in NEVER_RAN or (
            outcome == Outcome.FULL and self.balancer.settings.full_may_have_run
        )
        if outcome not in (Outcome.CANCELLED, Outcome.MOOT):
            self.balancer.record_full(outcome == Outcome.FULL)
        self.balancer.finish_hop(now, self.class_state, hop, outcome, spent)
        if self.done:
            return
        if finished:
            self.done = True
            for other, rest in enumerate(self.hops):
                if rest.in_flight:
                    self.balancer.callbacks.cancel(self.id, other)
        elif self.hops_in_flight == 0:
            self.send_next_hop(now)

    def client_left(self, now: int) -> None:
        """The client is gone; hops still out bring their outcomes, but nothing is owed."""
        self.done = True

    def on_timer(self, now: int) -> None:
        """A hop has been out for the agreed time: hold that against its server, but let it go on."""
        balancer, agreed = self.balancer, self.class_state.latency_target
        for number, hop in enumerate(self.hops):
            if not hop.in_flight or hop.outcome_recorded:
                continue
            if not hop.response_begun and now - hop.sent_at >= agreed:
                balancer.record_overdue(now, self.class_state, hop)
            elif (
                not hop.response_begun
                and not hop.suspected_lost
                and now - hop.sent_at >= self.suspect_after()
            ):
                hop.suspected_lost = True
                self.send_hedge(now)
            elif hop.response_begun and now < hop.due_at < self.deadline_at:
                balancer.callbacks.set_timer(hop.due_at, self)
            elif hop.response_begun and not self.class_state.request_class.stream:
                # Guards against answers that begin and never end: where it may run again, it does elsewhere.
                balancer.record_outcome(now, hop, True, "answer broken off")
                if not self.done and self.can_retry(now):
                    balancer.callbacks.cancel(self.id, number)

    def suspect_after(self) -> int:
        """How long a hop is out until its answer may be lost, where the servers of a group drop a copy."""
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
        """Guards against answers lost on their way: the work was done, and costs its group nothing again."""
        balancer = self.balancer
        if (
            self.hops_in_flight == 1
            and not self.done
            and not self.body_discarded
            and now < self.deadline_at
            and balancer.loss_rate > HEDGE_LOSS_RATE
            and balancer.load < balancer.limit
            and balancer.take_retry_token(self)
            and (server := balancer.choose_server(now, self)) >= 0
        ):
            self.send_hop(now, server)

    def can_retry(self, now: int) -> bool:
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
        """Where a further hop may go: any server, or only the group of the first hop that may have run.

        Raises PermissionError where no further hop is allowed at all.
        """
        tariff = self.class_state.request_class
        for hop in self.hops:
            if hop.may_have_run:
                if tariff.effect == Effect.IDEMPOTENT:
                    return None
                if tariff.effect == Effect.NON_IDEMPOTENT or now > hop.sent_at + tariff.dedup_window:
                    raise PermissionError
                return hop if tariff.dedup_group != DedupGroup.ALL else None
        return None

    def safe_to_reject(self) -> bool:
        """Whether a deferral's promise, that trying again does no harm, would be true."""
        tariff = self.class_state.request_class
        if tariff.effect == Effect.IDEMPOTENT or not any(hop.may_have_run for hop in self.hops):
            return True
        return tariff.effect == Effect.DEDUPLICATED and tariff.dedup_group == DedupGroup.ALL

    def send_next_hop(self, now: int) -> None:
        """Send the next hop, or give the final answer at once."""
        server = -1
        if now < self.deadline_at and not self.body_discarded and self.balancer.take_retry_token(self):
            server = self.balancer.choose_server(now, self)
        if server >= 0:
            self.send_hop(now, server)
        else:
            self.give_up(now)

    def give_up(self, now: int) -> None:
        self.done = True
        if self.safe_to_reject():
            self.balancer.callbacks.reject(self.id, self.balancer.retry_after(self.class_state))
        else:
            self.balancer.callbacks.fail(self.id)

    def send_hop(self, now: int, server: int) -> None:
        balancer = self.balancer
        self.hops.append(balancer.start_hop(now, self.class_state, server))
        self.hops_in_flight += 1
        balancer.callbacks.send(self.id, balancer.ids[server], 0)
        agreed = self.class_state.latency_target
        if self.uploading:
            # Guards the server, which can't begin yet, against being judged by how fast its client sends.
            self.hops[-1].sent_at = self.hops[-1].due_at = self.deadline_at
        elif now + agreed < self.deadline_at:
            balancer.callbacks.set_timer(now + agreed, self)
        if not self.uploading and (doubted := self.suspect_after()) < agreed:
            balancer.callbacks.set_timer(now + doubted, self)


class SettingsTransition:
    """Ends the stricter figures that hold while settings change."""

    def __init__(self, balancer: Balancer, settings: Settings) -> None:
        self.balancer = balancer
        self.settings = settings

    def on_timer(self, now: int) -> None:
        if self.balancer.transition is self:
            self.balancer.transition, self.balancer.settings = None, self.settings
            self.balancer.derive_from_settings(self.settings)


class Balancer:
    def __init__(self, settings: Settings, seed: int, outlet: Callbacks) -> None:
        self.settings = settings
        self.callbacks = outlet
        self.peer_trials: PeerTrials | None = None
        self.rng = SeededRandom(seed)
        # The list, under a small dense index that a server keeps while it is listed or a hop to it is out.
        self.index_by_id: dict[int, int] = {}
        self.free_indexes: list[int] = []
        self.ids: list[int] = []
        self.names: list[str] = []
        self.zones: list[int] = []
        self.cells: list[int] = []
        self.kinds: list[int] = []
        self.listed_states: list[ServerState] = []
        self.weights: list[float] = []
        self.cold_tokens: list[float] = []  # what may be sent to a cold server at once
        self.cold_tokens_at: list[int] = []
        self.max_weights: dict[int, float] = {}  # the largest scale listed of each kind of server
        self.started_at: list[int] = []
        self.listed_starts: list[int] = []
        self.salts: list[int] = []
        self.ready: list[int] = []
        self.candidates: dict[Placement, Candidates] = {}  # by where tariffs may go
        self.out_of_service: dict[int, int] = {}  # ids that operators have taken out, and since when
        self.drained_starts: dict[int, int] = {}  # the starts of servers that drain, where that alone binds
        self.returned_at: dict[int, int] = {}  # when those came back that may still be cold
        self.transition: SettingsTransition | None = None
        self.total_quota = 0.0
        self.derive_from_settings(settings)
        # The breakers.
        self.breaker_states: list[int] = []
        self.failure_counts: list[int] = []
        self.breaker_since: list[int] = []
        self.cooldowns: list[int] = []
        self.failure_rates: list[float] = []
        self.generations: list[int] = []
        self.trials_in_flight: list[int] = []
        # What this sidecar has seen.
        self.hops_in_flight: list[list[Hop]] = []
        self.unlisted_since: list[
            int
        ] = []  # since when the list lacks a server that is still used, 0 if it has it
        self.weight_factors: list[
            float
        ] = []  # the part of its weight that counts, since when, and its last answer
        self.weight_factors_at: list[int] = []
        self.answered_at: list[int] = []
        self.idle_since: list[int] = []  # since when the connections to a server rest, 0 if there are none
        self.idle_losses = IdleLossTracker()
        self.hint_sent_at = self.ignored_messages = 0
        self.loss_rate = 0.0  # the part of doubted hops whose answers never came
        self.slowdowns: list[float] = []
        self.queued_ratios: list[float] = []
        self.last_was_late: list[bool] = []
        self.slowdowns_at: list[int] = []
        self.cold_sends: list[deque[int]] = []
        self.total_in_flight = 0
        self.class_states = tuple(ClassState(tariff) for tariff in settings.request_classes)
        self.retry_tokens = 10.0
        # The turns at fresh servers begin at a point of this sidecar's own, however many others there are.
        # Guards a cold server against sidecars in step: were it a multiple of GOLDEN, each would come to the
        # same points that others do, some submissions later, and so all of them to one server in one window.
        self.turn_point = settings.sidecar_index * SILVER_RATIO_STEP % 1.0
        self.mean_gap = 0.0
        self.admitted = self.admitted_at = 0
        # The keys of the last submissions, and how often each is among them.
        self.recent_keys: deque[int] = deque()
        self.key_counts: dict[int, int] = {}
        # How much may be out, how much could after the last cut, when that was, and the share of tardy hops.
        self.load = 0.0
        self.load_at = 0
        self.limit = self.limit_after_cut = math.inf
        self.limit_cut_at = 0
        self.slow_ratio = 0.0
        self.full_ratio = 0.0
        self.full_ratio_at = 0
        self.recent_answers, self.first_admitted_at, self.recent_answers_at = (
            0.0,
            -1,
            -1,
        )  # of late, since when, and when last counted
        # Asking for the list.
        self.follows_list = not settings.polls_list
        self.list_requested = False

    # -- the list

    def update_servers(
        self, now: int, kind: ListKind, entries: Sequence[ServerEntry], elapsed: int = 0
    ) -> None:
        if kind == ListKind.FAILED:
            self.follows_list = self.list_requested = False
            # Guards the roster against all sidecars asking again together, and stays well inside the time
            # after which a list not asked for is deemed known, or a change since that call began (`spent`).
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
            named = {entry.server for entry in entries}
            for server, at in self.index_by_id.items():
                if server not in named:
                    self.mark_unlisted(now, at)
        for entry in entries:
            at = self.index_by_id.get(entry.server, -1)
            if self.settings.only_draining_removes:
                entry = self.keep_draining(now, entry)
            if at >= 0 and entry.state == ServerState.GONE:
                self.mark_unlisted(now, at)
                changed = True
            elif at >= 0 and (entry.state, entry.started_at, entry.zone, entry.cell, entry.kind) == (
                self.listed_states[at],
                self.listed_starts[at],
                self.zones[at],
                self.cells[at],
                self.kinds[at],
            ):
                self.set_weight(at, entry)  # all that a renewal of live scales costs
            elif entry.state != ServerState.GONE or at >= 0:
                self.set_entry(now, entry)
                changed = True
        if changed:
            for at in [at for at in self.index_by_id.values() if self.listed_states[at] == ServerState.GONE]:
                self.release_index(at)
            self.update_ready()

    def keep_draining(self, now: int, entry: ServerEntry) -> ServerEntry:
        """Where only draining binds: what has drained stays bound, whatever an old list that returns says."""
        if entry.state == ServerState.DRAINING:
            self.drained_starts[entry.server] = max(
                entry.started_at, self.drained_starts.pop(entry.server, 0)
            )
            if len(self.drained_starts) > MAX_DRAINED:
                del self.drained_starts[next(iter(self.drained_starts))]
        elif entry.state == ServerState.READY:
            if entry.started_at <= self.drained_starts.get(entry.server, -1):
                return entry._replace(phase=ServerState.DRAINING)
            at = self.index_by_id.get(entry.server, -1)
            if at >= 0 and self.unlisted_since[at]:
                self.unlisted_since[at], self.weight_factors_at[at] = 0, now
        return entry

    def mark_unlisted(self, now: int, at: int) -> None:
        """The list no longer has a server.  Where only draining binds that proves nothing: it stays in use.

        Guards against lists that call servers gone that serve.  It costs trials of servers that are gone.
        """
        if not self.settings.only_draining_removes or self.listed_states[at] != ServerState.READY:
            self.listed_states[at] = ServerState.GONE
        elif not self.unlisted_since[at]:
            self.unlisted_since[at] = self.weight_factors_at[at] = now
        elif now - max(self.unlisted_since[at], self.answered_at[at]) > MAX_UNLISTED_US:
            self.listed_states[at] = ServerState.GONE

    def weight_factor(self, now: int, at: int) -> float:
        """The part of its weight that counts of a server that the list dropped, or has again: by steps."""
        since = self.weight_factors_at[at]
        if now - since >= UNLISTED_STEP_US and (self.unlisted_since[at] or self.weight_factors[at] < 1.0):
            self.weight_factors_at[at] = now
            up = not self.unlisted_since[at] or self.answered_at[at] >= since
            self.weight_factors[at] = (
                min(1.0, 2 * self.weight_factors[at])
                if up
                else max(MIN_UNLISTED_FACTOR, self.weight_factors[at] / 2)
            )
        return self.weight_factors[at]

    def update_ready(self) -> None:
        self.ready = [
            at
            for at, phase in enumerate(self.listed_states)
            if phase == ServerState.READY and self.ids[at] not in self.out_of_service
        ]
        self.update_candidates()

    def update_candidates(self) -> None:
        """What is open to each tariff changes with the list and with the tariffs, not from hop to hop."""
        self.candidates.clear()
        for terms in self.class_states:
            self.candidates_for(terms.placement)

    def candidates_for(self, place: Placement) -> Candidates:
        """The servers of some zones and kinds; those of terms of before are worked out when asked for."""
        reach = self.candidates.get(place)
        if reach is None:
            zones, kinds = place
            ready = [
                at
                for at in self.ready
                if (zones is None or self.zones[at] in zones) and (kinds is None or self.kinds[at] in kinds)
            ]
            reach = self.candidates[place] = Candidates(ready, self.choose_subset(ready))
        return reach

    def set_out_of_service(self, now: int, server: int, out: bool, certain: bool = False) -> bool:
        """Take a server out by hand, or let it serve again; False for an id that nobody has.

        Guards a server that operators work on: no list, breaker or trial brings it back.  It returns cold, as
        of a start listed since, else as of now.  `certain`: another process has found the id.
        """
        at = self.index_by_id.get(server, -1)
        known = server in self.out_of_service
        lacks = (at < 0 or self.listed_states[at] == ServerState.GONE) and not certain
        if not known and (lacks or out and len(self.out_of_service) >= MAX_OUT_OF_SERVICE):
            return False
        if out:
            self.out_of_service.setdefault(server, now)
        elif known:
            longest = max(self.settings.cold_duration, self.settings.overload_window)
            self.returned_at = {one: then for one, then in self.returned_at.items() if now - then < longest}
            if self.out_of_service.pop(server) >= (self.started_at[at] if at >= 0 else 0):
                self.returned_at[server] = now
            if at >= 0:
                self.reset_server(now, at, max(self.started_at[at], self.returned_at.get(server, 0)))
        self.update_ready()
        if out != known:
            name = self.names[at] if at >= 0 else str(server)
            self.callbacks.log(f"server {name} {'out' if out else 'back'} by hand")
        return True

    def server_counts(self) -> tuple[int, int]:
        """How many servers are listed, and how many of these are avoided, by hand or by their breakers."""
        listed = [at for at in self.index_by_id.values() if self.listed_states[at] != ServerState.GONE]
        return len(listed), sum(
            self.breaker_states[at] != CLOSED or self.ids[at] in self.out_of_service for at in listed
        )

    def update_subsets(self) -> None:
        """A breaker has opened or closed."""
        for reach in self.candidates.values():
            near = self.choose_subset(reach.servers)
            if near != reach.subset:
                reach.scores.clear()
            reach.subset = near

    def choose_subset(self, ready: list[int]) -> list[int]:
        """The servers that this sidecar uses: all, or, where connections cost, the first of its own order.

        Guards servers that take few connections, each of which costs, against hundreds of sidecars.  One
        whose breaker is not closed stays among them for its trials; the next in the order stands in for it.
        """
        price = self.settings.connection_cost * self.settings.fleet_size
        most = len(ready)
        if price > 0:
            most = max(MIN_SUBSET_SIZE, math.ceil(math.sqrt(SUBSET_CHOICE_VALUE * 100 * len(ready) / price)))
        if most >= len(ready):
            return ready
        mine = mix_bits(self.settings.sidecar_index + 1)
        near = []
        for _, at in sorted((mix_bits(mine ^ self.salts[at]), at) for at in ready):
            near.append(at)
            most -= self.breaker_states[at] == CLOSED
            if most <= 0:
                break
        return sorted(near)

    def receive_peer_message(self, now: int, data: bytes) -> None:
        """A message of another sidecar: a hint, which may be late, garbled or from another build."""
        if not self.idle_losses.merge_hint(now, data):
            self.ignored_messages += 1

    def apply_settings(self, now: int, settings: Settings) -> None:
        """Go by other settings from now on; what has been taken ends under the terms it was taken under.

        Breakers, samples and hops out stay.  Until the longer window has passed the rules' figures are the
        stricter of both: guards budgets that were half spent, and sends that count as told by the old ones.
        """
        before, known = self.settings, {terms.request_class.name: terms for terms in self.class_states}
        self.class_states = tuple(
            ClassState(tariff, known.get(tariff.name)) for tariff in settings.request_classes
        )
        if not any(terms.request_class.name in known for terms in self.class_states):
            # What may be out was learnt from other submissions.
            self.limit = self.limit_after_cut = math.inf
            self.slow_ratio = self.full_ratio = 0.0
        quota = self.total_quota
        self.derive_from_settings(settings)
        if not self.total_quota or 0.0 < quota < self.total_quota:
            self.total_quota = quota
        self.cold_tokens = [min(0.0, tokens) for tokens in self.cold_tokens]
        self.cold_tokens_at = [now] * len(self.cold_tokens)
        self.settings = replace(
            settings,
            cold_from=min(before.cold_fraction, settings.cold_fraction),
            cold_for=max(before.cold_duration, settings.cold_duration),
            most_hops=min(before.max_hops, settings.max_hops),
            fall_multiple=min(before.overload_multiple, settings.overload_multiple),
            fall_window=min(before.overload_window, settings.overload_window),
            full_unproven=before.full_may_have_run or settings.full_may_have_run,
            ask_every=min(before.poll_interval, settings.poll_interval),
        )
        self.transition = SettingsTransition(self, settings)
        longest = max(self.settings.cold_duration, before.overload_window, settings.overload_window)
        self.callbacks.set_timer(now + longest, self.transition)
        self.update_candidates()
        if settings.polls_list:
            self.on_timer(now)

    def derive_from_settings(self, settings: Settings) -> None:
        """What follows from settings."""
        self.mean_latency_target = sum(tariff.latency_target for tariff in settings.request_classes) / max(
            1, len(settings.request_classes)
        )
        self.total_quota = sum(settings.tenant_quotas) / 1e6
        self.sidecar_offset = settings.sidecar_index * GOLDEN_RATIO_STEP % 1.0

    def send_hints(self, now: int) -> None:
        """Tell some others what was seen here, never what they told: no hint feeds itself."""
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

    def release_index(self, at: int) -> None:
        """Nothing is kept of a server that is gone once no hop to it is out: new ones come for ever."""
        if (
            self.listed_states[at] == ServerState.GONE
            and not self.hops_in_flight[at]
            and self.index_by_id.get(self.ids[at]) == at
        ):
            del self.index_by_id[self.ids[at]]
            self.generations[at] += 1
            self.free_indexes.append(at)

    def set_entry(self, now: int, entry: ServerEntry) -> None:
        at = self.index_by_id.get(entry.server)
        if at is None:
            if self.free_indexes:
                at = self.free_indexes.pop()
            else:
                at = len(self.ids)
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
                for shares in (
                    self.weights,
                    self.cold_tokens,
                    self.failure_rates,
                    self.queued_ratios,
                    self.slowdowns,
                    self.weight_factors,
                ):
                    shares.append(0.0)
                self.listed_states.append(ServerState.GONE)
                self.names.append("")
                self.last_was_late.append(False)
                self.cold_sends.append(deque())
                self.hops_in_flight.append([])
            self.index_by_id[entry.server] = at
            self.ids[at] = entry.server
            self.names[at] = entry.name or str(entry.server)
            self.salts[at] = mix_bits(entry.server + 1)
            self.breaker_since[at] = self.slowdowns_at[at] = self.idle_since[at] = 0
            self.weights[at] = self.queued_ratios[at] = 0.0
            self.unlisted_since[at], self.weight_factors[at] = 0, 1.0
            # Each sidecar begins elsewhere: guards a fresh server against all first hops coming together.
            self.cold_tokens[at] = (self.sidecar_offset + self.salts[at] / UINT64_MASK) % 1.0
            self.last_was_late[at] = False
            self.cold_sends[at].clear()
            self.listed_starts[at] = entry.started_at
            self.reset_server(now, at, self.effective_start(now, entry))
        if entry.started_at > self.listed_starts[at]:
            # Guards a fresh process against the verdicts on the one before it.
            self.listed_starts[at] = entry.started_at
            self.reset_server(now, at, self.effective_start(now, entry))
        self.zones[at] = entry.zone
        self.cells[at] = entry.cell
        self.kinds[at] = entry.kind
        self.listed_states[at] = entry.state
        self.set_weight(at, entry)

    def reset_server(self, now: int, at: int, came_up: int) -> None:
        """A new process of a known server."""
        self.started_at[at] = came_up
        self.breaker_states[at] = CLOSED
        self.failure_counts[at] = self.trials_in_flight[at] = self.cooldowns[at] = 0
        self.generations[at] += 1
        self.failure_rates[at], self.slowdowns[at], self.cold_tokens_at[at] = 0.0, 1.0, now

    def set_weight(self, at: int, entry: ServerEntry) -> None:
        """Take a listed scale for a size, or, where it falls with what is held, the largest of its kind.

        Guards keys against moving with each renewal, and cold servers, empty still, against looking large.
        """
        scale = entry.weight if 0.0 < entry.weight < math.inf else 1.0
        if not self.settings.live_weights:
            self.weights[at] = scale
            return
        if entry.kind < 0:
            self.weights[at] = max(self.weights[at], scale)
            return
        if scale > self.max_weights.get(entry.kind, 0.0):
            self.max_weights[entry.kind] = scale
        self.weights[at] = self.max_weights[entry.kind]

    def record_full(self, full: bool) -> None:
        """Whether a hop has found its server full.

        Guards servers against choking before a list can tell: this is known at once.
        """
        self.full_ratio += FULL_RATIO_STEP * (full - self.full_ratio)

    def effective_start(self, now: int, entry: ServerEntry) -> int:
        """When a listed server came up, as far as that can be.

        Guards against clocks that differ: what is listed is there, so a start in the future was one by now,
        and a server must not count as cold until then.  It is no earlier than the true one: no budget grows.
        """
        back = self.returned_at.get(entry.server, 0)
        return max(1, back, min(now, entry.started_at)) if entry.started_at else back

    def on_timer(self, now: int) -> None:
        """Ask for the list, unless it is being followed."""
        if not self.follows_list and not self.list_requested:
            self.list_requested = True
            self.callbacks.request_server_list()

    # -- taking

    def submit(self, now: int, name: int, tariff: int, key: int, retry: bool, until: int) -> Submission:
        """Take a submission; `until` is when its client gives up, a key of 0 means none."""
        return self.submit_with(now, name, self.class_states[tariff], key, retry, until)

    def submit_with(
        self, now: int, name: int, terms: ClassState, key: int, retry: bool, until: int, coming: bool = False
    ) -> Submission:
        """Take one under the terms that were in force when it was read, though others may be by now."""
        one = Submission(self, name, terms, key, retry, until)
        one.uploading = coming
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
        if not self.should_shed(now, one):
            one.send_next_hop(now)
        elif (server := self.choose_server(now, one, True)) >= 0:
            one.send_hop(now, server)
        else:
            one.give_up(now)
        return one

    def count_key(self, key: int) -> None:
        self.recent_keys.append(key)
        self.key_counts[key] = self.key_counts.get(key, 0) + 1
        if len(self.recent_keys) > RECENT_KEYS:
            oldest = self.recent_keys.popleft()
            self.key_counts[oldest] -= 1
            if not self.key_counts[oldest]:
                del self.key_counts[oldest]
                for reach in self.candidates.values():
                    reach.scores.pop(oldest, None)

    def should_shed(self, now: int, one: Submission) -> bool:
        """Close to the limit of what may be out, submissions are turned away by chance, cheap ones sooner."""
        if self.settings.live_weights:
            self.full_ratio *= math.exp((self.full_ratio_at - now) / FULL_RATIO_DECAY_US)
            self.full_ratio_at = now
        if self.limit == math.inf and self.full_ratio <= FULL_RATIO_THRESHOLD:
            return False
        values = [terms.request_class.value / terms.typical_latency for terms in self.class_states]
        value = (
            one.class_state.request_class.value
            / one.class_state.typical_latency
            * len(values)
            / max(1e-9, sum(values))
        )
        value = min(2.0, max(0.5, value))
        if one.is_retry:
            # Guards the room against submissions that come back when most of their agreed time has passed.
            value *= RETRY_VALUE_FACTOR
        if self.settings.live_weights:
            if one.deadline_at - now < one.class_state.typical_latency:
                value *= SHORT_DEADLINE_VALUE_FACTOR
            if self.rng.next_float() < min(
                0.97, FULL_SHED_FACTOR * (self.full_ratio - FULL_RATIO_THRESHOLD) / value
            ):
                return True
            if self.limit == math.inf:
                return False
        load = (
            min(self.update_load(now), self.total_in_flight)
            + one.class_state.typical_latency / self.mean_latency_target
        ) / self.limit
        return self.rng.next_float() < (load - 1.0) / 0.25 + min(4.0, 1.0 / value)

    def update_load(self, now: int) -> float:
        """How much is out, in the mean of about an agreed time.

        Guards sidecars with little traffic, which have one hop out or none, against a limit in whole hops.
        """
        self.load += (self.total_in_flight - self.load) * (
            1.0 - math.exp((self.load_at - now) / self.mean_latency_target)
        )
        self.load_at = now
        return self.load

    def update_limit(self, now: int, terms: ClassState, hop: Hop, spent: int) -> None:
        """Let less be out while too many hops take long, more again while they do not.

        Guards against a jam that feeds itself: servers go on with work nobody waits for any more, so that at
        an unchanged rate of sends nothing is ever answered in time again.  Looks at the middle server too, as
        queues can harm servers long before hops are late, while a few slow servers are the breakers' matter.
        """
        if hop.sent_at <= self.limit_cut_at or hop.server_index not in self.ready:
            return
        level = self.update_load(now)
        agreed = terms.latency_target
        tardy = spent > SLOW_TARGET_FRACTION * agreed
        # Guards against taking keys new to a server for queues where work is short for its agreed time.
        queued = spent > max(QUEUED_LATENCY_RATIO * terms.typical_latency, QUEUED_TARGET_FRACTION * agreed)
        # The fewer submissions, the more each hop counts: guards idle sidecars against learning too late.
        self.slow_ratio += min(0.2, max(0.06, self.mean_gap / SAMPLE_DECAY_US)) * (tardy - self.slow_ratio)
        self.queued_ratios[hop.server_index] += 0.2 * (queued - self.queued_ratios[hop.server_index])
        middle = sorted(self.queued_ratios[at] for at in self.ready)[len(self.ready) // 2]
        # Some must be tardy too: guards against taking a release, whose new servers know no key, for a jam.
        if (
            self.slow_ratio > CONGESTION_RATIO
            or middle > CONGESTION_RATIO
            and self.slow_ratio > MIN_SLOW_RATIO
        ):
            self.limit_cut_at = now
            self.limit_after_cut = 0.7 * min(self.limit, max(level, hop.load_at_send))
            if self.limit == math.inf:
                self.callbacks.log(
                    f"limit on: {self.slow_ratio:.2f} of hops tardy, {middle:.2f} of those at the "
                    f"middle server queued, {self.limit_after_cut:.1f} may be out"
                )
            self.limit = self.limit_after_cut = max(
                1.5 * terms.typical_latency / self.mean_latency_target, self.limit_after_cut
            )
            self.slow_ratio = min(self.slow_ratio, CONGESTION_RATIO / 2)
            self.queued_ratios = [share / 2 for share in self.queued_ratios]
        elif not tardy and level > self.limit / 2:
            self.limit += min(0.25 * self.limit, LIMIT_GROWTH * self.limit_after_cut / self.limit)
        elif self.limit < math.inf and self.slow_ratio < 0.02 and level * 4 < self.limit:
            self.callbacks.log(f"limit off: {self.slow_ratio:.2f} of hops tardy, {level:.1f} out")
            self.limit = math.inf

    def retry_after(self, terms: ClassState) -> int:
        return min(self.settings.max_retry_after, int(terms.latency_target * (0.5 + self.rng.next_float())))

    def fixed_retry_after(self, terms: ClassState) -> int:
        """For a host at the bound of its connections; it changes nothing, and needs no lock."""
        return min(self.settings.max_retry_after, terms.latency_target)

    def take_retry_token(self, one: Submission) -> bool:
        if not one.hops:
            return True
        if len(one.hops) >= self.settings.max_hops or self.retry_tokens < 1.0:
            return False
        self.retry_tokens -= 1.0
        return True

    # -- choosing a server

    def choose_server(self, now: int, one: Submission, jam: bool = False) -> int:
        """The first in the key's order that admits and is not passed over, else the first that admits.

        In a jam only a cold server whose turn it is: they have room, and would be given little of so little.
        """
        try:
            bound = one.retry_anchor(now)
        except PermissionError:
            return -1
        tried = [hop.server_index for hop in one.hops]
        tariff = one.class_state.request_class
        total = sum(self.weights[at] for at in self.ready) or 1.0
        order = []
        cold = []
        foreign = self.cross_zone_factor()
        reach = self.candidates_for(one.class_state.placement)
        for at, draw in zip(reach.subset, self.scores_for(one.key, reach)):
            if at in tried or bound is not None and not self.in_dedup_group(tariff.dedup_group, bound, at):
                continue
            if self.started_at[at] and self.warm_fraction(now, at) < 1.0:
                cold.append(at)
                continue
            weight = self.weights[at] * self.weight_factor(now, at)
            if self.zones[at] != self.settings.zone:
                weight *= foreign
            order.append((draw / weight, at))
        heapify(order)  # most hops need no more than the first
        if one.key and len(order) > 1 and not tried:
            # Guards the first server of a popular key: a key that is more than one server's part of what this
            # sidecar takes goes, by chance, to as many of the first in its order as it makes up for.
            part = (self.key_counts[one.key] - 1) / max(RECENT_KEYS // 2, len(self.recent_keys))
            spread = math.ceil(part * len(order) * HOT_KEY_RATIO)
            if spread > 1:
                chosen = nsmallest(spread, order)[self.rng.next_bits() % min(spread, len(order))]
                order[order.index(chosen)] = (0.0, chosen[1])
                heapify(order)
        order = [] if jam else order
        if one.is_retry:
            cold = []  # guards cold servers against what clients repeat: it stands for nothing they could do
        turns = [] if tried else [at for at in cold if self.is_cold_turn(now, at, total, reach)]
        fallback = first = -1
        while turns or order:
            at = turns.pop(0) if turns else heappop(order)[1]
            first = at if first < 0 and at not in cold else first
            if not self.breaker_admits(now, at, tariff.effect == Effect.NON_IDEMPOTENT):
                continue
            fair = self.total_in_flight * self.weights[at] / total
            lag = self.current_slowdown(now, at)
            crowded = (
                len(self.hops_in_flight[at]) >= 2 and len(self.hops_in_flight[at]) > CROWDED_RATIO * fair
            )
            stalled = len(self.hops_in_flight[at]) > 0 and now > self.hops_in_flight[at][0].due
            slow = lag > 2.0 and one.class_state.typical_latency * lag > tariff.latency_target / 2
            if not crowded and not slow and not stalled:
                return at
            if fallback < 0 and not jam:
                # Guards warm keys while all servers are slow: scattered, they would cost the fleet more work.
                fallback = at
        if fallback < 0 and not jam:
            # Guards against all breakers refusing at once: no server's sickness, so the key's order holds.
            rest = [at for at in cold if self.is_cold_turn(now, at, total, reach, 1.4)]
            fallback = rest[0] if rest else first
        return fallback

    def scores_for(self, key: int, reach: Candidates) -> list[float]:
        """The key's draw of each server in reach, to be held against its weight; the least comes first."""
        draws = reach.scores.get(key)
        if draws is None:
            seed = mix_bits(key) if key else self.rng.next_bits() << 20
            draws = [
                -math.log((mix_bits(seed ^ self.salts[at]) + 1) / (UINT64_MASK + 2)) for at in reach.subset
            ]
            if key in self.key_counts:
                reach.scores[key] = draws
        return draws

    def cross_zone_factor(self) -> float:
        """What a server of another zone counts for: little, until lateness costs more than crossing does."""
        price = self.settings.cross_zone_cost
        if price <= 0.0:
            return 1.0
        return min(1.0, max(0.05, 1.0 - price / MAX_CROSS_ZONE_COST, 0.5 * self.slow_ratio / price))

    def in_dedup_group(self, group: DedupGroup, first: Hop, at: int) -> bool:
        return self.zones[at] == first.zone if group == DedupGroup.ZONE else self.cells[at] == first.cell

    def warm_fraction(self, now: int, at: int) -> float:
        """The share of its capacity that a server has at least, by the time since its start."""
        if not self.started_at[at]:
            return 1.0
        start = self.settings.cold_fraction
        age = max(0, now - self.started_at[at])
        return min(1.0, max(0.01, start + (1.0 - start) * age / max(1, self.settings.cold_duration)))

    def is_cold_turn(self, now: int, at: int, total: float, reach: Candidates, times: float = 1.0) -> bool:
        """Whether it is this submission's turn at a cold server.

        Guards a cold server against popular keys and against many sidecars at once, whatever their number and
        traffic: it is not in the order, and each sidecar sends it an even part of all that it takes.
        """
        limit = COLD_BUDGET_FRACTION * self.settings.overload_multiple * self.warm_fraction(now, at) * times
        part = self.weights[at] / total
        fewer = len(reach.subset) / len(reach.servers)  # of the sidecars use it, each for as many others
        if (
            self.turn_point + self.salts[at] / UINT64_MASK
        ) % 1.0 >= limit * part / fewer * self.goodput_ratio(now):
            return False
        if self.total_quota > 0.0:
            # What tenants may ask for tells what the fleet can do: guards a cold server against what clients
            # repeat, and against a sidecar that carries far more than others.
            rate = limit * part * self.total_quota / (fewer * self.settings.fleet_size)
            self.cold_tokens[at] = min(1.0, self.cold_tokens[at] + rate * (now - self.cold_tokens_at[at]))
            self.cold_tokens_at[at] = now
            if self.cold_tokens[at] < 1.0 or self.transition is None:
                return self.cold_tokens[at] >= 1.0
        # In the times of calm: in a jam usual times are mostly waiting, and would hold warmed servers back.
        usual = sum(terms.unloaded_latency for terms in self.class_states) / len(self.class_states)
        return len(self.recent_cold_sends(now, at)) < max(
            1, int(limit * self.settings.overload_window / usual)
        )

    def goodput_ratio(self, now: int) -> float:
        """The part of what is taken now that the fleet could serve, told by what it has answered here lately.

        Guards a cold server against what clients repeat, which multiplies what all take, where no quota tells
        what they may ask for and no mark what they repeat.  Servers can do half a core's work at least.
        """
        if self.total_quota > 0.0 or self.settings.clients_mark_retries:
            return 1.0
        memory = max(1, self.settings.cold_duration, self.settings.overload_window)
        self.recent_answers, self.recent_answers_at = (
            self.recent_answers * math.exp((self.recent_answers_at - now) / memory),
            now,
        )
        rate = self.recent_answers / memory / (1.0 - math.exp((self.first_admitted_at - now - 1) / memory))
        usual = (
            sum(terms.unloaded_latency for terms in self.class_states)
            / len(self.class_states)
            * self.settings.fleet_size
        )
        least = len(self.ready) / (2 * usual)
        return (
            1.0
            if self.admitted < MIN_GOODPUT_SUBMISSIONS
            else min(1.0, self.mean_gap * max(GOODPUT_SLACK * rate, least))
        )

    def recent_cold_sends(self, now: int, at: int) -> deque[int]:
        """When a cold server was sent something, within the rules' window."""
        sent = self.cold_sends[at]
        while sent and sent[0] <= now - self.settings.overload_window:
            sent.popleft()
        return sent

    # -- breakers

    def breaker_admits(self, now: int, at: int, unrepeatable: bool) -> bool:
        if self.breaker_states[at] == CLOSED:
            return True
        if self.breaker_states[at] == OPEN:
            waited = now - self.breaker_since[at] - self.cooldowns[at]
            if self.peer_trials is not None and 0 <= waited < self.cooldowns[at] and self.sends_often():
                # Another may have its trial in hand; after a Cooldown without word this one tries alone.
                return not unrepeatable and self.peer_trials.may_try(self.names[at])
            # Trials are hops that may be sent again, unless none has come for another Cooldown.
            return waited >= (self.cooldowns[at] if unrepeatable else 0)
        if self.trials_in_flight[at] < MAX_HALF_OPEN_TRIALS:
            return True
        if now - self.breaker_since[at] >= self.cooldowns[at]:
            self.open_breaker(now, at, "trial without verdict")
        return False

    def start_hop(self, now: int, terms: ClassState, at: int) -> Hop:
        """Count a send, which makes an open breaker half-open and is then its trial."""
        if self.breaker_states[at] == OPEN and now - self.breaker_since[at] >= self.cooldowns[at]:
            self.breaker_states[at] = HALF_OPEN
            self.trials_in_flight[at] = 0
        trial = self.breaker_states[at] == HALF_OPEN
        if trial:
            # The deadline runs from the trial itself: guards against a fresh trial, sent after earlier ones
            # ended without a verdict, being taken for one that has been out since half-open began.
            self.breaker_since[at] = now
            self.trials_in_flight[at] += 1
        level = self.update_load(now) + terms.typical_latency / self.mean_latency_target
        self.total_in_flight += 1
        if self.warm_fraction(now, at) < 1.0:
            self.recent_cold_sends(now, at).append(now)
            if self.total_quota > 0.0:
                self.cold_tokens[at] -= 1.0
        due = now + int(
            max(STALL_LATENCY_RATIO * terms.typical_latency, STALL_TARGET_FRACTION * terms.latency_target)
        )
        hop = Hop(now, due, at, self.zones[at], self.cells[at], self.generations[at], trial, level)
        if not self.hops_in_flight[at] and self.idle_since[at]:
            hop.idle_time = now - self.idle_since[at]
            if hop.idle_time >= self.idle_losses.idle_limit:
                hop.idle_time = 0
                self.callbacks.close_idle_connections(self.ids[at])
        self.hops_in_flight[at].append(hop)
        return hop

    def open_breaker(self, now: int, at: int, cause: str) -> None:
        # Guards a sick server against the trials of many sidecars that each have little for it in calm: they
        # wait as long as their few submissions make up for it, and each somewhat longer by its number.
        wait = max(COOLDOWN_US, self.mean_gap * len(self.ready) / TRIAL_FRACTION) * (
            2 if self.cooldowns[at] else 1
        )
        if self.peer_trials is not None and self.sends_often():
            wait = float(COOLDOWN_US)  # one trial of all, so that nobody need wait longer for many
        apart = 1.0 + (self.sidecar_offset + self.salts[at] / UINT64_MASK) % 1.0 / 2
        self.cooldowns[at] = int(min(MAX_COOLDOWN_US, wait) * apart)
        self.breaker_states[at] = OPEN
        self.breaker_since[at] = now
        self.update_subsets()
        self.generations[at] += 1
        self.trials_in_flight[at] = self.failure_counts[at] = 0
        self.callbacks.log(f"server {self.names[at]} open for {self.cooldowns[at] / 1e6:.1f} s: {cause}")
        if self.peer_trials is not None:
            self.peer_trials.breaker_opened(self.names[at], self.cooldowns[at], self.sends_often())

    def sends_often(self) -> bool:
        """Whether each server would get a hop of this sidecar's within a Cooldown, so that it finds out."""
        return self.mean_gap * len(self.ready) < COOLDOWN_US

    def postpone_trial(self, now: int, server: int, wait: int) -> None:
        """Others' word on an open breaker: its trial is put off by as long, or with 0 may be made at once."""
        at = self.index_by_id.get(server, -1)
        if at >= 0 and self.breaker_states[at] == OPEN:
            self.breaker_since[at] = (
                max(self.breaker_since[at], now + wait - self.cooldowns[at])
                if wait
                else (now - 2 * self.cooldowns[at])
            )

    def record_outcome(self, now: int, hop: Hop, failed: bool, cause: str) -> None:
        at = hop.server_index
        if hop.generation != self.generations[at] or hop.outcome_recorded:
            return
        hop.outcome_recorded = True
        if cause not in ("late", "overdue"):
            self.failure_rates[at] += 0.1 * (failed - self.failure_rates[at])
        if hop.is_trial and self.breaker_states[at] == HALF_OPEN:
            self.trials_in_flight[at] -= 1
            if self.peer_trials is not None:
                self.peer_trials.trial_finished(self.names[at], failed)
            if failed:
                self.open_breaker(now, at, f"trial failed, {cause}")
            else:
                self.breaker_states[at] = CLOSED
                self.failure_counts[at] = 0
                self.update_subsets()
                self.callbacks.log(f"server {self.names[at]} closed after a trial")
        elif failed:
            self.failure_counts[at] += 1
            if self.breaker_states[at] != CLOSED:
                return
            usual = self.median_failure_rate(at)
            threshold = FAILURE_THRESHOLD
            if usual > 0.0:
                # Guards against what breaks hops to all servers alike, which by chance come in a row.
                threshold = max(
                    threshold, math.ceil(math.log(FAILURE_RUN_PROBABILITY) / math.log(min(0.9, usual)))
                )
            if self.failure_counts[at] >= threshold:
                self.open_breaker(now, at, f"{self.failure_counts[at]} failures, {cause}")
            elif self.failure_rates[at] > FAILURE_RATE_THRESHOLD + FAILURE_RATE_MEDIAN_FACTOR * usual:
                # Guards against a server that fails part of its hops, so that they seldom come in a row.
                self.open_breaker(now, at, f"{self.failure_rates[at]:.2f} of hops failed, {cause}")
        elif (
            self.breaker_states[at] == CLOSED
        ):  # a hop sent while all refused must not shorten an open breaker's wait
            self.failure_counts[at] = 0
            if self.failure_rates[at] < FAILURE_RATE_THRESHOLD / 2:
                self.cooldowns[at] = 0

    def finish_hop(self, now: int, terms: ClassState, hop: Hop, outcome: Outcome, spent: int) -> None:
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
            self.record_answer(now, terms, hop, spent)
        elif outcome == Outcome.TIMEOUT and spent >= terms.latency_target:
            self.record_overdue(now, terms, hop)
        elif outcome in NEUTRAL_OUTCOMES or outcome == Outcome.TIMEOUT:
            self.release_trial(hop)
        else:
            self.record_outcome(now, hop, True, outcome.name.lower())

    def release_trial(self, hop: Hop) -> None:
        if hop.is_trial and hop.generation == self.generations[hop.server_index] and not hop.outcome_recorded:
            self.trials_in_flight[hop.server_index] -= 1

    def record_answer(self, now: int, terms: ClassState, hop: Hop, spent: int) -> None:
        if not hop.outcome_recorded:
            self.update_limit(now, terms, hop, spent)
        if not hop.outcome_recorded:
            self.idle_losses.record(now, hop.idle_time, False)
        self.record_latency(now, terms, hop.server_index, spent)
        late = spent > terms.latency_target and not self.most_are_late(hop.server_index)
        self.record_outcome(now, hop, late, "late" if late else "answered")

    def record_overdue(self, now: int, terms: ClassState, hop: Hop) -> None:
        if hop.outcome_recorded:
            return
        self.idle_losses.record(now, hop.idle_time, True)
        self.update_limit(now, terms, hop, now - hop.sent_at)
        self.record_latency(now, terms, hop.server_index, max(now - hop.sent_at, terms.latency_target + 1))
        if not self.most_are_late(hop.server_index):
            self.record_outcome(now, hop, True, "overdue")
        elif hop.is_trial and hop.generation == self.generations[hop.server_index]:
            self.trials_in_flight[hop.server_index] -= 1
        hop.outcome_recorded = True

    def median_failure_rate(self, but: int) -> float:
        """The share of failures of the middle one of the other servers: no one server's sickness."""
        others = sorted(self.failure_rates[at] for at in self.ready if at != but)
        return others[len(others) // 2] if others else 0.0

    def most_are_late(self, but: int) -> bool:
        """Whether the last hops to half of the other servers were late too: no one server's sickness."""
        others = [
            self.last_was_late[at] or self.breaker_states[at] != CLOSED
            for at in self.ready
            if at != but and self.slowdowns_at[at]
        ]
        return len(others) > 0 and 2 * sum(others) >= len(others)

    # -- what is seen

    def record_latency(self, now: int, terms: ClassState, at: int, spent: int) -> None:
        ratio = spent / terms.typical_latency
        # The longer ago the last one, the more a sample counts: guards sidecars that seldom meet a server.
        part = (
            max(0.3, 1.0 - math.exp((self.slowdowns_at[at] - now) / SAMPLE_DECAY_US))
            if self.slowdowns_at[at]
            else 1.0
        )
        self.slowdowns[at] = self.current_slowdown(now, at) * (1.0 - part) + min(ratio, 20.0) * part
        self.slowdowns_at[at] = now
        self.last_was_late[at] = spent > terms.latency_target
        # A quantile, moved a little by each answer: guards against a few stuck hops making all look late.
        terms.samples += 1
        step = max(0.01 if self.limit == math.inf else 0.001, 0.3 / terms.samples)
        terms.typical_latency *= 1.0 + step if spent > terms.typical_latency else 1.0 - step
        if terms.samples < 30 or terms.typical_latency < terms.unloaded_latency:
            terms.unloaded_latency = terms.typical_latency

    def current_slowdown(self, now: int, at: int) -> float:
        """How much longer than usual this server takes; fades to 1 when nothing is heard of it."""
        memory = min(MAX_COOLDOWN_US, max(SAMPLE_DECAY_US, self.mean_gap * len(self.ready)))
        return 1.0 + (self.slowdowns[at] - 1.0) * math.exp((self.slowdowns_at[at] - now) / memory)
