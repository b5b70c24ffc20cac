"""Invariants of the program: asserted in debug builds, counted in release builds (`python -O`)."""

from __future__ import annotations

violation_counts: dict[str, int] = {}  # by the description of the invariant


def check_invariant(holds: bool, description: str) -> bool:
    """Return whether the invariant holds; a violation is asserted, or counted if assertions are disabled."""
    if not holds:
        assert not __debug__, description
        violation_counts[description] = violation_counts.get(description, 0) + 1
    return holds
