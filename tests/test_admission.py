"""What is taken up, waits or is turned away when the sidecar itself is short of time; no threads."""

from pumicepath.admission.queue import MAX_ACTIVE, AdmissionQueue, AdmissionResult
from pumicepath.interface import DedupGroup, Effect, RequestClass

from .helpers import check_trace

MS = 1000
LOW_VALUE = RequestClass(150 * MS, 600 * MS, 1.0, 0.0, Effect.IDEMPOTENT, DedupGroup.ALL, 0)
HIGH_VALUE = RequestClass(150 * MS, 600 * MS, 3.0, 0.0, Effect.NON_IDEMPOTENT, DedupGroup.ALL, 0)
LATE_VALUE = RequestClass(150 * MS, 600 * MS, 1.0, 0.5, Effect.IDEMPOTENT, DedupGroup.ALL, 0)


class QueueScript:
    """An intake, a clock in milliseconds and a trace; requests are named in the order in which they come."""

    def __init__(self, *request_classes: RequestClass, max_waiting: int = 1000) -> None:
        self.queue: AdmissionQueue[str] = AdmissionQueue(
            request_classes or (LOW_VALUE, HIGH_VALUE), 2_000 * MS, max_waiting, 7
        )
        self.now = 0.0
        self.lines: list[str] = []
        self.count = 0

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now:8.2f}  {text}")

    def offer(
        self,
        class_index: int = 0,
        retry: bool = False,
        waited_ms: float = 0.0,
        deadline_ms: float = 600.0,
        typical_ms: float = 5.0,
        quiet: bool = False,
    ) -> AdmissionResult:
        self.count += 1
        now, name = int(self.now * MS), f"r{self.count}"
        arrived = now - int(waited_ms * MS)
        until = arrived + int(deadline_ms * MS)
        verdict = self.queue.offer(now, arrived, until, class_index, retry, typical_ms * MS, name)
        if not quiet:
            self.note(f"{name} of tariff {class_index}{' again' * retry}: {verdict.name}")
        return verdict

    def release(self, after_ms: float = 0.3, quiet: bool = False) -> str | None:
        self.now += after_ms
        following, turned = self.queue.release(int(self.now * MS))
        if not quiet or turned:
            away = f", away {turned[0]} to {turned[-1]}, {len(turned)} in all" if turned else ""
            self.note(f"next {following or 'nobody'}{away}")
        return following

    def fill(self) -> "QueueScript":
        for _ in range(MAX_ACTIVE):
            self.offer(quiet=True)
        return self

    def update_pause(self) -> None:
        self.now += 25.0
        change = self.queue.update_pause(int(self.now * MS))
        if change or self.queue.read_pause:
            self.note(f"pause {self.queue.read_pause / MS:.1f} ms{'; ' + change if change else ''}")


def test_first_come_first_served_and_what_was_taken_up_before_what_was_not() -> None:
    play = QueueScript()
    for _ in range(MAX_ACTIVE + 3):
        play.offer()
    play.note(f"going on: {play.queue.resume('r1')}, {play.queue.resume('r2')}")
    for _ in range(MAX_ACTIVE + 5):
        play.release()
    play.offer()
    assert play.queue.active == 1 and not play.queue.waiting
    check_trace("intake_order", play.lines)


def test_time_bounds_the_queue_and_cheaper_work_and_retries_have_less_of_it() -> None:
    play = QueueScript()
    play.fill()
    met: dict[str, int] = {}
    for number in range(600):
        tariff, retry = number % 2, number % 8 >= 6
        if play.offer(tariff, retry, quiet=True) == AdmissionResult.QUEUED:
            met[f"tariff {tariff}{' again' * retry}"] = len(play.queue.waiting)
    for name, length in sorted(met.items()):
        play.note(f"{name} waited behind {length} at most")
    play.offer(1, waited_ms=140.0)  # would be late: nothing is gained by it
    play.offer(0, deadline_ms=20.0)  # would have gone
    play.note(f"asked to come back after {play.queue.retry_after(0) / MS:.0f} ms")
    # An idle place is not refused to what is late already, unless nobody waits for it any more.
    idle = QueueScript()
    idle.offer(0, waited_ms=300.0)
    idle.offer(0, waited_ms=598.0)
    check_trace("intake_bound", play.lines + idle.lines)


def test_late_answers_that_gain_something_may_wait_longer() -> None:
    lengths = []
    for tariff in (LOW_VALUE, LATE_VALUE):
        play = QueueScript(tariff).fill()
        while play.offer(quiet=True) == AdmissionResult.QUEUED:
            pass
        lengths.append(len(play.queue.waiting))
    assert lengths == [433, 1000]  # by time, and by the most that may wait


def test_a_stall_turns_away_what_is_too_late_and_is_not_taken_for_the_cost_of_each() -> None:
    play = QueueScript().fill()
    for _ in range(5):
        play.offer(quiet=True)
    play.release()
    play.offer(quiet=True)
    play.note("no thread runs for 500 ms")
    play.now += 500.0
    play.offer()
    play.release()
    play.offer()
    play.release(0.0)
    assert play.queue.admission_interval < 600
    check_trace("intake_stall", play.lines)


def test_servers_that_are_slow_do_not_close_the_door() -> None:
    play = QueueScript().fill()
    assert [play.offer(typical_ms=400.0), play.offer(typical_ms=590.0)] == [
        AdmissionResult.QUEUED,
        AdmissionResult.QUEUED,
    ]
    assert play.offer(typical_ms=620.0) == AdmissionResult.REJECTED


def test_modes_are_told_once_and_the_pause_follows_what_is_turned_away() -> None:
    play = QueueScript()
    play.update_pause()
    play.fill()
    for _ in range(4):
        for _ in range(500):
            play.offer(quiet=True)
        for _ in range(20):
            play.release(quiet=True)
        play.update_pause()
    while play.release(after_ms=0.05, quiet=True):
        pass
    for _ in range(45):
        play.update_pause()
    check_trace("intake_modes", play.lines)
