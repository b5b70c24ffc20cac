"""Experiments: validation of their files, interrupted runs, statistics and reports."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from pumicepath.command import main
from pumicepath.lab.experiments import comparison, files, runner, statistics
from tests.helpers import check_trace, restore_sigint

SHIPPED_FOLDER = Path(__file__).parent.parent / "experiments"
SMALL = """title = "Small"
seeds = 3
policies = ["pumicepath", "random"]
lasts_s = 4
warm_s = 1
[fleet]
servers = 4
[load]
part = 0.2
[[troubles]]
kind = "die"
at_s = 1
for_s = 2
"""


def replaced(old: str, new: str) -> str:
    assert old in SMALL
    return SMALL.replace(old, new)


INVALID_FILES = {
    "no such file": None,
    "no TOML": replaced("seeds = 3", "seeds ="),
    "unknown key": replaced("servers = 4", "server = 4"),
    "unknown table": replaced("[load]", "[loads]"),
    "wrong type": replaced("servers = 4", 'servers = "many"'),
    "unknown policy": replaced('"random"', '"magic"'),
    "unknown trouble": replaced('"die"', '"dye"'),
    "trouble after the end": replaced("at_s = 1", "at_s = 9"),
    "hall that is not there": SMALL + "hall = 1\n",
    "server that is not there": SMALL + "servers = [4]\n",
    "too many servers hit": SMALL + "count = 5\n",
    "no title": replaced('title = "Small"\n', ""),
    "negative time": replaced("for_s = 2", "for_s = -2"),
    "sweep of nothing": SMALL + '[sweep]\n"fleet.serers" = [1, 2]\n',
    "sweep past the list": SMALL + '[sweep]\n"troubles.1.at_s" = [1, 2]\n',
    "variant with a wrong value": SMALL + '[variants.other]\n"load.part" = "much"\n',
}


def test_invalid_files_are_rejected_with_file_line_and_key(tmp_path: Path) -> None:
    lines = []
    for name, text in INVALID_FILES.items():
        path = tmp_path / "x.toml"
        path.unlink(missing_ok=True)
        if text is not None:
            path.write_text(text)
        ended = CliRunner().invoke(main, ["lab", "show", str(path)])
        lines.append(f"{name}: {ended.exit_code} {ended.output.strip().replace(str(tmp_path), '')}")
    check_trace("experiments-wrong", lines)


def test_shipped_experiments_load_and_cover_every_fault_kind() -> None:
    from pumicepath.lab.fault_kinds import KINDS

    experiments = [files.load_experiment(path) for path in sorted(SHIPPED_FOLDER.glob("*.toml"))]
    kinds = {fault.kind for experiment in experiments for fault in experiment.plan.troubles}
    assert len(experiments) >= 12 and kinds == set(KINDS)
    assert any(experiment.plan.sidecars.count >= 1000 for experiment in experiments)
    assert any(experiment.plan.fleet.servers >= 300 for experiment in experiments)


def test_run_report_compare_end_to_end(tmp_path: Path) -> None:
    path = tmp_path / "small.toml"
    path.write_text(SMALL + '[variants.plain]\n[variants.patient]\n"load.retries" = 3\n')
    outputs = []
    for name in ("one", "other"):
        ended = CliRunner().invoke(
            main, ["lab", "run", str(path), "--report", str(tmp_path / name), "--workers", "2"]
        )
        assert ended.exit_code == 0, ended.output
        outputs.append(ended.stdout.replace(str(tmp_path / name), "").splitlines())
    assert outputs[0] == outputs[1]
    both = CliRunner().invoke(main, ["lab", "compare", str(tmp_path / "one"), str(tmp_path / "other")])
    page = (tmp_path / "one" / "report.html").read_text()
    assert page.count("data:image/png;base64,") == 4 and "http" not in page.replace("http-equiv", "")
    assert len(list((tmp_path / "one").glob("*.png"))) == 4
    check_trace("experiments-run", outputs[0] + both.stdout.splitlines())


def test_interrupted_run_leaves_no_process_and_a_report_of_finished_runs(tmp_path: Path) -> None:
    path = tmp_path / "long.toml"
    path.write_text(SMALL.replace("seeds = 3", "seeds = 500"))
    results = tmp_path / "out" / runner.RESULTS_FILE
    with subprocess.Popen(
        [
            sys.executable,
            "-m",
            "pumicepath",
            "lab",
            "run",
            str(path),
            "--workers",
            "2",
            "--report",
            str(tmp_path / "out"),
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
        preexec_fn=restore_sigint,
    ) as process:
        deadline = time.monotonic() + 60
        while time.monotonic() < deadline and (not results.exists() or results.read_bytes().count(b"\n") < 4):
            if process.poll() is not None:
                break
        os.killpg(process.pid, signal.SIGINT)
        out, err = process.communicate(timeout=60)
    assert process.returncode == 130 and "interrupted after" in err, (process.returncode, err)
    head, runs = runner.read_results(tmp_path / "out")
    assert 3 <= len(runs) < head["runs"]
    assert "Unfinished" in (tmp_path / "out" / "report.html").read_text() and "report:" in out
    with pytest.raises(ProcessLookupError):  # no process of its group is left
        os.killpg(process.pid, 0)


def test_intervals_and_whether_they_show_a_difference() -> None:
    same = statistics.paired_difference({1: 0.5, 2: 0.7, 3: 0.6}, {1: 0.6, 2: 0.6, 3: 0.6})
    less = statistics.paired_difference({1: 0.5, 2: 0.51, 4: 0.0}, {1: 0.6, 2: 0.6, 3: 0.6})
    one = statistics.paired_difference({1: 0.5}, {1: 0.6})
    histogram = statistics.latency_histogram(range(1, 100_001))
    percentiles = statistics.latency_percentiles(
        statistics.merge_histograms([histogram.encode().decode()] * 2)
    )
    check_trace(
        "experiments-figures",
        [
            *(f"{each}: {comparison.describe_difference(each)}" for each in (same, less, one)),
            *(f"{name} {value:.3f} ms" for name, value in percentiles.items()),
        ],
    )
