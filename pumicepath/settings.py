"""Decoding of the settings a sidecar is born with, once, into what the decisions and their hosts read."""

from __future__ import annotations

import math
from typing import Any

from .interface import Effect, Group, Settings, Tariff

EFFECTS = {
    "idempotent": Effect.IDEMPOTENT, "deduplicated": Effect.DEDUPLICATED, "at_most_once": Effect.UNREPEATABLE,
}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
DAY = 86_400.0


def decode(info: dict[str, Any]) -> Settings:
    limits, rules = info.get("policyLimits", {}), info.get("rules", {})
    return Settings(
        me=info.get("me", 0),
        fleet=max(1, info.get("fleetSize", 1)),
        zone=info.get("zone", 0),
        tariffs=tuple(tariff(entry) for entry in info.get("tariffs", [])),
        crossing_price=info.get("prices", {}).get("crossZone", 0.0),
        must_ask=info.get("membershipMode") == "on_request",
        ask_every=down(rules.get("askEveryS", DAY)),
        most_hops=limits.get("mostHops", 1),
        most_retry_in=down(limits.get("maxRetryAfterS", 0.0)) if limits.get("retryAfter") else 0,
        cold_from=rules.get("coldFrom", 1.0),
        cold_for=math.ceil(rules.get("coldS", 0.0) * 1e6),
        fall_multiple=rules.get("fallMultiple", 1.0),
        fall_window=math.ceil(rules.get("overloadForS", 1.0) * 1e6),
        live=info.get("weights") == "live",
        connection_price=info.get("prices", {}).get("connection", 0.0),
        may_tell=bool(limits.get("mayTell", False)),
        quotas=tuple(float(entry.get("quotaPerS", 0.0)) for entry in info.get("tenants", [])),
    )


def tariff(entry: dict[str, Any]) -> Tariff:
    patience = entry.get("patienceS", DAY)
    return Tariff(
        agreed=down(min(patience, entry.get("agreedTimeS", patience))),
        patience=down(patience),
        gain=entry.get("gain", 1.0),
        late_gain=entry.get("lateGain", 0.0),
        # A word not known here is taken as the strictest, so that nothing is repeated by mistake.
        effect=EFFECTS.get(entry.get("effect", ""), Effect.UNREPEATABLE),
        group=GROUPS.get(entry.get("group", "cell"), Group.CELL),
        window=down(entry.get("windowS", 0.0)),
        stream=bool(entry.get("stream", False)),
    )


def down(seconds: float) -> int:
    return math.floor(seconds * 1e6 + 0.001)
