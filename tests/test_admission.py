"""Admission queue: which requests are admitted, queued or rejected under overload, without threads."""

from pumicepath.admission.queue import MAX_ACTIVE, AdmissionQueue, AdmissionResult
from pumicepath.interface import DedupGroup, Effect, RequestClass

from .helpers import check_trace

MS = 1000
# How the recorded traces spell the results.
TRACE_WORDS = {
    AdmissionResult.REJECTED: "AWAY",
    AdmissionResult.ADMITTED: "GO",
    AdmissionResult.QUEUED: "WAIT",
}
LOW_VALUE = RequestClass(150 * MS, 600 * MS, 1.0, 0.0, Effect.IDEMPOTENT, DedupGroup.ALL, 0)
HIGH_VALUE = RequestClass(150 * MS, 600 * MS, 3.0, 0.0, Effect.NON_IDEMPOTENT, DedupGroup.ALL, 0)
LATE_VALUE = RequestClass(150 * MS, 600 * MS, 1.0, 0.5, Effect.IDEMPOTENT, DedupGroup.ALL, 0)


class QueueScript:
    """An admission queue, a clock in milliseconds and a trace; requests are named in order of arrival."""

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
        is_retry: bool = False,
        waited_ms: float = 0.0,
        deadline_ms: float = 600.0,
        typical_ms: float = 5.0,
        quiet: bool = False,
    ) -> AdmissionResult:
        self.count += 1
        now, name = int(self.now * MS), f"r{self.count}"
        received_at = now - int(waited_ms * MS)
        deadline_at = received_at + int(deadline_ms * MS)
        result = self.queue.offer(now, received_at, deadline_at, class_index, is_retry, typical_ms * MS, name)
        if not quiet:
            self.note(f"{name} of tariff {class_index}{' again' * is_retry}: {TRACE_WORDS[result]}")
        return result

    def release(self, after_ms: float = 0.3, quiet: bool = False) -> str | None:
        self.now += after_ms
        following, rejected = self.queue.release(int(self.now * MS))
        if not quiet or rejected:
            away = f", away {rejected[0]} to {rejected[-1]}, {len(rejected)} in all" if rejected else ""
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


def test_requests_are_admitted_in_order_and_resumed_ones_go_first() -> None:
    script = QueueScript()
    for _ in range(MAX_ACTIVE + 3):
        script.offer()
    script.note(f"going on: {script.queue.resume('r1')}, {script.queue.resume('r2')}")
    for _ in range(MAX_ACTIVE + 5):
        script.release()
    script.offer()
    assert script.queue.active == 1 and not script.queue.waiting
    check_trace("intake_order", script.lines)


def test_queue_is_bounded_by_time_and_low_value_and_retries_may_wait_less() -> None:
    script = QueueScript()
    script.fill()
    queue_lengths: dict[str, int] = {}
    for number in range(600):
        class_index, is_retry = number % 2, number % 8 >= 6
        if script.offer(class_index, is_retry, quiet=True) == AdmissionResult.QUEUED:
            queue_lengths[f"tariff {class_index}{' again' * is_retry}"] = len(script.queue.waiting)
    for name, length in sorted(queue_lengths.items()):
        script.note(f"{name} waited behind {length} at most")
    script.offer(1, waited_ms=140.0)  # would be answered late, which has no value
    script.offer(0, deadline_ms=20.0)  # its client would have gone
    script.note(f"asked to come back after {script.queue.retry_after(0) / MS:.0f} ms")
    # With a free slot even a late request is admitted, unless its client will have gone by the answer.
    idle = QueueScript()
    idle.offer(0, waited_ms=300.0)
    idle.offer(0, waited_ms=598.0)
    check_trace("intake_bound", script.lines + idle.lines)


def test_classes_with_late_value_may_wait_longer() -> None:
    lengths = []
    for request_class in (LOW_VALUE, LATE_VALUE):
        script = QueueScript(request_class).fill()
        while script.offer(quiet=True) == AdmissionResult.QUEUED:
            pass
        lengths.append(len(script.queue.waiting))
    assert lengths == [433, 1000]  # limited by time, and by max_waiting


def test_stall_rejects_expired_requests_and_the_admission_interval_stays_bounded() -> None:
    script = QueueScript().fill()
    for _ in range(5):
        script.offer(quiet=True)
    script.release()
    script.offer(quiet=True)
    script.note("no thread runs for 500 ms")
    script.now += 500.0
    script.offer()
    script.release()
    script.offer()
    script.release(0.0)
    assert script.queue.admission_interval < 600
    check_trace("intake_stall", script.lines)


def test_slow_servers_do_not_cause_rejections_before_the_deadline() -> None:
    script = QueueScript().fill()
    assert [script.offer(typical_ms=400.0), script.offer(typical_ms=590.0)] == [
        AdmissionResult.QUEUED,
        AdmissionResult.QUEUED,
    ]
    assert script.offer(typical_ms=620.0) == AdmissionResult.REJECTED


def test_overload_is_logged_once_and_the_pause_follows_the_rejected_requests() -> None:
    script = QueueScript()
    script.update_pause()
    script.fill()
    for _ in range(4):
        for _ in range(500):
            script.offer(quiet=True)
        for _ in range(20):
            script.release(quiet=True)
        script.update_pause()
    while script.release(after_ms=0.05, quiet=True):
        pass
    for _ in range(45):
        script.update_pause()
    check_trace("intake_modes", script.lines)
