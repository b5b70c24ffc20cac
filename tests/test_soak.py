"""Short seeded runs of one sidecar among misuse, restarts and hanging servers; see benchmarks/soak.py."""

from __future__ import annotations

from pathlib import Path

import pytest

from pumicepath.lab.loopback.soak import SoakPlan, run_soak

SECONDS = 8.0


# Report 000ac8: processes past their memory limit, answers cut off, requests lost beside a crowd.
@pytest.mark.parametrize("seed", [4, 11, 18, 25])
def test_no_request_is_lost_and_none_that_must_not_runs_twice(seed: int, tmp_path: Path) -> None:
    result = run_soak(SoakPlan.draw(seed, SECONDS), tmp_path)
    assert not result.problems, result.plan
    assert result.served.outcomes["served"] and result.unsafe.outcomes["served"]
