"""Hollow sidecars: their plan, the judge of what they hold, and small runs with real processes."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner

from pumicepath.balancer import Balancer
from pumicepath.command import main
from pumicepath.discovery.server_list import stable_id
from pumicepath.interface import ListKind, ServerEntry, ServerState
from pumicepath.lab.experiments.folder_lock import LOCK_FILE, FolderLockedError, locked_folder
from pumicepath.lab.hollow import resource_estimate
from pumicepath.lab.hollow.evaluation import Evaluation, OutageWindow, reachable_delay
from pumicepath.lab.hollow.ground_truth import ACTIVE, LEAVING, LEFT, Change, LedgerReader, LedgerWriter
from pumicepath.lab.hollow.plan import STATES_PER_SHARE_UNIT, Plan, RunOptions, RunOptionsError, check_options
from pumicepath.lab.hollow.run import HollowRun
from pumicepath.lab.hollow.sidecar import MUTE, sidecar_settings
from pumicepath.lab.hollow.view_checker import ViewChecker
from pumicepath.settings import decode_settings

from .helpers import restore_sigint
from .rig import wait_until

SMALL = ["lab", "scale", "--sidecars", "12", "--services", "3", "--regions", "2", "--zones", "2", "--json"]
S = 1_000_000
PHASES = {ACTIVE: ServerState.READY, LEAVING: ServerState.DRAINING, LEFT: ServerState.GONE}


# -- the plan


def test_sizes_are_a_long_tail_and_one_seed_makes_one_plan() -> None:
    ask = RunOptions(20_000, 1_900, regions=10, zones=34)
    plan, again = Plan(ask), Plan(ask)
    assert (
        sum(plan.service_sizes) == 20_000
        and min(plan.service_sizes) >= 1
        and 1_000 <= max(plan.service_sizes) <= 2_500
    )
    assert (
        plan.called_services == again.called_services
        and plan.zone_of == again.zone_of
        and plan.service_of == again.service_of
    )
    assert (
        Plan(RunOptions(20_000, 1_900, regions=10, zones=34, seed=2)).called_services != plan.called_services
    )
    assert all(len(set(calls)) == 5 for calls in plan.called_services)
    assert {plan.region_of(server) for server in range(100)} <= set(range(10))


@pytest.mark.parametrize(
    "given, option",
    [
        (["--sidecars", "0"], "--sidecars"),
        (["--services", "13"], "--services"),
        (["--regions", "0"], "--regions"),
        (["--zones", "1"], "--zones"),
        (["--changes-per-s", "-1"], "--changes-per-s"),
        (["--for", "0"], "--for"),
        (["--fault", "flood"], "--fault"),
        (["--fault", "region-cut"], "--fault"),
        (["--calls", "0"], "--calls"),
        (["--fault", "release", "--fault-for", "60"], "--for"),
        (["--popular", "nan"], "--popular"),
        (["--sidecars", "20000", "--services", "1900"], "--sidecars"),
        (["--form", "relayed", "--play-regions", "3"], "--play-regions"),
        (["--play-regions", "1"], "--form"),
        (["--whole-bytes-per-s", "16000000"], "--form"),
        (["--form", "relayed", "--whole-bytes-per-s", "9999"], "--whole-bytes-per-s"),
        (
            [
                "--form",
                "relayed",
                "--regions",
                "30",
                "--sidecars",
                "90",
                "--zones",
                "30",
                "--relays-per-region",
                "16",
            ],
            "--relays-per-region",
        ),
    ],
)
def test_what_cannot_be_run_is_refused_by_the_option_before_anything_starts(
    given: list[str], option: str, tmp_path: Path
) -> None:
    ended = CliRunner().invoke(main, [*SMALL, *given, "--report", str(tmp_path / "run")])
    assert ended.exit_code == 2 and f"{option}:" in ended.output and ended.output.count("\n") == 1
    assert not (tmp_path / "run").exists()


def test_memory_is_reckoned_from_what_is_held_and_too_much_is_refused() -> None:
    small, large = (
        resource_estimate.estimate_resources(Plan(RunOptions(count, 95)), 4) for count in (500, 1_000)
    )
    assert large.held_servers == 4 * small.held_servers == 1_000_000
    resource_estimate.check_limits(large)
    with pytest.raises(RunOptionsError, match="--sidecars: takes about"):
        resource_estimate.check_limits(resource_estimate.estimate_resources(Plan(RunOptions(4_000, 380)), 4))
    resource_estimate.check_limits(
        resource_estimate.estimate_resources(
            Plan(RunOptions(4_000, 380, regions=2, zones=6, form="relayed")), 4
        )
    )


def test_of_some_regions_all_sidecars_are_played_and_of_the_others_none() -> None:
    ask = RunOptions(1_000, 95, regions=4, zones=8, form="relayed")
    whole, some = Plan(ask), Plan(replace(ask, played=1))
    assert whole.played_sidecars() == list(range(1_000)) and some.called_services == whole.called_services
    assert some.played_sidecars() == [number for number in range(1_000) if whole.region_of(number) == 0]
    assert 200 < len(some.played_sidecars()) < 300
    needed, less = (
        resource_estimate.estimate_resources(whole, 4),
        resource_estimate.estimate_resources(some, 4),
    )
    assert (
        less.held_servers == sum(map(whole.held_servers, some.played_sidecars()))
        and less.processes == needed.processes - 6
    )


def test_bad_faults_do_not_fit_in_a_short_run() -> None:
    with pytest.raises(RunOptionsError, match="--for"):
        check_options(RunOptions(12, 3, seconds=5.0, fault_s=3.0, faults=("release", "zone-lost")))


# -- the judge


class StubSidecar:
    """A balancer as a hollow sidecar has one, told of lists by the test."""

    def __init__(self, plan: Plan, number: int = 0) -> None:
        self.plan, self.number, self.updated_at = plan, number, 0
        self.balancer = Balancer(decode_settings(sidecar_settings(plan, number)), 1, MUTE)

    def apply_list(self, at: int, whole: bool, *changes: Change) -> None:
        entries = [
            ServerEntry(
                stable_id(self.plan.server_name(one.server)),
                0,
                0,
                PHASES[one.health],
                1.0 + one.state / STATES_PER_SHARE_UNIT,
                one.started_at_ms,
                self.plan.server_name(one.server),
            )
            for one in changes
        ]
        self.balancer.update_servers(at, ListKind.FULL if whole else ListKind.CHANGES, entries)
        self.updated_at = at


class CheckerScenario:
    """One sidecar that calls the one service of three servers, and its witness."""

    def __init__(self) -> None:
        self.plan = Plan(RunOptions(3, 1))
        self.sidecar = StubSidecar(self.plan)
        self.unread_changes: list[Change] = []
        self.all_changes: list[Change] = []
        self.checker = ViewChecker(self.plan, [self.sidecar], self.read_changes)
        self.sidecar.apply_list(0, True, *(Change(0, server, 0, ACTIVE, 0) for server in range(3)))

    def read_changes(self) -> list[Change]:
        found, self.unread_changes = self.unread_changes, []
        return found

    def change(self, at: int, server: int, state: int, health: str, born: int = 0) -> Change:
        one = Change(at, server, state, health, born)
        self.unread_changes.append(one)
        self.all_changes.append(one)
        return one

    def deliver(self, at: int, *changes: Change) -> None:
        self.sidecar.apply_list(at, False, *changes)
        self.checker.list_updated(self.sidecar, False)

    def evaluate(self, at: int, *windows: OutageWindow) -> Evaluation:
        self.checker.tick(at)
        self.checker.check_final_views()
        verdict = Evaluation(self.plan, self.all_changes, windows, 0)
        verdict.add_findings({**self.checker.findings(), "at": at})
        return verdict


def test_time_in_force_is_from_when_the_origin_had_it_until_the_balancer_goes_by_it() -> None:
    scene = CheckerScenario()
    drain, share = scene.change(1 * S, 0, 1, LEAVING), scene.change(2 * S, 1, 1, ACTIVE)
    scene.checker.tick(2 * S)
    scene.deliver(3 * S, drain)
    scene.deliver(4 * S, share)
    gone = scene.change(5 * S, 0, 2, LEFT)
    scene.deliver(5 * S + 1, gone)  # before the witness has read of it
    back = scene.change(6 * S, 0, 3, ACTIVE, 7)
    scene.checker.tick(6 * S)
    assert scene.checker.pending_count() == 1
    scene.deliver(7 * S, back)
    found = scene.evaluate(8 * S)
    assert sorted(found.delays_us) == [1, S, 2 * S, 2 * S] and not found.violations and not found.late


def test_sidecar_that_ignores_a_drain_is_caught_and_not_before_6_s() -> None:
    scene = CheckerScenario()
    scene.change(0, 0, 1, LEAVING)
    assert not scene.evaluate(6 * S).late
    found = scene.evaluate(7 * S)
    assert (
        found.late == {(0, 1)} and found.violations["used_too_late"] == 1 and found.recovery_s(S, S) is None
    )


def test_late_word_of_a_drain_is_caught_though_it_comes_in_the_end() -> None:
    scene = CheckerScenario()
    drain = scene.change(0, 0, 1, LEAVING)
    scene.checker.tick(S)
    scene.deliver(8 * S, drain)
    found = scene.evaluate(9 * S)
    assert found.late and found.violations == {"used_too_late": 1} and found.recovery_s(3 * S, 3 * S) == 5.0


def test_server_that_goes_back_to_an_older_state_is_caught() -> None:
    scene = CheckerScenario()
    drain = scene.change(0, 0, 1, LEAVING)
    scene.checker.tick(0)
    scene.deliver(1, drain)
    scene.deliver(2, Change(0, 0, 0, ACTIVE, 0))
    found = scene.evaluate(3)
    assert found.violations == {"back": 1, "old_at_end": 1}


def test_entry_that_goes_missing_is_caught_and_one_that_has_left_is_not() -> None:
    scene = CheckerScenario()
    share = scene.change(0, 0, 1, ACTIVE)
    scene.checker.tick(0)
    scene.deliver(1, share)
    left = scene.change(2, 1, 1, LEFT)
    scene.deliver(3, left, Change(0, 0, 2, LEFT, 0))
    assert scene.evaluate(4).violations == {"lost": 1, "missing_at_end": 1}


def test_what_no_origin_told_in_a_window_counts_from_its_end() -> None:
    cut = OutageWindow(1 * S, 9 * S, origin_region=0, sidecar_region=0, other_regions=True)
    assert cut.affects(0, 1) and not cut.affects(0, 0) and not cut.affects(1, 0)
    assert reachable_delay(0, 12 * S, [cut]) == (9 * S, 3 * S)  # out of reach within its 6 s
    assert reachable_delay(2 * S, 9 * S + 5, [cut]) == (9 * S, 5)
    assert reachable_delay(0, S // 2, [cut]) == (0, S // 2)  # in force before
    assert reachable_delay(-6 * S, 12 * S, [cut]) == (-6 * S, 18 * S)  # its 6 s were over before
    assert reachable_delay(10 * S, 12 * S, [cut]) == (10 * S, 2 * S)
    assert reachable_delay(0, 30 * S, [OutageWindow(10 * S, 20 * S), cut]) == (20 * S, 10 * S)


def test_ledger_is_read_on_in_whole_lines(tmp_path: Path) -> None:
    path, changes = tmp_path / "truth", [Change(at, at, 1, ACTIVE, 0) for at in range(3)]
    tail = LedgerReader(path)
    assert tail.read() == []
    LedgerWriter(path).write(changes[:2])
    assert tail.read() == changes[:2] and tail.read() == []
    whole = json.dumps(list(changes[2])) + "\n"
    with path.open("a") as file:
        file.write(whole[:5])
        file.flush()
        assert tail.read() == []
        file.write(whole[5:])
    assert tail.read() == changes[2:]


# -- runs


def test_small_direct_run_with_the_origin_killed_has_all_in_force(tmp_path: Path) -> None:
    ended = CliRunner().invoke(
        main,
        [
            *SMALL,
            "--changes-per-s",
            "10",
            "--for",
            "2",
            "--fault",
            "control-killed",
            "--fault-for",
            "1",
            "--report",
            str(tmp_path),
        ],
    )
    assert ended.exit_code == 0, ended.output
    found = json.loads(ended.output)
    assert found["sidecars"] == 12 and found["changes"] > 0 and found["observed"] > found["changes"]
    assert found["violations"] == {} and found["not_in_force"] == 0 and found["recovered_s"] is not None
    assert found["control"]["machines"] == 1 and found["bytes_s_each"]["mean"] > 0
    assert found["held_each"] == 12.0


@pytest.mark.parametrize("fault", ["control-killed", "region-cut"])
def test_small_relayed_run_has_all_in_force_whatever_happens_to_a_relay_or_a_region(
    fault: str, tmp_path: Path
) -> None:
    ended = CliRunner().invoke(
        main,
        [
            *SMALL,
            "--form",
            "relayed",
            "--changes-per-s",
            "10",
            "--for",
            "2",
            "--fault",
            fault,
            "--fault-for",
            "1",
            "--report",
            str(tmp_path),
        ],
    )
    assert ended.exit_code == 0, ended.output
    found = json.loads(ended.output)
    assert found["control"]["machines"] == 4 and found["observed"] > 0 and found["recovered_s"] is not None
    assert found["violations"] == {} and found["not_in_force"] == 0
    assert 0 < found["held_each"] <= 12.0


def test_one_region_of_two_is_played_beside_both_origins_with_relays_told_their_pace(tmp_path: Path) -> None:
    ended = CliRunner().invoke(
        main,
        [
            *SMALL,
            "--form",
            "relayed",
            "--changes-per-s",
            "10",
            "--for",
            "2",
            "--fault",
            "control-restarted",
            "--fault-for",
            "1",
            "--play-regions",
            "1",
            "--whole-bytes-per-s",
            "16000000",
            "--report",
            str(tmp_path),
        ],
    )
    assert ended.exit_code == 0, ended.output
    found = json.loads(ended.output)
    assert found["sidecars"] == 12 and found["played"] == 6 and found["control"]["machines"] == 2
    assert found["origins"]["processes"] == 2 and found["observed"] > 0 and found["recovered_s"] is not None
    assert found["violations"] == {} and found["not_in_force"] == 0
    files = sorted(tmp_path.glob("relay-*.json"))
    assert [json.loads(file.read_text())["wholeBytesPerS"] for file in files] == [16_000_000] * 2


@pytest.mark.parametrize(
    "planted, kind",
    [("ignores-drain", "old_at_end"), ("goes-back", "back"), ("origin-loses", "missing_at_end")],
)
def test_faults_planted_in_processes_are_found(planted: str, kind: str, tmp_path: Path) -> None:
    ask = RunOptions(20, 2, changes_per_s=30, seconds=1, planted=(planted,))
    found = HollowRun(Plan(check_options(ask)), tmp_path, 2, lambda line: None, settle_timeout_s=0.5).play()
    assert found["violations"].get(kind), found


def test_all_that_a_run_started_ends_with_it(tmp_path: Path) -> None:
    run = subprocess.Popen(
        [sys.executable, "-m", "pumicepath", *SMALL, "--for", "60", "--report", str(tmp_path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=restore_sigint,
    )
    children = Path(f"/proc/{run.pid}/task/{run.pid}/children")
    wait_until(lambda: list(tmp_path.glob("host-*.err")) and len(children.read_text().split()) >= 2)
    started = [int(pid) for pid in children.read_text().split()]
    run.send_signal(signal.SIGINT)
    out, err = run.communicate(timeout=60)
    assert run.returncode == 130 and out == "" and "interrupted" in err
    wait_until(lambda: not any(alive(pid) for pid in started))


def alive(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


# -- a folder is one run's own


def test_folder_that_another_run_uses_is_refused_by_name(tmp_path: Path) -> None:
    with (
        locked_folder(tmp_path),
        pytest.raises(FolderLockedError, match=f"{tmp_path}.*process {os.getpid()}"),
        locked_folder(tmp_path),
    ):
        pass
    with locked_folder(tmp_path):  # free again
        assert (tmp_path / LOCK_FILE).read_text() == f"{os.getpid()}\n"


@pytest.mark.parametrize(
    "command",
    [
        ["lab", "run", "experiments/hall.toml"],
        SMALL,
        ["lab", "run", "experiments/fleet-noise.toml", "--on", "loopback"],
    ],
)
def test_commands_refuse_a_folder_in_use(command: list[str], tmp_path: Path) -> None:
    holder = subprocess.Popen(
        [
            sys.executable,
            "-c",
            "import sys; from pathlib import Path\n"
            "from pumicepath.lab.experiments.folder_lock import owned\n"
            "with owned(Path(sys.argv[1])): print('has it', flush=True); sys.stdin.read()",
            str(tmp_path),
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert holder.stdout is not None and holder.stdin is not None
    assert holder.stdout.readline() == "has it\n"
    ended = CliRunner().invoke(main, [*command, "--report", str(tmp_path)])
    assert ended.exit_code == 2 and f"{tmp_path}: another run (process {holder.pid})" in ended.output
    assert [file.name for file in tmp_path.iterdir()] == [LOCK_FILE]
    holder.kill()  # however it ends, the folder is free
    holder.wait()
    with locked_folder(tmp_path):
        pass
