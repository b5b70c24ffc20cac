"""Faults of links, clocks and disks, the recorded history of a run, and its checks."""

from __future__ import annotations

import random
import subprocess
import sys
from pathlib import Path

import orjson
import pytest
from click.testing import CliRunner

from pumicepath.command import main
from pumicepath.lab.experiments import files, fleet_report
from pumicepath.lab.model.links import Impairment, Links
from pumicepath.lab.model.timeline import SECOND, VirtualTimeline
from pumicepath.lab.spec import FaultSpec, Plan, Sidecars
from pumicepath.lab.verification import checks, history, recovery
from pumicepath.lab.verification.clocks import PAGE_PATH_VARIABLE, ControlPage
from pumicepath.lab.verification.disks import StateFolder
from pumicepath.lab.verification.history import History, HistoryError
from pumicepath.lab.virtual.run import VirtualWorld

from .helpers import check_trace

HEAD = {
    "at": 0,
    "who": "rig",
    "what": "run",
    "version": history.VERSION,
    "seed": 1,
    "slack": 60_000,
    "plan": Plan(sidecars=Sidecars(count=3, peers=True)).model_dump(),
}


def event(at: float, who: str, what: str, **more: object) -> dict:
    return {"at": round(at * SECOND), "who": who, "what": what, **more}


def acted(at: float, holder: str, fence: int, who: str = "server-1", accepted: bool = True) -> dict:
    return event(at, who, "acted", duty="trial of s-1", holder=holder, fence=fence, accepted=accepted)


def claimed(asked: float, at: float, holder: str, fence: int) -> dict:
    """The holder said that it might act, at some moment between `asked` and `at`."""
    return {**acted(at, holder, fence, "rig"), "asked": round(asked * 1e6)}


def spent(at: float, amount: float, budget: str = "retries") -> dict:
    return event(at, "server-0", "spent", budget=budget, amount=amount)


ASK = 7
TRIED = event(1.0, "clients", "tried", ask=ASK, tariff=1, until=1_600_000)
SENT = event(1.1, "server-1", "sent", ask=ASK, sidecar=0, server=1, told=None)
RAN = event(1.2, "server-1", "ran", ask=ASK, server=1, hall=0, cell=0)
ENDED = event(1.3, "clients", "answered", ask=ASK, end="succeeded")
PUSHED = event(1, "server-1", "pushed_over", server=1, knowing=50, sidecars=2, work=100)
RETRIES = event(0, "rig", "budget", budget="retries", sum=10, window_us=SECOND)
# Histories with and without injected violations, by the name that stands in the recorded trace.
HISTORIES: dict[str, list[dict]] = {
    "all is well": [
        TRIED,
        SENT,
        RAN,
        ENDED,
        acted(2, "n0", 1),
        acted(3, "n1", 2),
        RETRIES,
        spent(4, 10),
        spent(5, 10),
    ],
    "no answer": [TRIED, SENT, event(1.7, "clients", "patience_over", ask=ASK)],
    "no answer of a sidecar that was stopped": [
        TRIED,
        event(1.05, "rig", "stopped", sidecar=0),
        event(1.7, "clients", "patience_over", ask=ASK),
    ],
    "no answer of one that was stopped before": [
        event(0.1, "rig", "stopped", sidecar=0),
        event(0.5, "rig", "going_on", sidecar=0),
        TRIED,
        event(1.7, "clients", "patience_over", ask=ASK),
    ],
    "answered twice": [TRIED, ENDED, ENDED],
    "answered late": [TRIED, event(1.7, "clients", "answered", ask=ASK, end="forfeited")],
    "sent after its answer": [
        TRIED,
        SENT,
        RAN,
        ENDED,
        event(2, "server-1", "sent", ask=ASK, sidecar=0, server=1, told=None),
    ],
    "ran twice": [TRIED, SENT, RAN, SENT, RAN, ENDED],
    "deferred, and may have run": [TRIED, SENT, RAN, {**ENDED, "end": "deferred"}],
    "sent to a server that drains": [TRIED, {**SENT, "told": 100_000}],
    "a cold server pushed over": [{**PUSHED, "knowing": 70}],
    "a cold server pushed over by others": [PUSHED],
    "two holders whose terms overlap": [acted(1, "n0", 1), acted(2, "n1", 2), acted(3, "n0", 1)],
    "the same, turned away by fencing": [
        acted(1, "n0", 1),
        acted(2, "n1", 2),
        acted(3, "n0", 1, accepted=False),
    ],
    "two that say that they hold it, surely at one time": [
        claimed(0.9, 1, "n0", 1),
        claimed(1.4, 1.5, "n1", 2),
        claimed(1.9, 2, "n1", 2),
        claimed(1.8, 2.1, "n0", 1),
    ],
    "two that say so, one maybe after the other": [
        claimed(0.9, 1, "n0", 1),
        claimed(1.4, 1.5, "n1", 2),
        claimed(1.9, 2, "n1", 2),
        claimed(1.4, 2.1, "n0", 1),
    ],
    "one number, two holders": [acted(1, "n0", 1), acted(2, "n1", 1)],
    "two holders at two places": [acted(1, "n0", 1), acted(2, "n1", 2, "server-2"), acted(3, "n0", 1)],
    "more than the sum in a window": [RETRIES, spent(1.0, 6), spent(1.9, 5)],
    "the sum in each of two windows": [RETRIES, spent(1.0, 6), spent(2.0, 5)],
    "spent of no known budget": [spent(1, 1, "turns")],
}


def in_order(name: str) -> list[dict]:
    return sorted([HEAD, *HISTORIES[name]], key=lambda line: line["at"])


def test_checks_find_injected_violations_and_nothing_else() -> None:
    lines = []
    for name in HISTORIES:
        violations = checks.violations(in_order(name))
        lines.append(f"{name}:")
        lines += [f"    {check}: {text}" for check, texts in violations.items() for text in texts]
    check_trace("faults-planted", lines)
    assert set(checks.PROPERTIES) == {"four_rules", "one_holder", "fencing", "budgets"}


def test_recovery_times_of_views_and_service() -> None:
    def views(at: float, state: str) -> dict:
        return event(
            at, "rig", "views", running=["a", "b"], sees={"a": [("b", state)], "b": [("a", "alive")]}
        )

    fractions = [1.0, 1.0, 0.4, 0.5, 0.98, 1.0, 0.995, 1.0, 0.2]
    fault = event(2.1, "rig", "fault", kind="sidecars-killed", text="", until=3_200_000)
    lines = [
        HEAD,
        views(0.5, "alive"),
        fault,
        views(3.0, "alive"),
        views(4.0, "dead"),
        views(4.5, "alive"),
        *(
            event(9, "clients", "second", second=at, wanted=10.0, earned=10 * fraction)
            for at, fraction in enumerate(fractions)
        ),
    ]
    assert recovery.view_recovery_s(lines) == 1.3 and recovery.service_recovery_s(lines) == 1.8
    assert recovery.view_recovery_s(lines[:-10]) is None and recovery.service_recovery_s(lines[:-3]) is None
    assert recovery.fault_counts(lines) == {"sidecars-killed": 1}


@pytest.mark.parametrize(
    "data, reason",
    (
        (None, "No such file"),
        (b"", ":1: no head"),
        (b"{}\n", ":1: no line"),
        (orjson.dumps(HEAD) + b"\nx\n", ":2: no"),
        (orjson.dumps({**HEAD, "version": 9}), ":1: no head"),
        (orjson.dumps({**HEAD, "at": 5}) + b"\n" + orjson.dumps(HEAD), ":2: earlier"),
    ),
)
def test_a_file_that_is_no_history_is_reported_with_its_line(
    tmp_path: Path, data: bytes | None, reason: str
) -> None:
    path = tmp_path / "history.jsonl"
    if data is not None:
        path.write_bytes(data)
    with pytest.raises(HistoryError, match=reason):
        history.read(path)
    result = CliRunner().invoke(main, ["lab", "judge", str(path)])
    assert result.exit_code == 2 and str(path) in result.stderr


def test_lab_judge_reports_the_violations_of_a_recorded_history(tmp_path: Path) -> None:
    path = tmp_path / "history.jsonl"
    path.write_bytes(b"\n".join(orjson.dumps(line) for line in in_order("ran twice")))
    result = CliRunner().invoke(main, ["lab", "judge", str(path), "--json"])
    assert result.exit_code == 1 and orjson.loads(result.stdout)["violations"] == {"four_rules": 1}
    path.write_bytes(b"\n".join(orjson.dumps(line) for line in in_order("all is well")))
    result = CliRunner().invoke(main, ["lab", "judge", str(path)])
    assert result.exit_code == 0 and "kept" in result.stdout


def test_links_lose_delay_duplicate_corrupt_and_limit_datagrams() -> None:
    lines = []
    for name, noise in (
        ("nothing", Impairment()),
        ("loss", Impairment(loss=0.3)),
        ("doubled", Impairment(duplicated=0.2)),
        ("spoilt", Impairment(corrupted=0.5)),
        ("delay", Impairment(delay=20_000, jitter=50_000)),
        ("rate", Impairment(rate=2000)),
    ):
        timeline, arrived = VirtualTimeline(), list[tuple[int, bytes]]()
        links = Links(timeline, 1, 300)

        def take(
            data: bytes, timeline: VirtualTimeline = timeline, arrived: list[tuple[int, bytes]] = arrived
        ) -> None:
            arrived.append((timeline.now, data))

        undo = links.impair([1], noise)
        for step in range(100):
            timeline.run(step * 10_000)
            links.carry(step % 2, 2, b"%03d" % step + bytes(37), take)
        undo()
        timeline.run(10 * SECOND)
        order = [data[:3] for _, data in arrived]
        lines.append(
            f"{name:<8} {len(arrived)} came, {links.dropped} dropped, {len(set(order))} different, "
            f"{sum(first > second for first, second in zip(order, order[1:]))} swapped, "
            f"{sum(any(data[3:]) for _, data in arrived)} spoilt, "
            f"the last at {arrived[-1][0] / 1e6:.3f} s"
        )
    links, delivered = Links(VirtualTimeline(), 1), []
    undo = links.cut([0], [1, 2], both_ways=False)
    for sender, recipient in ((0, 1), (1, 0), (2, 1)):
        links.carry(sender, recipient, b"x", delivered.append)
    links.timeline.run(1)  # type: ignore[attr-defined]
    lines.append(f"cut one way: {len(delivered)} of 3")
    undo()
    check_trace("faults-links", lines)


def test_a_changed_clock_runs_at_its_rate_and_only_its_wall_clock_steps(tmp_path: Path) -> None:
    now = [0]
    page = ControlPage(tmp_path / "clock")
    page.real_monotonic_ns = lambda: now[0]
    page.set_clock(1.0)
    began, wall = page.monotonic_ns(), page.wall_ns(5_000_000_000)
    page.set_clock(1.01, 3_600_000_000_000)
    assert page.monotonic_ns() == began and page.wall_ns(5_000_000_000) - wall == 3_600_000_000_000
    now[0] += 10_000_000_000
    assert ControlPage(tmp_path / "clock").active_slot() == page.active_slot(), (
        "both processes see the same clock"
    )
    assert page.monotonic_ns() - began == 10_100_000_000
    page.set_clock(1.0)
    now[0] += 1_000_000_000
    assert page.monotonic_ns() - began == 11_100_000_000


def test_the_starter_changes_the_clock_that_a_process_reads(tmp_path: Path) -> None:
    ControlPage(tmp_path / "clock").set_clock(1.0, -3_600_000_000_000)
    code = (
        "import os, time; from pathlib import Path; true = time.time()\n"
        "from pumicepath.lab.verification import clocks, starter\n"
        "starter.install_clock(clocks.ControlPage(Path(os.environ[clocks.PAGE_PATH_VARIABLE])))\n"
        "from pumicepath.sidecar import clock\n"
        "print(round(true - time.time()), clock.now() > 0)"
    )
    ended = subprocess.run(
        [sys.executable, "-c", code],
        text=True,
        capture_output=True,
        timeout=60,
        env={"PATH": "/usr/bin", PAGE_PATH_VARIABLE: str(tmp_path / "clock"), "PYTHONPATH": "."},
    )
    assert ended.stdout.split() == ["3600", "True"], ended.stderr


def test_the_starter_makes_a_disk_read_only_and_slow(tmp_path: Path) -> None:
    page = ControlPage(tmp_path / "clock")
    page.set_disk(True, 50)
    (tmp_path / "own").mkdir()
    (tmp_path / "own" / "kept").write_text("x")
    code = (
        "import os, sys, time; from pathlib import Path\n"
        "from pumicepath.lab.verification import clocks, starter\n"
        "page = clocks.ControlPage(Path(os.environ[clocks.PAGE_PATH_VARIABLE]))\n"
        "starter.install_disk_faults(page, sys.argv[1])\n"
        "own, began = Path(sys.argv[1]), time.monotonic()\n"
        "def tried(what):\n"
        "    try: return what() and 'done'\n"
        "    except OSError as error: return error.strerror\n"
        "print(tried(lambda: (own / 'kept').read_text()), tried(lambda: (own / 'new').write_text('y')),\n"
        "      tried(lambda: os.replace(own / 'kept', own / 'b')), tried(lambda: os.open(own / 'c',\n"
        "      os.O_CREAT)), tried(lambda: (own.parent / 'other').write_text('z')),\n"
        "      time.monotonic() - began > 0.2, sep='; ')"
    )
    environment = {"PATH": "/usr/bin", PAGE_PATH_VARIABLE: str(tmp_path / "clock"), "PYTHONPATH": "."}
    ended = subprocess.run(
        [sys.executable, "-c", code, str(tmp_path / "own")],
        text=True,
        capture_output=True,
        timeout=60,
        env=environment,
    )
    refused = "Read-only file system"
    assert ended.stdout.strip().split("; ") == ["done", *[refused] * 3, "done", "True"], ended


def test_discovery_that_one_sidecar_cannot_reach_still_serves_the_others() -> None:
    plan = Plan(
        lasts_s=8,
        sidecars=Sidecars(count=3),
        troubles=(
            FaultSpec(kind="list-down", at_s=2, for_s=5, sidecars=(1,)),
            FaultSpec(kind="drain", at_s=3, servers=(0,)),
        ),
    )
    world = VirtualWorld(plan, 1, "random")
    world.timeline.run(4 * SECOND)
    notified = [world.registry.subscriptions[number].notified_at.get(0) for number in range(3)]
    assert (
        notified[0]
        and notified[2]
        and notified[1] is None
        and world.registry.is_unreachable(1)
        and not world.registry.is_unreachable(0)
    )
    known_since = world.registry.off_known_since(1, 0)
    assert known_since is not None and known_since > 4 * SECOND, "it counts as notified after its next poll"
    world.timeline.run(20 * SECOND)
    assert not world.registry.is_unreachable(1)


def test_state_folders_are_corrupted_deleted_restored_and_full(tmp_path: Path) -> None:
    disk, other = (StateFolder(tmp_path / name, tmp_path / f"copy-{name}") for name in ("a", "b"))
    (disk.folder / "state").write_bytes(bytes(1000))
    assert disk.save_copy() == 1
    outcomes = set()
    for seed in range(40):
        assert disk.corrupt(random.Random(seed)) == 1
        outcomes.add((len((disk.folder / "state").read_bytes()), any((disk.folder / "state").read_bytes())))
        disk.restore_copy()
    assert len({size for size, _ in outcomes}) > 10 and (1000, True) in outcomes
    assert disk.delete_all() == 1 and not disk.files() and other.replace_with(disk.copy_folder) == 1
    code = (
        "import sys; print('up', flush=True); sys.stdin.read(1)\n"
        "with open(sys.argv[1], 'wb') as file: file.write(b'x')"
    )
    with subprocess.Popen(
        [sys.executable, "-c", code, str(disk.folder / "new")],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    ) as process:
        assert process.stdout is not None
        process.stdout.readline()
        disk.set_full(process.pid, True)
        _, error = process.communicate(b"\n", timeout=60)
    assert b"File too large" in error and process.returncode == 1


SMALL = """title = "small"
lasts_s = 7
[fleet]
halls = 2
servers = 4
work_ms = 5
[sidecars]
count = 3
peers = true
peers_every_s = 0.2
[load]
rate = 40
[[troubles]]
kind = "sidecars-killed"
at_s = 2
for_s = 0.5
sidecars = [1]
[[troubles]]
kind = "sidecars-stopped"
at_s = 2
for_s = 1
sidecars = [2]
[[troubles]]
kind = "clock-rate"
at_s = 1
for_s = 3
"""


@pytest.mark.parametrize(
    "old, new, key",
    (
        ("at_s = 1\n", "at_s = 1\nsidecars = [3]\n", "26: troubles.2.sidecars"),
        ("peers = true", "peers = false", ""),
        ("clock-rate", "peers-shut", "24: troubles.2.kind"),
    ),
)
def test_an_invalid_plan_is_reported_with_line_and_key(tmp_path: Path, old: str, new: str, key: str) -> None:
    path = tmp_path / "one.toml"
    path.write_text(SMALL.replace(old, new))
    if key:
        with pytest.raises(files.ExperimentError, match=key):
            files.load_experiment(path)
    path.write_text(SMALL.replace("peers = true", "").replace("sidecars-killed", "peers-cut"))
    with pytest.raises(files.ExperimentError, match="14: troubles.0.kind: peers-cut needs peers = true"):
        files.load_experiment(path)
    path.write_text(SMALL)
    with pytest.raises(files.ExperimentError, match="troubles.1.kind: sidecars-stopped needs real processes"):
        files.load_experiment(path, host="virtual")


def test_an_experiment_with_real_processes_ends_in_one_object_and_a_page(tmp_path: Path) -> None:
    path, folder = tmp_path / "small.toml", tmp_path / "out"
    path.write_text(SMALL)
    command = [
        sys.executable,
        "-m",
        "pumicepath",
        "lab",
        "run",
        str(path),
        "--on",
        "loopback",
        "--json",
        "--seed",
        "4",
        "--report",
        str(folder),
    ]
    for _ in range(3):  # exit code 3: the machine was too slow for a valid run
        ended = subprocess.run(command, text=True, capture_output=True, timeout=180)
        if ended.returncode != 3:
            break
    assert ended.returncode in (0, 1), ended.stderr
    summary = orjson.loads(ended.stdout.splitlines()[-1])
    assert summary["faults"] == {"sidecars-killed": 1, "sidecars-stopped": 1, "clock-rate": 1}
    assert ended.returncode == bool(summary["violations"])
    assert [summary[name] for name in ("duplicated", "late_sends", "pushed_over")] == [0, 0, 0], summary
    again = fleet_report.check_history(folder / fleet_report.HISTORY_FILE)
    assert again.metrics().items() <= summary.items(), "the history alone gives the same results"
    page = (folder / "fleet.html").read_text()
    assert page.count("data:image/png;base64,") == 2 and "sidecars-stopped: sidecar 2" in page
    names, at, rows = fleet_report.liveness_matrix(again.history)
    assert names == ["sidecar-0", "sidecar-1", "sidecar-2"] and len(at) == len(rows) > 5


def test_an_interrupted_history_keeps_what_was_recorded(tmp_path: Path) -> None:
    writer = History(tmp_path / "history.jsonl", lambda: 5)
    writer.write("rig", "run", version=history.VERSION)
    writer.write("rig", "begun")
    writer.close()
    writer.write("rig", "late")
    assert [line["what"] for line in history.read(tmp_path / "history.jsonl")] == ["run", "begun"]
