"""Servers: cores behind a queue, with caches, cold starts, jams, falls, and limits that groups share."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ...interface import Outcome
from .timeline import Timeline


@dataclass(frozen=True)
class Build:
    """What servers are made of; times in microseconds."""

    cores: int
    queue: int  # hops that may wait
    cache: int  # keys that a server remembers
    miss: float  # how much longer a key takes that it does not
    cold_from: float  # share of the speed at the start, which grows to the whole
    cold_for: int  # over this time
    fall_multiple: float  # work sent above this multiple of what it can do while cold
    fall_window: int  # over this window pushes it over
    jam_at: float  # hops at the server, for each core, from which it jams
    jam_speed: float  # its speed until it is nearly idle
    stops: bool  # whether work ends when nobody waits for it any more


class Witness(Protocol):
    """Who is told what a server did; see `judge`."""

    def ran(self, now: int, job: Job, server: Server) -> bool:
        """Work begins; whether it has an effect, or is dropped as a repeat."""

    def pushed_over(self, now: int, server: Server, senders: dict[int, int]) -> None: ...


class Job:
    """A hop as its server sees it; `reply` is called once with how it ended there."""

    __slots__ = (
        "ask",
        "key",
        "sender",
        "told",
        "work",
        "rest",
        "since",
        "rate",
        "turn",
        "reply",
        "gone",
        "begun",
        "effect",
    )

    def __init__(
        self, ask: int, key: int, sender: int, work: int, reply: Callable[[Outcome], None], told: bool = True
    ) -> None:
        self.ask = ask
        self.key = key
        self.sender = sender
        self.told = told  # whether the sender could know of the server's start
        self.work = work  # core-microseconds on a warm server that knows the key
        self.rest = float(work)
        self.since = 0
        self.rate = 0.0
        self.turn = 0  # counts changes of speed; older ends do not count
        self.reply = reply
        self.gone = False
        self.begun = False
        self.effect = True


class Limit:
    """What a group of servers may do at once, all together, such as connections to a database."""

    def __init__(self, places: int) -> None:
        self.free = places
        self.waiting: deque[Server] = deque()

    def release(self) -> None:
        self.free += 1
        while self.free > 0 and self.waiting:
            self.waiting.popleft().go_on()


class Server:
    """One server process after another under an id; `kill` and `start` change the process."""

    def __init__(
        self,
        timeline: Timeline,
        witness: Witness,
        build: Build,
        number: int,
        hall: int,
        cell: int,
        speed: float = 1.0,
        limit: Limit | None = None,
        fails: Callable[[], float] | None = None,
    ) -> None:
        self.timeline = timeline
        self.witness = witness
        self.build = build
        self.number = number
        self.hall = hall
        self.cell = cell
        self.speed = speed
        self.limit = limit
        self.chance = fails or (lambda: 1.0)
        self.process = 1  # counts processes; connections end with theirs
        self.up = True
        self.silent = False  # half open: takes nothing in, says nothing, closes nothing
        self.factor = 1.0  # of its speed, while slowed from outside
        self.failing = 0.0  # share of hops that it fails at once
        self.stalling = 0.0  # share of answers that stop half way, where there are bytes
        self.came_up = 0  # 0: long ago
        self.fallen = False
        self.jammed = False
        self.running: dict[Job, None] = {}
        self.queue: deque[Job] = deque()
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.arrivals: deque[tuple[int, int, int, bool]] = deque()
        self.arrived = 0  # work among them
        self.done = 0
        self.failed = 0  # hops that ended otherwise, but for those that nobody waited for any more

    # -- its process

    def kill(self) -> None:
        """The process ends at once: all hops at it are reset, its connections close."""
        self.up = False
        self.process += 1
        waiting = [*self.running, *self.queue]
        self.queue.clear()  # first: a place in a shared limit that comes free must not go to it
        for job in list(self.running):
            self.leave(job)
        self.jammed = False
        for job in waiting:
            self.end(job, Outcome.RESET)

    def start(self, cold: bool = True) -> None:
        """A new process with an empty cache, cold unless told otherwise."""
        self.up = True
        self.silent = self.fallen = self.jammed = False
        self.factor, self.failing, self.stalling = 1.0, 0.0, 0.0
        self.came_up = self.timeline.now if cold else 0
        self.cache.clear()
        self.arrivals.clear()
        self.arrived = 0

    def silence(self) -> None:
        """Its machine is as if gone: nothing comes in or goes out, and no connection ends."""
        self.silent = True
        self.slowed(0.0)

    def warmth(self) -> float:
        """The share of its speed that it has by the time since its start."""
        if not self.came_up:
            return 1.0
        grown = (self.timeline.now - self.came_up) / max(1, self.build.cold_for)
        return min(1.0, self.build.cold_from + (1.0 - self.build.cold_from) * grown)

    def slowed(self, factor: float) -> None:
        """Its speed changes from outside; 0 pauses it.  What runs goes on at the new speed."""
        self.factor = factor
        self.turned()

    def turned(self) -> None:
        now, rate = self.timeline.now, self.rate()
        for job in self.running:
            job.rest = max(0.0, job.rest - (now - job.since) * job.rate)
            self.pace(job, rate)

    def rate(self) -> float:
        return self.speed * self.factor * self.warmth() * (self.build.jam_speed if self.jammed else 1.0)

    # -- hops

    def came(self, job: Job) -> bool:
        """A hop has arrived; it runs, waits, or is refused because the queue is full.

        False if nothing will ever be heard of it here, as at a silent server.
        """
        if self.silent or not self.up:
            return False
        if self.came_up:
            self.count_push(job)
            if self.fallen:
                self.end(job, Outcome.RESET)
                return True
        if self.failing and self.chance() < self.failing:
            job.effect = self.witness.ran(self.timeline.now, job, self)
            self.end(job, Outcome.ERROR)
        elif len(self.running) >= self.build.cores and len(self.queue) >= self.build.queue:
            self.end(job, Outcome.FULL)
        else:
            self.queue.append(job)
            if len(self.queue) + len(self.running) > self.build.jam_at * self.build.cores and not self.jammed:
                self.jammed = True
                self.turned()
            self.go_on()
        return True

    def go_on(self) -> None:
        while self.queue and len(self.running) < self.build.cores:
            if self.limit is not None:
                if self.limit.free <= 0:
                    if self not in self.limit.waiting:
                        self.limit.waiting.append(self)
                    return
                self.limit.free -= 1
            job = self.queue.popleft()
            job.begun = True
            job.effect = self.witness.ran(self.timeline.now, job, self)
            job.rest = self.takes(job.work, job.key) if job.effect else 1.0
            if job.key:
                self.cache[job.key] = None
                self.cache.move_to_end(job.key)
                if len(self.cache) > self.build.cache:
                    self.cache.popitem(last=False)
            self.running[job] = None
            self.pace(job, self.rate())

    def pace(self, job: Job, rate: float) -> None:
        job.since = self.timeline.now
        job.rate = rate
        job.turn += 1
        if rate > 0.0:
            self.timeline.at(job.since + int(job.rest / rate) + 1, self.finished, job, job.turn)

    def finished(self, job: Job, turn: int) -> None:
        if job.turn != turn or job not in self.running:
            return
        self.leave(job)
        self.done += 1
        self.end(job, Outcome.OK)
        if self.jammed and len(self.running) + len(self.queue) <= 1:
            self.jammed = False
            self.turned()
        self.go_on()

    def leave(self, job: Job) -> None:
        del self.running[job]
        if self.limit is not None:
            self.limit.release()

    def cancelled(self, job: Job) -> None:
        """Nobody waits for it any more: it leaves the queue; what runs goes on unless servers here stop."""
        if job.gone:
            return
        if job in self.running:
            if self.build.stops:
                self.leave(job)
                self.end(job, Outcome.CANCELLED)
                self.go_on()
        elif job in self.queue:
            self.queue.remove(job)
            self.end(job, Outcome.CANCELLED)

    def end(self, job: Job, outcome: Outcome) -> None:
        if not job.gone:
            job.gone = True
            self.failed += outcome not in (Outcome.OK, Outcome.CANCELLED)
            job.reply(outcome)

    def count_push(self, job: Job) -> None:
        """A cold server sent more than a multiple of what it can do, for the whole window, falls over."""
        now, window = self.timeline.now, self.build.fall_window
        warmth = self.warmth()
        if warmth >= 1.0:
            self.came_up = 0
            self.arrivals.clear()
            self.arrived = 0
            return
        self.arrivals.append((now, job.work, job.sender, job.told))
        self.arrived += job.work
        while self.arrivals[0][0] <= now - window:
            self.arrived -= self.arrivals.popleft()[1]
        if self.arrived > self.bearable():
            senders: dict[int, int] = {}
            for _, work, sender, told in self.arrivals:
                if told:
                    senders[sender] = senders.get(sender, 0) + work
            self.witness.pushed_over(now, self, senders)
            self.kill()
            self.fallen = True

    def bearable(self) -> float:
        """Core-microseconds within the window above which it falls over now."""
        build = self.build
        return build.fall_multiple * self.warmth() * self.speed * build.cores * build.fall_window

    @property
    def at_it(self) -> int:
        return len(self.running) + len(self.queue)

    def stalls(self) -> bool:
        """Whether an answer stops half way, as troubles say."""
        return bool(self.stalling) and self.chance() < self.stalling

    def takes(self, work: int, key: int) -> float:
        """What work takes here, by whether the key is known."""
        return work * (1.0 if not key or key in self.cache else self.build.miss)

    def expected(self, work: int, key: int) -> float:
        """Microseconds until a further hop would be done, as only the oracle knows; grows with the queue."""
        if not self.up or self.silent or self.fallen or self.rate() <= 0.0:
            return 1e12
        if self.failing or self.stalling or self.came_up and self.arrived > 0.8 * self.bearable():
            return 1e11
        before = 0.0
        if len(self.running) >= self.build.cores:
            before = sum(job.rest for job in self.running) + sum(
                self.takes(job.work, job.key) for job in self.queue
            )
        return (before / self.build.cores + self.takes(work, key)) / self.rate()
