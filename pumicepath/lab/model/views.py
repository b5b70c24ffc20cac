"""Whether what sidecars see of their fleet is so: `right` for one view, `wrong` for all of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

PRESENT_STATES = ("alive", "suspected")


def is_view_correct(own_name: str, view: Collection[tuple[str, str]], running: Collection[str]) -> bool:
    """`view` has name and state of each life that a sidecar knows; those thought present must be who runs."""
    present = Counter(name for name, state in view if state in PRESENT_STATES)
    return present == Counter(name for name in running if name != own_name)


def sidecars_with_wrong_view(
    views: Mapping[str, Collection[tuple[str, str]]], running: Collection[str]
) -> list[str]:
    """Names of those that run and see something else than who runs."""
    return [
        name
        for name in sorted(running)
        if name not in views or not is_view_correct(name, views[name], running)
    ]
