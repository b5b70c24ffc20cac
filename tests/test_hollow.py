"""Hollow sidecars: their plan, the checker of their views, and small runs with real processes."""

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


def test_service_sizes_are_long_tailed_and_plans_reproducible() -> None:
    options = RunOptions(20_000, 1_900, regions=10, zones=34)
    plan, again = Plan(options), Plan(options)
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
    "arguments, option",
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
def test_invalid_options_are_rejected_by_name_before_anything_starts(
    arguments: list[str], option: str, tmp_path: Path
) -> None:
    result = CliRunner().invoke(main, [*SMALL, *arguments, "--report", str(tmp_path / "run")])
    assert result.exit_code == 2 and f"{option}:" in result.output and result.output.count("\n") == 1
    assert not (tmp_path / "run").exists()


def test_memory_is_estimated_from_held_servers_and_limited() -> None:
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


def test_played_regions_start_all_their_sidecars_and_others_none() -> None:
    options = RunOptions(1_000, 95, regions=4, zones=8, form="relayed")
    whole, partial = Plan(options), Plan(replace(options, played=1))
    assert whole.played_sidecars() == list(range(1_000)) and partial.called_services == whole.called_services
    assert partial.played_sidecars() == [number for number in range(1_000) if whole.region_of(number) == 0]
    assert 200 < len(partial.played_sidecars()) < 300
    whole_estimate, partial_estimate = (
        resource_estimate.estimate_resources(whole, 4),
        resource_estimate.estimate_resources(partial, 4),
    )
    assert (
        partial_estimate.held_servers == sum(map(whole.held_servers, partial.played_sidecars()))
        and partial_estimate.processes == whole_estimate.processes - 6
    )


def test_faults_longer_than_the_run_are_rejected() -> None:
    with pytest.raises(RunOptionsError, match="--for"):
        check_options(RunOptions(12, 3, seconds=5.0, fault_s=3.0, faults=("release", "zone-lost")))


# -- the view checker and the evaluation


class StubSidecar:
    """A balancer like that of a hollow sidecar; the test applies its lists."""

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
    """One sidecar that calls the only service, which has three servers, and its view checker."""

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
        evaluation = Evaluation(self.plan, self.all_changes, windows, 0)
        evaluation.add_findings({**self.checker.findings(), "at": at})
        return evaluation


def test_delay_counts_from_the_origins_change_until_the_balancer_applies_it() -> None:
    scenario = CheckerScenario()
    drain, share = scenario.change(1 * S, 0, 1, LEAVING), scenario.change(2 * S, 1, 1, ACTIVE)
    scenario.checker.tick(2 * S)
    scenario.deliver(3 * S, drain)
    scenario.deliver(4 * S, share)
    gone = scenario.change(5 * S, 0, 2, LEFT)
    scenario.deliver(5 * S + 1, gone)  # before the checker has read the change
    back = scenario.change(6 * S, 0, 3, ACTIVE, 7)
    scenario.checker.tick(6 * S)
    assert scenario.checker.pending_count() == 1
    scenario.deliver(7 * S, back)
    evaluation = scenario.evaluate(8 * S)
    assert (
        sorted(evaluation.delays_us) == [1, S, 2 * S, 2 * S]
        and not evaluation.violations
        and not evaluation.late
    )


def test_ignored_drain_is_a_violation_only_after_6_s() -> None:
    scenario = CheckerScenario()
    scenario.change(0, 0, 1, LEAVING)
    assert not scenario.evaluate(6 * S).late
    evaluation = scenario.evaluate(7 * S)
    assert (
        evaluation.late == {(0, 1)}
        and evaluation.violations["used_too_late"] == 1
        and evaluation.recovery_s(S, S) is None
    )


def test_drain_applied_late_is_a_violation() -> None:
    scenario = CheckerScenario()
    drain = scenario.change(0, 0, 1, LEAVING)
    scenario.checker.tick(S)
    scenario.deliver(8 * S, drain)
    evaluation = scenario.evaluate(9 * S)
    assert (
        evaluation.late
        and evaluation.violations == {"used_too_late": 1}
        and evaluation.recovery_s(3 * S, 3 * S) == 5.0
    )


def test_return_to_an_older_state_is_a_violation() -> None:
    scenario = CheckerScenario()
    drain = scenario.change(0, 0, 1, LEAVING)
    scenario.checker.tick(0)
    scenario.deliver(1, drain)
    scenario.deliver(2, Change(0, 0, 0, ACTIVE, 0))
    evaluation = scenario.evaluate(3)
    assert evaluation.violations == {"back": 1, "old_at_end": 1}


def test_lost_entry_is_a_violation_unless_the_server_has_left() -> None:
    scenario = CheckerScenario()
    share = scenario.change(0, 0, 1, ACTIVE)
    scenario.checker.tick(0)
    scenario.deliver(1, share)
    left = scenario.change(2, 1, 1, LEFT)
    scenario.deliver(3, left, Change(0, 0, 2, LEFT, 0))
    assert scenario.evaluate(4).violations == {"lost": 1, "missing_at_end": 1}


def test_delay_counts_from_the_end_of_an_outage_window() -> None:
    cut = OutageWindow(1 * S, 9 * S, origin_region=0, sidecar_region=0, other_regions=True)
    assert cut.affects(0, 1) and not cut.affects(0, 0) and not cut.affects(1, 0)
    assert reachable_delay(0, 12 * S, [cut]) == (9 * S, 3 * S)  # unreachable within its 6 s
    assert reachable_delay(2 * S, 9 * S + 5, [cut]) == (9 * S, 5)
    assert reachable_delay(0, S // 2, [cut]) == (0, S // 2)  # applied before the outage
    assert reachable_delay(-6 * S, 12 * S, [cut]) == (-6 * S, 18 * S)  # its 6 s were over before
    assert reachable_delay(10 * S, 12 * S, [cut]) == (10 * S, 2 * S)
    assert reachable_delay(0, 30 * S, [OutageWindow(10 * S, 20 * S), cut]) == (20 * S, 10 * S)


def test_ledger_reader_returns_new_complete_lines(tmp_path: Path) -> None:
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


def test_direct_run_applies_all_changes_after_the_origin_is_killed(tmp_path: Path) -> None:
    invoked = CliRunner().invoke(
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
    assert invoked.exit_code == 0, invoked.output
    result = json.loads(invoked.output)
    assert result["sidecars"] == 12 and result["changes"] > 0 and result["observed"] > result["changes"]
    assert result["violations"] == {} and result["not_in_force"] == 0 and result["recovered_s"] is not None
    assert result["control"]["machines"] == 1 and result["bytes_s_each"]["mean"] > 0
    assert result["held_each"] == 12.0


@pytest.mark.parametrize("fault", ["control-killed", "region-cut"])
def test_relayed_run_applies_all_changes_despite_a_killed_relay_or_partition(
    fault: str, tmp_path: Path
) -> None:
    invoked = CliRunner().invoke(
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
    assert invoked.exit_code == 0, invoked.output
    result = json.loads(invoked.output)
    assert result["control"]["machines"] == 4 and result["observed"] > 0 and result["recovered_s"] is not None
    assert result["violations"] == {} and result["not_in_force"] == 0
    assert 0 < result["held_each"] <= 12.0


def test_one_of_two_regions_runs_with_both_origins_and_a_relay_rate_limit(tmp_path: Path) -> None:
    invoked = CliRunner().invoke(
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
    assert invoked.exit_code == 0, invoked.output
    result = json.loads(invoked.output)
    assert result["sidecars"] == 12 and result["played"] == 6 and result["control"]["machines"] == 2
    assert (
        result["origins"]["processes"] == 2 and result["observed"] > 0 and result["recovered_s"] is not None
    )
    assert result["violations"] == {} and result["not_in_force"] == 0
    files = sorted(tmp_path.glob("relay-*.json"))
    assert [json.loads(file.read_text())["wholeBytesPerS"] for file in files] == [16_000_000] * 2


@pytest.mark.parametrize(
    "bug, kind",
    [("ignores-drain", "old_at_end"), ("goes-back", "back"), ("origin-loses", "missing_at_end")],
)
def test_injected_bugs_are_found(bug: str, kind: str, tmp_path: Path) -> None:
    options = RunOptions(20, 2, changes_per_s=30, seconds=1, planted=(bug,))
    result = HollowRun(
        Plan(check_options(options)), tmp_path, 2, lambda line: None, settle_timeout_s=0.5
    ).play()
    assert result["violations"].get(kind), result


def test_interrupted_run_ends_all_its_processes(tmp_path: Path) -> None:
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


# -- lock of a run's folder


def test_locked_folder_is_rejected_by_name(tmp_path: Path) -> None:
    with (
        locked_folder(tmp_path),
        pytest.raises(FolderLockedError, match=f"{tmp_path}.*process {os.getpid()}"),
        locked_folder(tmp_path),
    ):
        pass
    with locked_folder(tmp_path):  # released
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
            "from pumicepath.lab.experiments.folder_lock import locked_folder\n"
            "with locked_folder(Path(sys.argv[1])): print('has it', flush=True); sys.stdin.read()",
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
    holder.kill()  # the kernel releases the lock however the process ends
    holder.wait()
    with locked_folder(tmp_path):
        pass
