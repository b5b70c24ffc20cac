"""What a relay's answer changes of the list held; only watches on relays import this."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from ..distribution.regions import RegionTracker, parse_regions
from .server_list import BadList, ServerListUpdate
from .watch import REQUIRED_CONFIRMATIONS

if TYPE_CHECKING:
    from .watch import Watch


def merge_relay_answer(watch: Watch, regions: RegionTracker, data: dict[str, Any]) -> ServerListUpdate:
    """What a relay's answer says, without what is older than what was taken.

    Of a whole list the differences from the one held, with all that it does not speak of: when relays die
    all sidecars get whole lists at once, of which hardly a line is new.
    """
    held = watch.server_list.lines
    try:
        told, whole, version = parse_regions(data["regions"]), bool(data["whole"]), int(data["seq"])
        judged = regions.evaluate(watch.clock(), told, whole, watch.asked_at)
        lines = regions.merge(judged, told, whole, data["hosts"], held)
    except (KeyError, TypeError, ValueError, AttributeError) as trouble:
        raise BadList(f"{type(trouble).__name__}: {trouble}") from trouble
    if not whole and version < watch.version or not whole and watch.version < 0:
        raise BadList(f"changes up to {version} after {watch.version}")
    if not judged.accepted:
        lines = []
    elif whole and held and not lines:
        # Guards all servers against one empty list; a service that has none left is believed in the end.
        watch.empty_lists += 1
        if watch.empty_lists < REQUIRED_CONFIRMATIONS:
            raise BadList("an empty list")
    if lines:
        watch.empty_lists = 0
    anew = whole and bool(judged.accepted) and not held
    if whole and judged.accepted and held:
        lines = list_differences(held, lines)
    update = watch.server_list.apply({"seq": version, "whole": anew, "hosts": lines})
    regions.commit(told, judged)
    watch.version = -1 if judged.needs_whole else version
    watch.ask_immediately = False
    return update


def list_differences(held: Mapping[str, Any], lines: Sequence[dict[str, Any]]) -> list[dict[str, Any]]:
    """What has to be told so that what is held becomes these lines, by servers that each stand there once."""
    here = {line["host"] for line in lines}
    gone = [{**line, "health": "left"} for name, line in held.items() if name not in here]
    return gone + [line for line in lines if held.get(line["host"]) != line]
