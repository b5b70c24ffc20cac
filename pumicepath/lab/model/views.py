"""Compares what sidecars believe about the members of their fleet with the processes that run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

PRESENT_STATES = ("alive", "suspected")


def is_view_correct(own_name: str, view: Collection[tuple[str, str]], running: Collection[str]) -> bool:
    """Whether a sidecar believes exactly the other running sidecars present.

    `view` has the name and state of each instance that the sidecar knows.
    """
    present = Counter(name for name, state in view if state in PRESENT_STATES)
    return present == Counter(name for name in running if name != own_name)


def sidecars_with_wrong_view(
    views: Mapping[str, Collection[tuple[str, str]]], running: Collection[str]
) -> list[str]:
    """Names of running sidecars without a correct view of the fleet, in order."""
    return [
        name
        for name in sorted(running)
        if name not in views or not is_view_correct(name, views[name], running)
    ]
