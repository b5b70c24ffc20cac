"""What `/stats` says: `written(relay, now)`, one line `name=value` a figure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..admin.figures import PREFIX

if TYPE_CHECKING:
    from .loop import Relay


def written(relay: Relay, now: int) -> str:
    held = relay.held
    names = (
        "calls",
        "answers",
        "bytes",
        "whole",
        "changes",
        "concerned",
        "refused",
        "refused_whole",
        "refused_full",
        "cut_slow",
        "idle",
        "lists_refused",
        "late",
        "faults",
        "turns",
    )
    figures: dict[str, int] = {name: relay.counts[name] for name in names}
    figures |= {
        "version": held.version,
        "floor": held.min_version,
        "history": len(held.change_log),
        "servers": len(held.visible),
        "services": len(held.services),
        "live": held.live_regions(),
        "followers": len(relay.followers),
        "most_followers": relay.most,
        "waiting": relay.subscriptions.waiting_count(),
        "interests": len(relay.subscriptions.groups),
        "whole_waiting": len(relay.pace.queue),
        "slow": len(relay.slowed),
        "unsent": relay.unsent,
        "up_s": (now - relay.started) // 1_000_000,
    }
    for name, region in held.regions.items():
        figures |= {
            f"region.{name}.seq": region.seq,
            f"region.{name}.live": int(region.live),
            f"region.{name}.servers": len(region.entries),
        }
    return "".join(f"{PREFIX}.relay.{name}={value}\n" for name, value in figures.items())
