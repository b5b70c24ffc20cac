"""Decoding of the settings a sidecar is born with, once, into what the decisions and their hosts read."""

from __future__ import annotations

import math
from typing import Any

from .interface import DedupGroup, Effect, RequestClass, Settings

EFFECT_BY_WORD = {
    "idempotent": Effect.IDEMPOTENT,
    "deduplicated": Effect.DEDUPLICATED,
    "at_most_once": Effect.NON_IDEMPOTENT,
}
DEDUP_GROUP_BY_WORD = {"all": DedupGroup.ALL, "zone": DedupGroup.ZONE, "cell": DedupGroup.CELL}
DAY_S = 86_400.0


def decode_settings(info: dict[str, Any]) -> Settings:
    limits, rules = info.get("policyLimits", {}), info.get("rules", {})
    return Settings(
        sidecar_index=info.get("me", 0),
        fleet_size=max(1, info.get("fleetSize", 1)),
        zone=info.get("zone", 0),
        request_classes=tuple(decode_request_class(entry, info) for entry in info.get("tariffs", [])),
        cross_zone_cost=info.get("prices", {}).get("crossZone", 0.0),
        polls_list=info.get("membershipMode") == "on_request",
        poll_interval=to_microseconds(rules.get("askEveryS", DAY_S)),
        max_hops=limits.get("mostHops", 1),
        max_retry_after=to_microseconds(limits.get("maxRetryAfterS", 0.0)) if limits.get("retryAfter") else 0,
        cold_fraction=rules.get("coldFrom", 1.0),
        cold_duration=math.ceil(rules.get("coldS", 0.0) * 1e6),
        overload_multiple=rules.get("fallMultiple", 1.0),
        overload_window=math.ceil(rules.get("overloadForS", 1.0) * 1e6),
        live_weights=info.get("weights") == "live",
        connection_cost=info.get("prices", {}).get("connection", 0.0),
        clients_mark_retries=bool((info.get("clientHabits") or {}).get("marksRetry", False)),
        hedging_allowed=bool(limits.get("secondCopies", False)),
        full_may_have_run=bool(rules.get("fullUnproven", False)),
        only_draining_removes=bool(rules.get("drainBindsAlone", False)),
        peer_messages_allowed=bool(limits.get("mayTell", False)),
        tenant_quotas=tuple(float(entry.get("quotaPerS", 0.0)) for entry in info.get("tenants", [])),
    )


def decode_request_class(entry: dict[str, Any], info: dict[str, Any]) -> RequestClass:
    patience = entry.get("patienceS", DAY_S)
    return RequestClass(
        latency_target=to_microseconds(min(patience, entry.get("agreedTimeS", patience))),
        deadline=to_microseconds(patience),
        value=entry.get("gain", 1.0),
        late_value=entry.get("lateGain", 0.0),
        # A word not known here is taken as the strictest, so that nothing is repeated by mistake.
        effect=EFFECT_BY_WORD.get(entry.get("effect", ""), Effect.NON_IDEMPOTENT),
        dedup_group=DEDUP_GROUP_BY_WORD.get(entry.get("group", "cell"), DedupGroup.CELL),
        dedup_window=to_microseconds(entry.get("windowS", 0.0)),
        stream=bool(entry.get("stream", False)),
        name=str(entry.get("name", "")),
        zones=resolve_indexes(entry.get("allowedIn"), info.get("dcs")),
        kinds=resolve_indexes(entry.get("kindsAllowed"), info.get("kinds")),
    )


def resolve_indexes(places: list[Any] | None, names: list[str] | None) -> tuple[int, ...] | None:
    """Zones or kinds, each by its number or its name, by their numbers; one that has no name here is none."""
    if places is None:
        return None
    known = {name: at for at, name in enumerate(names or [])}
    return tuple(sorted(one if isinstance(one, int) else known.get(one, -1) for one in places))


NUMBER_RANGE = (0.0, 1e9)
TIME_RANGE_S = (1e-6, 1e9)
FRACTION_RANGE = (0.0, 1.0)
COUNT_RANGE = (0, 1 << 31)
# Each key that is read, with its range or its words; what is not named here is skipped, as the wire asks.
ALLOWED_VALUES: dict[str, Any] = {
    "me": COUNT_RANGE,
    "fleetSize": (1, 1 << 31),
    "zone": COUNT_RANGE,
    "weights": ("off", "nominal", "rough", "live"),
    "membershipMode": ("pushed", "on_request"),
    "prices.crossZone": NUMBER_RANGE,
    "prices.connection": NUMBER_RANGE,
    "rules.askEveryS": NUMBER_RANGE,
    "rules.coldFrom": FRACTION_RANGE,
    "rules.coldS": NUMBER_RANGE,
    "rules.fallMultiple": NUMBER_RANGE,
    "rules.overloadForS": NUMBER_RANGE,
    "policyLimits.mostHops": (1, 1 << 31),
    "policyLimits.maxRetryAfterS": NUMBER_RANGE,
    "rules.drainBindsAlone": bool,
    "rules.fullUnproven": bool,
    "policyLimits.retryAfter": bool,
    "policyLimits.mayTell": bool,
    "policyLimits.secondCopies": bool,
    "clientHabits.marksRetry": bool,
    "policyLimits.connIdleS": NUMBER_RANGE,
    "policyLimits.dialTimeoutS": NUMBER_RANGE,
}
REQUEST_CLASS_ALLOWED: dict[str, Any] = {
    "agreedTimeS": TIME_RANGE_S,
    "patienceS": TIME_RANGE_S,
    "gain": NUMBER_RANGE,
    "lateGain": NUMBER_RANGE,
    "windowS": NUMBER_RANGE,
    "effect": tuple(EFFECT_BY_WORD),
    "group": tuple(DEDUP_GROUP_BY_WORD),
    "stream": bool,
}
# Null stands for nothing that these could mean.
NON_NULL_KEYS = ("agreedTimeS", "patienceS", "policyLimits.mostHops")
# What a file need not have though the one before it had: optional on the wire.
OPTIONAL_KEYS = (
    "rules.drainBindsAlone",
    "rules.fullUnproven",
    "weights",
    "prices.connection",
    "policyLimits.mayTell",
    "policyLimits.secondCopies",
    "clientHabits.marksRetry",
    "stream",
)
# Where a tariff may be served, and the names that such places have.
PLACEMENT_NAMES = {"allowedIn": "dcs", "kindsAllowed": "kinds"}
TENANT_ALLOWED: dict[str, Any] = {"quotaPerS": NUMBER_RANGE}
# What may be set and the platform of real sidecars has no way for, with the values that ask for nothing.
UNSUPPORTED_KEYS: dict[str, tuple] = {
    "policyLimits.mayTell": (None, False),
    "policyLimits.secondCopies": (None, False),
    "policyLimits.streamsPerConn": (None, 1),
    "report.how": (None, "off"),
}


def check_settings(info: dict[str, Any]) -> None:
    """Raises ValueError that names the first key whose value can't be meant."""
    for part in ("prices", "rules", "policyLimits", "clientHabits"):
        if not isinstance(info.get(part, {}), dict):
            raise ValueError(f"settings.{part} is no object")
    for key, allowed in ALLOWED_VALUES.items():
        part, _, name = key.rpartition(".")
        check_value(
            "settings." + key,
            find_value(info, key),
            allowed,
            key in NON_NULL_KEYS and name in (info.get(part) or {}),
        )
    for places in PLACEMENT_NAMES.values():
        if not isinstance(info.get(places) or [], list):
            raise ValueError(f"settings.{places} is no list")
    for part, keys in (("tariffs", REQUEST_CLASS_ALLOWED), ("tenants", TENANT_ALLOWED)):
        names = []
        if not isinstance(info.get(part) or [], list):
            raise ValueError(f"settings.{part} is no list")
        for at, entry in enumerate(info.get(part) or []):
            if not isinstance(entry, dict):
                raise ValueError(f"settings.{part}[{at}] is no object")
            for key, allowed in keys.items():
                check_value(
                    f"settings.{part}[{at}].{key}",
                    entry.get(key),
                    allowed,
                    key in NON_NULL_KEYS and key in entry,
                )
            for key, known in PLACEMENT_NAMES.items() if part == "tariffs" else ():
                check_placement(f"settings.{part}[{at}].{key}", entry.get(key), known, info.get(known) or [])
            if entry.get("effect") == "deduplicated" and entry.get("windowS", 1) == 0:
                raise ValueError(f"settings.{part}[{at}].windowS: 0 is no time in which a repeat is dropped")
            names.append(str(entry.get("name", at)))
        if len(set(names)) < len(names):
            twice = next(name for name in names if names.count(name) > 1)
            raise ValueError(f"settings.{part}: one name twice: {twice!r}")
    if "fleetSize" in info and info.get("me", 0) >= info["fleetSize"]:
        raise ValueError(f"settings.me: {info['me']} is none of {info['fleetSize']} sidecars")
    if info.get("dcs") and info.get("zone", 0) >= len(info["dcs"]):
        raise ValueError(f"settings.zone: {info['zone']} is none of {len(info['dcs'])} dcs")


def find_value(info: dict[str, Any], key: str) -> Any:
    part, _, name = key.rpartition(".")
    return (info.get(part) or {}).get(name) if part else info.get(name)


def present_keys(info: dict[str, Any]) -> frozenset[str]:
    """The keys that are read and are there, of tariffs those that all of them have, but for optional ones."""
    read = ("dcs", *(key for key in ALLOWED_VALUES if key not in OPTIONAL_KEYS))
    keys = {"settings." + key for key in read if find_value(info, key) is not None}
    for key in REQUEST_CLASS_ALLOWED:
        if key not in OPTIONAL_KEYS and all(
            entry.get(key) is not None for entry in info.get("tariffs") or []
        ):
            keys.add(f"settings.tariffs[].{key}")
    return frozenset(keys)


def check_value(key: str, value: Any, allowed: Any, needed: bool = False) -> None:
    if value is None and not needed:
        return
    if allowed is bool:
        fits = isinstance(value, bool)
    elif isinstance(allowed[0], str):
        fits = value in allowed
    else:
        kinds = (int,) if isinstance(allowed[0], int) else (int, float)
        fits = isinstance(value, kinds) and not isinstance(value, bool) and allowed[0] <= value <= allowed[1]
    if not fits:
        wanted = (
            "true or false"
            if allowed is bool
            else " or ".join(map(str, allowed))
            if isinstance(allowed[0], str)
            else f"from {allowed[0]} to {allowed[1]}"
        )
        raise ValueError(f"{key}: {value!r} is not {wanted}")


def check_placement(key: str, places: Any, known: str, names: list[str]) -> None:
    """One that can't be told would leave its tariff nowhere to go, or anywhere."""
    if places is None:
        return
    if not isinstance(places, list) or not places:
        raise ValueError(f"{key}: {places!r} is not a list of some {known}")
    for one in places:
        number = isinstance(one, int) and not isinstance(one, bool) and one >= 0
        if one not in names and (not number or names and one >= len(names)):
            raise ValueError(f"{key}: {one!r} is none of {known}")


def unsupported_keys(info: dict[str, Any]) -> list[str]:
    """Keys that are set and do nothing in a real sidecar."""
    return [key for key, nothing in UNSUPPORTED_KEYS.items() if find_value(info, key) not in nothing]


def to_microseconds(seconds: float) -> int:
    return math.floor(seconds * 1e6 + 0.001)
