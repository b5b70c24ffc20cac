"""Servers: cores behind a queue, with caches, cold starts, congestion, collapse and shared limits."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ...interface import Outcome
from .timeline import Timeline


@dataclass(frozen=True)
class ServerParameters:
    """Properties of all servers; times in microseconds."""

    cores: int
    queue_limit: int  # hops that may wait
    cache_size: int  # keys in the cache of a server
    miss_factor: float  # multiplies the work of a key that is not in the cache
    cold_fraction: float  # fraction of the speed at the start, which grows linearly to 1
    cold_duration: int  # in this time
    overload_multiple: float  # a cold server collapses when it is sent more than this multiple
    overload_window: int  # of what it can do in this window
    congestion_threshold: float  # hops per core above which the server slows down
    congestion_speed: float  # fraction of the speed while congested, until at most one hop is left
    stops_cancelled: bool  # whether running work stops when it is cancelled


class ServerObserver(Protocol):
    """Is notified of what servers do; see `rule_checker`."""

    def work_started(self, now: int, job: Job, server: Server) -> bool:
        """A hop starts; returns whether it has an effect, or is dropped as a repeat."""

    def cold_server_overloaded(self, now: int, server: Server, senders: dict[int, int]) -> None:
        """A cold server collapsed; `senders` is the work by sidecar that knew of its start."""


class Job:
    """A hop at its server; `reply` is called once with the outcome there.  Times in microseconds."""

    __slots__ = (
        "submission_id",
        "key",
        "sender",
        "sender_knew_start",
        "work",
        "remaining_work",
        "updated_at",
        "rate",
        "speed_changes",
        "reply",
        "finished",
        "started",
        "has_effect",
    )

    def __init__(
        self,
        submission_id: int,
        key: int,
        sender: int,
        work: int,
        reply: Callable[[Outcome], None],
        sender_knew_start: bool = True,
    ) -> None:
        self.submission_id = submission_id
        self.key = key
        self.sender = sender
        self.sender_knew_start = sender_knew_start  # of this start of the server
        self.work = work  # core-microseconds on a warm server that knows the key
        self.remaining_work = float(work)
        self.updated_at = 0
        self.rate = 0.0
        self.speed_changes = 0  # a completion scheduled before the latest change is ignored
        self.reply = reply
        self.finished = False
        self.started = False
        self.has_effect = True


class SharedLimit:
    """A limit on hops running at a group of servers together, as by connections to a database."""

    def __init__(self, capacity: int) -> None:
        self.free = capacity
        self.waiting: deque[Server] = deque()

    def release(self) -> None:
        """A hop has ended; servers that wait for capacity start theirs in turn."""
        self.free += 1
        while self.free > 0 and self.waiting:
            self.waiting.popleft().start_waiting()


class Server:
    """One server id and its successive processes, which `kill` and `start` change; times in microseconds."""

    def __init__(
        self,
        timeline: Timeline,
        observer: ServerObserver,
        parameters: ServerParameters,
        number: int,
        zone: int,
        cell: int,
        speed: float = 1.0,
        limit: SharedLimit | None = None,
        draw: Callable[[], float] | None = None,
    ) -> None:
        self.timeline = timeline
        self.observer = observer
        self.parameters = parameters
        self.number = number
        self.zone = zone
        self.cell = cell
        self.speed = speed
        self.limit = limit
        self.draw = draw or (lambda: 1.0)
        self.process = 1  # number of the current process; connections end with theirs
        self.up = True
        self.silent = False  # half-open: receives, sends and closes nothing
        self.speed_factor = 1.0  # set by injected faults
        self.failure_fraction = 0.0  # of hops fail at once
        self.stall_fraction = 0.0  # of answers stop half way
        self.started_at = 0  # 0: so long ago that it is warm
        self.collapsed = False  # after too much load while cold, until the next start
        self.congested = False
        self.running: dict[Job, None] = {}
        self.queue: deque[Job] = deque()
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.arrivals: deque[tuple[int, int, int, bool]] = deque()  # time, work, sender, whether it knew
        self.arrived_work = 0  # sum of the work in `arrivals`
        self.completed = 0
        self.failed_hops = 0  # hops that were neither completed nor cancelled

    # -- its process

    def kill(self) -> None:
        """End the process at once: its hops are reset, its connections close."""
        self.up = False
        self.process += 1
        waiting = [*self.running, *self.queue]
        self.queue.clear()  # before capacity of a shared limit is released, which must not come back here
        for job in list(self.running):
            self.release_core(job)
        self.congested = False
        for job in waiting:
            self.finish(job, Outcome.RESET)

    def start(self, cold: bool = True) -> None:
        """Start a new process with an empty cache, cold by default."""
        self.up = True
        self.silent = self.collapsed = self.congested = False
        self.speed_factor, self.failure_fraction, self.stall_fraction = 1.0, 0.0, 0.0
        self.started_at = self.timeline.now if cold else 0
        self.cache.clear()
        self.arrivals.clear()
        self.arrived_work = 0

    def silence(self) -> None:
        """The machine vanishes: nothing is received or sent, and no connection is closed."""
        self.silent = True
        self.set_speed_factor(0.0)

    def warm_fraction(self) -> float:
        """The fraction of the full speed, by the time since the start."""
        if not self.started_at:
            return 1.0
        grown = (self.timeline.now - self.started_at) / max(1, self.parameters.cold_duration)
        return min(1.0, self.parameters.cold_fraction + (1.0 - self.parameters.cold_fraction) * grown)

    def set_speed_factor(self, factor: float) -> None:
        """Change the speed from outside, 0 to pause; running hops go on at the new speed."""
        self.speed_factor = factor
        self.speed_changed()

    def speed_changed(self) -> None:
        """Account for the work done so far and reschedule the completion of running hops."""
        now, rate = self.timeline.now, self.rate()
        for job in self.running:
            job.remaining_work = max(0.0, job.remaining_work - (now - job.updated_at) * job.rate)
            self.schedule_completion(job, rate)

    def rate(self) -> float:
        """The present speed of one core."""
        return (
            self.speed
            * self.speed_factor
            * self.warm_fraction()
            * (self.parameters.congestion_speed if self.congested else 1.0)
        )

    # -- hops

    def receive(self, job: Job) -> bool:
        """A hop arrives: it runs, waits, fails, or is refused because the queue is full.

        False if it will never be answered, as at a silent server.
        """
        if self.silent or not self.up:
            return False
        if self.started_at:
            self.check_cold_overload(job)
            if self.collapsed:
                self.finish(job, Outcome.RESET)
                return True
        if self.failure_fraction and self.draw() < self.failure_fraction:
            job.has_effect = self.observer.work_started(self.timeline.now, job, self)
            self.finish(job, Outcome.ERROR)
        elif len(self.running) >= self.parameters.cores and len(self.queue) >= self.parameters.queue_limit:
            self.finish(job, Outcome.FULL)
        else:
            self.queue.append(job)
            if (
                len(self.queue) + len(self.running)
                > self.parameters.congestion_threshold * self.parameters.cores
                and not self.congested
            ):
                self.congested = True
                self.speed_changed()
            self.start_waiting()
        return True

    def start_waiting(self) -> None:
        """Start queued hops while there are free cores and the shared limit allows it."""
        while self.queue and len(self.running) < self.parameters.cores:
            if self.limit is not None:
                if self.limit.free <= 0:
                    if self not in self.limit.waiting:
                        self.limit.waiting.append(self)
                    return
                self.limit.free -= 1
            job = self.queue.popleft()
            job.started = True
            job.has_effect = self.observer.work_started(self.timeline.now, job, self)
            job.remaining_work = self.service_time(job.work, job.key) if job.has_effect else 1.0
            if job.key:
                self.cache[job.key] = None
                self.cache.move_to_end(job.key)
                if len(self.cache) > self.parameters.cache_size:
                    self.cache.popitem(last=False)
            self.running[job] = None
            self.schedule_completion(job, self.rate())

    def schedule_completion(self, job: Job, rate: float) -> None:
        """Schedule the end of a running hop at the present speed; none while paused."""
        job.updated_at = self.timeline.now
        job.rate = rate
        job.speed_changes += 1
        if rate > 0.0:
            self.timeline.at(
                job.updated_at + int(job.remaining_work / rate) + 1, self.complete, job, job.speed_changes
            )

    def complete(self, job: Job, speed_changes: int) -> None:
        """A running hop is done, unless the speed has changed since this was scheduled."""
        if job.speed_changes != speed_changes or job not in self.running:
            return
        self.release_core(job)
        self.completed += 1
        self.finish(job, Outcome.OK)
        if self.congested and len(self.running) + len(self.queue) <= 1:
            self.congested = False
            self.speed_changed()
        self.start_waiting()

    def release_core(self, job: Job) -> None:
        """Free the core of a running hop and its capacity of the shared limit."""
        del self.running[job]
        if self.limit is not None:
            self.limit.release()

    def cancel(self, job: Job) -> None:
        """Nobody waits for a hop: it leaves the queue; running work stops only with `stops_cancelled`."""
        if job.finished:
            return
        if job in self.running:
            if self.parameters.stops_cancelled:
                self.release_core(job)
                self.finish(job, Outcome.CANCELLED)
                self.start_waiting()
        elif job in self.queue:
            self.queue.remove(job)
            self.finish(job, Outcome.CANCELLED)

    def finish(self, job: Job, outcome: Outcome) -> None:
        """Reply to a hop, once."""
        if not job.finished:
            job.finished = True
            self.failed_hops += outcome not in (Outcome.OK, Outcome.CANCELLED)
            job.reply(outcome)

    def check_cold_overload(self, job: Job) -> None:
        """Collapse if a cold server was sent more than a multiple of what it can do in the window."""
        now, window = self.timeline.now, self.parameters.overload_window
        warm_fraction = self.warm_fraction()
        if warm_fraction >= 1.0:
            self.started_at = 0
            self.arrivals.clear()
            self.arrived_work = 0
            return
        self.arrivals.append((now, job.work, job.sender, job.sender_knew_start))
        self.arrived_work += job.work
        while self.arrivals[0][0] <= now - window:
            self.arrived_work -= self.arrivals.popleft()[1]
        if self.arrived_work > self.collapse_threshold():
            senders: dict[int, int] = {}
            for _, work, sender, knew_start in self.arrivals:
                if knew_start:
                    senders[sender] = senders.get(sender, 0) + work
            self.observer.cold_server_overloaded(now, self, senders)
            self.kill()
            self.collapsed = True

    def collapse_threshold(self) -> float:
        """Work within the window, in core-microseconds, above which the server collapses now."""
        parameters = self.parameters
        return (
            parameters.overload_multiple
            * self.warm_fraction()
            * self.speed
            * parameters.cores
            * parameters.overload_window
        )

    @property
    def hop_count(self) -> int:
        """Hops running and queued."""
        return len(self.running) + len(self.queue)

    def draw_stall(self) -> bool:
        """Whether this answer stops half way, by the injected fault."""
        return bool(self.stall_fraction) and self.draw() < self.stall_fraction

    def service_time(self, work: int, key: int) -> float:
        """Core-microseconds that work takes here, longer if its key is not in the cache."""
        return work * (1.0 if not key or key in self.cache else self.parameters.miss_factor)

    def expected_latency(self, work: int, key: int) -> float:
        """Microseconds until a further hop would be done, for the oracle; O(queue)."""
        if not self.up or self.silent or self.collapsed or self.rate() <= 0.0:
            return 1e12
        if (
            self.failure_fraction
            or self.stall_fraction
            or self.started_at
            and self.arrived_work > 0.8 * self.collapse_threshold()
        ):
            return 1e11
        work_ahead = 0.0
        if len(self.running) >= self.parameters.cores:
            work_ahead = sum(job.remaining_work for job in self.running) + sum(
                self.service_time(job.work, job.key) for job in self.queue
            )
        return (work_ahead / self.parameters.cores + self.service_time(work, key)) / self.rate()
