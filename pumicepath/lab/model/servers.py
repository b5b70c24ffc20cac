"""Servers: cores behind a queue, with caches, cold starts, jams, falls, and limits that groups share."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ...interface import Outcome
from .timeline import Timeline


@dataclass(frozen=True)
class ServerParameters:
    """What servers are made of; times in microseconds."""

    cores: int
    queue_limit: int  # hops that may wait
    cache_size: int  # keys that a server remembers
    miss_factor: float  # how much longer a key takes that it does not
    cold_fraction: float  # share of the speed at the start, which grows to the whole
    cold_duration: int  # over this time
    overload_multiple: float  # work sent above this multiple of what it can do while cold
    overload_window: int  # over this window pushes it over
    congestion_threshold: float  # hops at the server, for each core, from which it jams
    congestion_speed: float  # its speed until it is nearly idle
    stops_cancelled: bool  # whether work ends when nobody waits for it any more


class ServerObserver(Protocol):
    """Who is told what a server did; see `judge`."""

    def work_started(self, now: int, job: Job, server: Server) -> bool:
        """Work begins; whether it has an effect, or is dropped as a repeat."""

    def cold_server_overloaded(self, now: int, server: Server, senders: dict[int, int]) -> None: ...


class Job:
    """A hop as its server sees it; `reply` is called once with how it ended there."""

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
        self.sender_knew_start = sender_knew_start  # whether the sender could know of the server's start
        self.work = work  # core-microseconds on a warm server that knows the key
        self.remaining_work = float(work)
        self.updated_at = 0
        self.rate = 0.0
        self.speed_changes = 0  # counts changes of speed; older ends do not count
        self.reply = reply
        self.finished = False
        self.started = False
        self.has_effect = True


class SharedLimit:
    """What a group of servers may do at once, all together, such as connections to a database."""

    def __init__(self, capacity: int) -> None:
        self.free = capacity
        self.waiting: deque[Server] = deque()

    def release(self) -> None:
        self.free += 1
        while self.free > 0 and self.waiting:
            self.waiting.popleft().start_waiting()


class Server:
    """One server process after another under an id; `kill` and `start` change the process."""

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
        self.process = 1  # counts processes; connections end with theirs
        self.up = True
        self.silent = False  # half open: takes nothing in, says nothing, closes nothing
        self.speed_factor = 1.0  # of its speed, while slowed from outside
        self.failure_fraction = 0.0  # share of hops that it fails at once
        self.stall_fraction = 0.0  # share of answers that stop half way, where there are bytes
        self.started_at = 0  # 0: long ago
        self.collapsed = False
        self.congested = False
        self.running: dict[Job, None] = {}
        self.queue: deque[Job] = deque()
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.arrivals: deque[tuple[int, int, int, bool]] = deque()
        self.arrived_work = 0  # work among them
        self.completed = 0
        self.failed_hops = 0  # hops that ended otherwise, but for those that nobody waited for any more

    # -- its process

    def kill(self) -> None:
        """The process ends at once: all hops at it are reset, its connections close."""
        self.up = False
        self.process += 1
        waiting = [*self.running, *self.queue]
        self.queue.clear()  # first: a place in a shared limit that comes free must not go to it
        for job in list(self.running):
            self.release_core(job)
        self.congested = False
        for job in waiting:
            self.finish(job, Outcome.RESET)

    def start(self, cold: bool = True) -> None:
        """A new process with an empty cache, cold unless told otherwise."""
        self.up = True
        self.silent = self.collapsed = self.congested = False
        self.speed_factor, self.failure_fraction, self.stall_fraction = 1.0, 0.0, 0.0
        self.started_at = self.timeline.now if cold else 0
        self.cache.clear()
        self.arrivals.clear()
        self.arrived_work = 0

    def silence(self) -> None:
        """Its machine is as if gone: nothing comes in or goes out, and no connection ends."""
        self.silent = True
        self.set_speed_factor(0.0)

    def warm_fraction(self) -> float:
        """The share of its speed that it has by the time since its start."""
        if not self.started_at:
            return 1.0
        grown = (self.timeline.now - self.started_at) / max(1, self.parameters.cold_duration)
        return min(1.0, self.parameters.cold_fraction + (1.0 - self.parameters.cold_fraction) * grown)

    def set_speed_factor(self, factor: float) -> None:
        """Its speed changes from outside; 0 pauses it.  What runs goes on at the new speed."""
        self.speed_factor = factor
        self.speed_changed()

    def speed_changed(self) -> None:
        now, rate = self.timeline.now, self.rate()
        for job in self.running:
            job.remaining_work = max(0.0, job.remaining_work - (now - job.updated_at) * job.rate)
            self.schedule_completion(job, rate)

    def rate(self) -> float:
        return (
            self.speed
            * self.speed_factor
            * self.warm_fraction()
            * (self.parameters.congestion_speed if self.congested else 1.0)
        )

    # -- hops

    def receive(self, job: Job) -> bool:
        """A hop has arrived; it runs, waits, or is refused because the queue is full.

        False if nothing will ever be heard of it here, as at a silent server.
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
        job.updated_at = self.timeline.now
        job.rate = rate
        job.speed_changes += 1
        if rate > 0.0:
            self.timeline.at(
                job.updated_at + int(job.remaining_work / rate) + 1, self.complete, job, job.speed_changes
            )

    def complete(self, job: Job, speed_changes: int) -> None:
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
        del self.running[job]
        if self.limit is not None:
            self.limit.release()

    def cancel(self, job: Job) -> None:
        """Nobody waits for it any more: it leaves the queue; what runs goes on unless servers here stop."""
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
        if not job.finished:
            job.finished = True
            self.failed_hops += outcome not in (Outcome.OK, Outcome.CANCELLED)
            job.reply(outcome)

    def check_cold_overload(self, job: Job) -> None:
        """A cold server sent more than a multiple of what it can do, for the whole window, falls over."""
        now, window = self.timeline.now, self.parameters.overload_window
        warmth = self.warm_fraction()
        if warmth >= 1.0:
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
            for _, work, sender, told in self.arrivals:
                if told:
                    senders[sender] = senders.get(sender, 0) + work
            self.observer.cold_server_overloaded(now, self, senders)
            self.kill()
            self.collapsed = True

    def collapse_threshold(self) -> float:
        """Core-microseconds within the window above which it falls over now."""
        build = self.parameters
        return (
            build.overload_multiple * self.warm_fraction() * self.speed * build.cores * build.overload_window
        )

    @property
    def hop_count(self) -> int:
        return len(self.running) + len(self.queue)

    def draw_stall(self) -> bool:
        """Whether an answer stops half way, as troubles say."""
        return bool(self.stall_fraction) and self.draw() < self.stall_fraction

    def service_time(self, work: int, key: int) -> float:
        """What work takes here, by whether the key is known."""
        return work * (1.0 if not key or key in self.cache else self.parameters.miss_factor)

    def expected_latency(self, work: int, key: int) -> float:
        """Microseconds until a further hop would be done, as only the oracle knows; grows with the queue."""
        if not self.up or self.silent or self.collapsed or self.rate() <= 0.0:
            return 1e12
        if (
            self.failure_fraction
            or self.stall_fraction
            or self.started_at
            and self.arrived_work > 0.8 * self.collapse_threshold()
        ):
            return 1e11
        before = 0.0
        if len(self.running) >= self.parameters.cores:
            before = sum(job.remaining_work for job in self.running) + sum(
                self.service_time(job.work, job.key) for job in self.queue
            )
        return (before / self.parameters.cores + self.service_time(work, key)) / self.rate()
