"""What must hold: asserted in debug builds, counted in release builds (`python -O`)."""

from __future__ import annotations

violation_counts: dict[str, int] = {}


def check_invariant(holds: bool, description: str) -> bool:
    if not holds:
        assert not __debug__, description
        violation_counts[description] = violation_counts.get(description, 0) + 1
    return holds
