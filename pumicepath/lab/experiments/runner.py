"""Plays an experiment's runs on all cores; each is stored when it finishes, so an interruption keeps it."""

from __future__ import annotations

import os
import platform
import signal
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from queue import SimpleQueue
from typing import Any

import orjson

from ...compiled import FORM
from ..model.result import summarize
from ..virtual.run import VirtualWorld
from .files import ExperimentRun, LoadedExperiment
from .statistics import latency_histogram

RESULTS_FILE = "results.jsonl"


def play_run(run: ExperimentRun) -> dict[str, Any]:
    """Play one run in this process and return what a report needs of it."""
    cpu_before = time.process_time()
    result = VirtualWorld(run.plan, run.seed, run.policy).run()
    metrics = summarize(result)
    histogram = latency_histogram([latency for latencies in result.latencies for latency in latencies])
    return {
        "arm": run.arm,
        "point": run.point,
        **metrics,
        "cpu_s": round(time.process_time() - cpu_before, 3),
        "first": result.first_violations,
        "columns": result.columns,
        "marks": result.marks,
        "at_servers": result.hops_at_servers,
        "breakers": [[round(fraction, 2) for fraction in row] for row in result.open_breakers],
        "views_wrong": result.wrong_views,
        "latency": histogram.encode().decode(),
    }


def ignore_interrupts() -> None:
    """Ignore SIGINT in a worker: the parent process handles the interrupt and stops its workers."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


@contextmanager
def interrupts_blocked() -> Iterator[None]:
    """Hold SIGINT back from this thread until the end of the block."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT})
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


def play_runs(runs: tuple[ExperimentRun, ...], workers: int) -> Iterator[dict[str, Any]]:
    """Yield results as runs finish.

    However the generator ends, its workers are terminated at once: no run is waited for and no process is
    left running.
    """
    if workers <= 1:
        yield from map(play_run, runs)
        return
    pool = ProcessPoolExecutor(min(workers, len(runs)), initializer=ignore_interrupts)
    finished: SimpleQueue[Future[dict[str, Any]]] = SimpleQueue()
    try:
        # An interrupt must not reach this thread while it holds the lock of a future, which the pool's own
        # thread needs to end: what is waited for is a queue and not the futures.
        with interrupts_blocked():
            for run in runs:
                pool.submit(play_run, run).add_done_callback(finished.put)
        for _ in runs:
            future = finished.get()
            with interrupts_blocked():
                result = future.result()
            yield result
    finally:
        processes = list((pool._processes or {}).values())
        pool.shutdown(wait=False, cancel_futures=True)
        for process in processes:
            process.terminate()
        for process in processes:
            process.join()


def results_header(loaded: LoadedExperiment, runs: int) -> dict[str, Any]:
    """The first line of a results file: what was run, and on what machine."""
    return {
        "experiment": loaded.name,
        "title": loaded.experiment.title,
        "why": loaded.experiment.why,
        "arms": loaded.arms,
        "points": loaded.points,
        "runs": runs,
        "servers": "simulated",
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "form": FORM,
        "machine": platform.machine(),
        "plan": loaded.plan.model_dump(),
    }


def run_experiment(
    loaded: LoadedExperiment, folder: Path, workers: int, on_progress: Callable[[int, int], None]
) -> bool:
    """Play the experiment into `folder`/results.jsonl; return False if it was interrupted.

    `on_progress` is called with the finished and the total number of runs.
    """
    folder.mkdir(parents=True, exist_ok=True)
    count = 0
    with (folder / RESULTS_FILE).open("wb") as out:
        out.write(orjson.dumps(results_header(loaded, len(loaded.runs))) + b"\n")
        try:
            for result in play_runs(loaded.runs, workers):
                out.write(orjson.dumps(result) + b"\n")
                out.flush()
                count += 1
                on_progress(count, len(loaded.runs))
        except KeyboardInterrupt:
            return False
    return True


def read_results(path: Path) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """Read the header and the runs from a report's folder or a results file.

    The runs are sorted by point, arm and seed.  Raises ValueError if the file holds no results.
    """
    file = path / RESULTS_FILE if path.is_dir() else path
    lines = file.read_bytes().splitlines()
    if not lines:
        raise ValueError("no results")
    head, *runs = map(orjson.loads, lines)
    if "experiment" not in head:
        raise ValueError("not results of an experiment")
    return head, sorted(runs, key=lambda run: (run["point"], head["arms"].index(run["arm"]), run["seed"]))
