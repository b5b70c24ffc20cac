"""A process stays within its memory limit, whatever many clients at once put on their connections."""

from __future__ import annotations

from pathlib import Path

import pytest

from pumicepath.lab.loopback.memory_trial import MemoryTrial, run_memory_trial

EXPIRES_MS = 2500  # for honest requests: a busy machine must not decide


# Processes passed their limit, and honest clients got no answer, beside a crowd (report 000ac8).
@pytest.mark.parametrize("form", ["stopped chunks"])
def test_a_crowd_neither_takes_a_process_past_its_limit_nor_keeps_answers_from_honest_clients(
    form: str, tmp_path: Path
) -> None:
    trial = MemoryTrial(form, memory_mb=64, clients=250, seconds=3.0, expires_ms=EXPIRES_MS)
    result = run_memory_trial(trial, tmp_path)
    assert result.peak_mb <= trial.memory_mb
    assert result.served.lost == 0, result.served
    assert result.served.outcomes["served"] > 0
