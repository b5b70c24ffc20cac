"""What is taken up, waits or is turned away when the sidecar itself is short of time; no threads."""

from pumicepath.intake.queue import PLACES, Intake, Verdict
from pumicepath.interface import DedupGroup, Effect, RequestClass

from .helpers import check_trace

MS = 1000
CHEAP = RequestClass(150 * MS, 600 * MS, 1.0, 0.0, Effect.IDEMPOTENT, DedupGroup.ALL, 0)
DEAR = RequestClass(150 * MS, 600 * MS, 3.0, 0.0, Effect.NON_IDEMPOTENT, DedupGroup.ALL, 0)
LATE = RequestClass(150 * MS, 600 * MS, 1.0, 0.5, Effect.IDEMPOTENT, DedupGroup.ALL, 0)


class Play:
    """An intake, a clock in milliseconds and a trace; requests are named in the order in which they come."""

    def __init__(self, *tariffs: RequestClass, most: int = 1000) -> None:
        self.intake: Intake[str] = Intake(tariffs or (CHEAP, DEAR), 2_000 * MS, most, 7)
        self.now = 0.0
        self.lines: list[str] = []
        self.count = 0

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now:8.2f}  {text}")

    def come(
        self,
        tariff: int = 0,
        retry: bool = False,
        waited: float = 0.0,
        patience: float = 600.0,
        usual: float = 5.0,
        quiet: bool = False,
    ) -> Verdict:
        self.count += 1
        now, name = int(self.now * MS), f"r{self.count}"
        arrived = now - int(waited * MS)
        until = arrived + int(patience * MS)
        verdict = self.intake.came(now, arrived, until, tariff, retry, usual * MS, name)
        if not quiet:
            self.note(f"{name} of tariff {tariff}{' again' * retry}: {verdict.name}")
        return verdict

    def leave(self, after: float = 0.3, quiet: bool = False) -> str | None:
        self.now += after
        following, turned = self.intake.left(int(self.now * MS))
        if not quiet or turned:
            away = f", away {turned[0]} to {turned[-1]}, {len(turned)} in all" if turned else ""
            self.note(f"next {following or 'nobody'}{away}")
        return following

    def fill(self) -> "Play":
        for _ in range(PLACES):
            self.come(quiet=True)
        return self

    def beat(self) -> None:
        self.now += 25.0
        change = self.intake.beat(int(self.now * MS))
        if change or self.intake.pause:
            self.note(f"pause {self.intake.pause / MS:.1f} ms{'; ' + change if change else ''}")


def test_first_come_first_served_and_what_was_taken_up_before_what_was_not() -> None:
    play = Play()
    for _ in range(PLACES + 3):
        play.come()
    play.note(f"going on: {play.intake.again('r1')}, {play.intake.again('r2')}")
    for _ in range(PLACES + 5):
        play.leave()
    play.come()
    assert play.intake.active == 1 and not play.intake.waiting
    check_trace("intake_order", play.lines)


def test_time_bounds_the_queue_and_cheaper_work_and_retries_have_less_of_it() -> None:
    play = Play()
    play.fill()
    met: dict[str, int] = {}
    for number in range(600):
        tariff, retry = number % 2, number % 8 >= 6
        if play.come(tariff, retry, quiet=True) == Verdict.WAIT:
            met[f"tariff {tariff}{' again' * retry}"] = len(play.intake.waiting)
    for name, length in sorted(met.items()):
        play.note(f"{name} waited behind {length} at most")
    play.come(1, waited=140.0)  # would be late: nothing is gained by it
    play.come(0, patience=20.0)  # would have gone
    play.note(f"asked to come back after {play.intake.back(0) / MS:.0f} ms")
    # An idle place is not refused to what is late already, unless nobody waits for it any more.
    idle = Play()
    idle.come(0, waited=300.0)
    idle.come(0, waited=598.0)
    check_trace("intake_bound", play.lines + idle.lines)


def test_late_answers_that_gain_something_may_wait_longer() -> None:
    lengths = []
    for tariff in (CHEAP, LATE):
        play = Play(tariff).fill()
        while play.come(quiet=True) == Verdict.WAIT:
            pass
        lengths.append(len(play.intake.waiting))
    assert lengths == [433, 1000]  # by time, and by the most that may wait


def test_a_stall_turns_away_what_is_too_late_and_is_not_taken_for_the_cost_of_each() -> None:
    play = Play().fill()
    for _ in range(5):
        play.come(quiet=True)
    play.leave()
    play.come(quiet=True)
    play.note("no thread runs for 500 ms")
    play.now += 500.0
    play.come()
    play.leave()
    play.come()
    play.leave(0.0)
    assert play.intake.interval < 600
    check_trace("intake_stall", play.lines)


def test_servers_that_are_slow_do_not_close_the_door() -> None:
    play = Play().fill()
    assert [play.come(usual=400.0), play.come(usual=590.0)] == [Verdict.WAIT, Verdict.WAIT]
    assert play.come(usual=620.0) == Verdict.AWAY


def test_modes_are_told_once_and_the_pause_follows_what_is_turned_away() -> None:
    play = Play()
    play.beat()
    play.fill()
    for _ in range(4):
        for _ in range(500):
            play.come(quiet=True)
        for _ in range(20):
            play.leave(quiet=True)
        play.beat()
    while play.leave(after=0.05, quiet=True):
        pass
    for _ in range(45):
        play.beat()
    check_trace("intake_modes", play.lines)
