"""Merges a relay's answer into the server list; imported only where a watch follows relays."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from ..distribution.regions import RegionTracker, parse_regions
from .server_list import BadList, ServerListUpdate

if TYPE_CHECKING:
    from .watch import Watch


def merge_relay_answer(watch: Watch, regions: RegionTracker, data: dict[str, Any]) -> ServerListUpdate:
    """Apply a relay's answer to the list of `watch`, without what is older than what is held already.

    A whole list is reduced to its differences from the list held, together with the lines held of regions
    that the answer does not mention: when relays die, all sidecars get whole lists at once in which hardly
    a line is new.

    Raises BadList for an answer that is malformed or that must not replace the list held.
    """
    held = watch.server_list.lines
    try:
        reported, whole, version = parse_regions(data["regions"]), bool(data["whole"]), int(data["seq"])
        judged = regions.evaluate(watch.clock(), reported, whole, watch.asked_at)
        lines = regions.merge(judged, reported, whole, data["hosts"], held)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise BadList(f"{type(error).__name__}: {error}") from error
    if not whole and version < watch.version or not whole and watch.version < 0:
        raise BadList(f"changes up to {version} after {watch.version}")
    if not judged.accepted:
        lines = []
    replaces = whole and bool(judged.accepted) and not held
    if whole and judged.accepted and held:
        lines = list_differences(held, lines)
    update = watch.server_list.apply({"seq": version, "whole": replaces, "hosts": lines})
    regions.commit(reported, judged)
    watch.version = -1 if judged.needs_whole else version
    watch.ask_immediately = False
    return update


def list_differences(held: Mapping[str, Any], lines: Sequence[dict[str, Any]]) -> list[dict[str, Any]]:
    """The changes that turn the lines held into `lines`, which name each server at most once."""
    present = {line["host"] for line in lines}
    gone = [{**line, "health": "left"} for name, line in held.items() if name not in present]
    return gone + [line for line in lines if held.get(line["host"]) != line]
