"""What must hold: asserted in debug builds, counted in release builds (`python -O`)."""

from __future__ import annotations

broken: dict[str, int] = {}


def must(holds: bool, what: str) -> bool:
    if not holds:
        assert not __debug__, what
        broken[what] = broken.get(what, 0) + 1
    return holds
