"""Runs of an experiment on all cores; what has ended is kept whatever happens to the rest."""

from __future__ import annotations

import os
import platform
import signal
import time
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from pathlib import Path
from typing import Any

import orjson

from ...compiled import FORM
from ..model.result import summarize
from ..virtual.run import VirtualWorld
from .files import ExperimentRun, LoadedExperiment
from .statistics import latency_histogram

RESULTS_FILE = "results.jsonl"


def play_run(run: ExperimentRun) -> dict[str, Any]:
    """One run in this process, and all that a report needs of it."""
    began = time.process_time()
    result = VirtualWorld(run.plan, run.seed, run.policy).run()
    told = summarize(result)
    held = latency_histogram([spent for times in result.latencies for spent in times])
    return {
        "arm": run.arm,
        "point": run.point,
        **told,
        "cpu_s": round(time.process_time() - began, 3),
        "first": result.first_violations,
        "columns": result.columns,
        "marks": result.marks,
        "at_servers": result.hops_at_servers,
        "breakers": [[round(share, 2) for share in row] for row in result.open_breakers],
        "views_wrong": result.wrong_views,
        "latency": held.encode().decode(),
    }


def ignore_interrupts() -> None:
    """A worker leaves an interrupt to the process that started it."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def play_runs(runs: tuple[ExperimentRun, ...], workers: int) -> Iterator[dict[str, Any]]:
    """Results as they end.  However this is left, no process stays behind, and nothing waits for one."""
    if workers <= 1:
        yield from map(play_run, runs)
        return
    pool = ProcessPoolExecutor(min(workers, len(runs)), initializer=ignore_interrupts)
    try:
        waiting: set[Future[dict[str, Any]]] = {pool.submit(play_run, run) for run in runs}
        while waiting:
            done, waiting = wait(waiting, return_when=FIRST_COMPLETED)
            for each in done:
                yield each.result()
    finally:
        processes = list((pool._processes or {}).values())
        pool.shutdown(wait=False, cancel_futures=True)
        for process in processes:
            process.terminate()
        for process in processes:
            process.join()


def results_header(read: LoadedExperiment, runs: int) -> dict[str, Any]:
    """The first line of results: what was run, where."""
    return {
        "experiment": read.name,
        "title": read.experiment.title,
        "why": read.experiment.why,
        "arms": read.arms,
        "points": read.points,
        "runs": runs,
        "servers": "simulated",
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "form": FORM,
        "machine": platform.machine(),
        "plan": read.plan.model_dump(),
    }


def run_experiment(
    read: LoadedExperiment, folder: Path, workers: int, on_progress: Callable[[int, int], None]
) -> bool:
    """Play the whole experiment into `folder`/results.jsonl; False if it was interrupted."""
    folder.mkdir(parents=True, exist_ok=True)
    count = 0
    with (folder / RESULTS_FILE).open("wb") as out:
        out.write(orjson.dumps(results_header(read, len(read.runs))) + b"\n")
        try:
            for result in play_runs(read.runs, workers):
                out.write(orjson.dumps(result) + b"\n")
                out.flush()
                count += 1
                on_progress(count, len(read.runs))
        except KeyboardInterrupt:
            return False
    return True


def read_results(path: Path) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """Head and runs of a report's folder or of its file of results; ValueError if it is none."""
    file = path / RESULTS_FILE if path.is_dir() else path
    lines = file.read_bytes().splitlines()
    if not lines:
        raise ValueError("no results")
    first, *rest = map(orjson.loads, lines)
    if "experiment" not in first:
        raise ValueError("not results of an experiment")
    return first, sorted(rest, key=lambda one: (one["point"], first["arms"].index(one["arm"]), one["seed"]))
