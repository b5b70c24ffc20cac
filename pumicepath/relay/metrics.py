"""What `/stats` says: `written(relay, now)`, one line `name=value` a figure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..admin.metrics import PREFIX

if TYPE_CHECKING:
    from .loop import Relay


def render(relay: Relay, now: int) -> str:
    held = relay.store
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
    figures: dict[str, int] = {name: relay.counters[name] for name in names}
    figures |= {
        "version": held.version,
        "floor": held.min_version,
        "history": len(held.change_log),
        "servers": len(held.visible),
        "services": len(held.services),
        "live": held.live_regions(),
        "followers": len(relay.followers),
        "most_followers": relay.max_followers,
        "waiting": relay.subscriptions.waiting_count(),
        "interests": len(relay.subscriptions.groups),
        "whole_waiting": len(relay.whole_list_pacer.queue),
        "slow": len(relay.slow_followers),
        "unsent": relay.unsent_bytes,
        "up_s": (now - relay.started_at) // 1_000_000,
    }
    for name, region in held.regions.items():
        figures |= {
            f"region.{name}.seq": region.seq,
            f"region.{name}.live": int(region.live),
            f"region.{name}.servers": len(region.entries),
        }
    return "".join(f"{PREFIX}.relay.{name}={value}\n" for name, value in figures.items())
