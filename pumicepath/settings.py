"""Checks the settings of a sidecar and decodes them into what the decisions and their hosts read.

The settings are a JSON object; durations in it are seconds, decoded ones are whole microseconds.
"""

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
    """Decode the settings of one sidecar, with defaults for missing keys; `check_settings` comes first."""
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
    """Decode one request class; `info` has the names of zones and server kinds."""
    deadline_s = entry.get("patienceS", DAY_S)
    return RequestClass(
        latency_target=to_microseconds(min(deadline_s, entry.get("agreedTimeS", deadline_s))),
        deadline=to_microseconds(deadline_s),
        value=entry.get("gain", 1.0),
        late_value=entry.get("lateGain", 0.0),
        # An unknown word means non-idempotent, the strictest, so that nothing is retried by mistake.
        effect=EFFECT_BY_WORD.get(entry.get("effect", ""), Effect.NON_IDEMPOTENT),
        dedup_group=DEDUP_GROUP_BY_WORD.get(entry.get("group", "cell"), DedupGroup.CELL),
        dedup_window=to_microseconds(entry.get("windowS", 0.0)),
        stream=bool(entry.get("stream", False)),
        name=str(entry.get("name", "")),
        zones=resolve_indexes(entry.get("allowedIn"), info.get("dcs")),
        kinds=resolve_indexes(entry.get("kindsAllowed"), info.get("kinds")),
    )


def resolve_indexes(references: list[Any] | None, names: list[str] | None) -> tuple[int, ...] | None:
    """Return the sorted indexes of zones or server kinds that are given by index or name.

    An unknown name becomes -1, which matches no zone or kind.  None, for no restriction, stays None.
    """
    if references is None:
        return None
    indexes = {name: index for index, name in enumerate(names or [])}
    return tuple(sorted(each if isinstance(each, int) else indexes.get(each, -1) for each in references))


NUMBER_RANGE = (0.0, 1e9)
TIME_RANGE_S = (1e-6, 1e9)
FRACTION_RANGE = (0.0, 1.0)
COUNT_RANGE = (0, 1 << 31)
# Each key that is read, with its range or its allowed words.  Unknown keys are ignored, as the simulator's
# protocol requires.
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
# Keys that may be missing but not null, since null has no meaning for them.
NON_NULL_KEYS = ("agreedTimeS", "patienceS", "policyLimits.mostHops")
# Optional keys of the protocol: a configuration may leave them out even if the one that it replaces had them.
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
# Keys of a request class that restrict where it is served, and the lists that name the allowed values.
PLACEMENT_NAMES = {"allowedIn": "dcs", "kindsAllowed": "kinds"}
TENANT_ALLOWED: dict[str, Any] = {"quotaPerS": NUMBER_RANGE}
# Keys that may be set but that real sidecars have no way to support, with the values that request nothing.
UNSUPPORTED_KEYS: dict[str, tuple] = {
    "policyLimits.mayTell": (None, False),
    "policyLimits.secondCopies": (None, False),
    "policyLimits.streamsPerConn": (None, 1),
    "report.how": (None, "off"),
}


def check_settings(info: dict[str, Any]) -> None:
    """Check the settings; raises ValueError that names the first key with an invalid value."""
    for section in ("prices", "rules", "policyLimits", "clientHabits"):
        if not isinstance(info.get(section, {}), dict):
            raise ValueError(f"settings.{section} is no object")
    for key, allowed in ALLOWED_VALUES.items():
        section, _, name = key.rpartition(".")
        check_value(
            "settings." + key,
            find_value(info, key),
            allowed,
            key in NON_NULL_KEYS and name in (info.get(section) or {}),
        )
    for list_key in PLACEMENT_NAMES.values():
        if not isinstance(info.get(list_key) or [], list):
            raise ValueError(f"settings.{list_key} is no list")
    for section, keys in (("tariffs", REQUEST_CLASS_ALLOWED), ("tenants", TENANT_ALLOWED)):
        names = []
        if not isinstance(info.get(section) or [], list):
            raise ValueError(f"settings.{section} is no list")
        for index, entry in enumerate(info.get(section) or []):
            if not isinstance(entry, dict):
                raise ValueError(f"settings.{section}[{index}] is no object")
            for key, allowed in keys.items():
                check_value(
                    f"settings.{section}[{index}].{key}",
                    entry.get(key),
                    allowed,
                    key in NON_NULL_KEYS and key in entry,
                )
            for key, names_key in PLACEMENT_NAMES.items() if section == "tariffs" else ():
                check_placement(
                    f"settings.{section}[{index}].{key}", entry.get(key), names_key, info.get(names_key) or []
                )
            if entry.get("effect") == "deduplicated" and entry.get("windowS", 1) == 0:
                raise ValueError(
                    f"settings.{section}[{index}].windowS: 0 is no time in which a repeat is dropped"
                )
            names.append(str(entry.get("name", index)))
        if len(set(names)) < len(names):
            duplicate = next(name for name in names if names.count(name) > 1)
            raise ValueError(f"settings.{section}: one name twice: {duplicate!r}")
    if "fleetSize" in info and info.get("me", 0) >= info["fleetSize"]:
        raise ValueError(f"settings.me: {info['me']} is none of {info['fleetSize']} sidecars")
    if info.get("dcs") and info.get("zone", 0) >= len(info["dcs"]):
        raise ValueError(f"settings.zone: {info['zone']} is none of {len(info['dcs'])} dcs")


def find_value(info: dict[str, Any], key: str) -> Any:
    """Return the value of a key, which may be `section.name`; None if it is missing."""
    section, _, name = key.rpartition(".")
    return (info.get(section) or {}).get(name) if section else info.get(name)


def present_keys(info: dict[str, Any]) -> frozenset[str]:
    """Return the keys that are read and present, without optional ones.

    A key of request classes counts as present if all of them have it.
    """
    required = ("dcs", *(key for key in ALLOWED_VALUES if key not in OPTIONAL_KEYS))
    keys = {"settings." + key for key in required if find_value(info, key) is not None}
    for key in REQUEST_CLASS_ALLOWED:
        if key not in OPTIONAL_KEYS and all(
            entry.get(key) is not None for entry in info.get("tariffs") or []
        ):
            keys.add(f"settings.tariffs[].{key}")
    return frozenset(keys)


def check_value(key: str, value: Any, allowed: Any, required: bool = False) -> None:
    """Check one value; raises ValueError that names the key.

    `allowed` is `bool`, a tuple of words, or the inclusive limits of a number (of an integer, if they are
    integers).  A missing value is valid unless it is required.
    """
    if value is None and not required:
        return
    if allowed is bool:
        valid = isinstance(value, bool)
    elif isinstance(allowed[0], str):
        valid = value in allowed
    else:
        types = (int,) if isinstance(allowed[0], int) else (int, float)
        valid = isinstance(value, types) and not isinstance(value, bool) and allowed[0] <= value <= allowed[1]
    if not valid:
        expected = (
            "true or false"
            if allowed is bool
            else " or ".join(map(str, allowed))
            if isinstance(allowed[0], str)
            else f"from {allowed[0]} to {allowed[1]}"
        )
        raise ValueError(f"{key}: {value!r} is not {expected}")


def check_placement(key: str, references: Any, names_key: str, names: list[str]) -> None:
    """Check the zones or server kinds of a request class; raises ValueError that names the key.

    A reference that can't be resolved would leave the class without any server, or without its restriction.
    """
    if references is None:
        return
    if not isinstance(references, list) or not references:
        raise ValueError(f"{key}: {references!r} is not a list of some {names_key}")
    for each in references:
        is_index = isinstance(each, int) and not isinstance(each, bool) and each >= 0
        if each not in names and (not is_index or names and each >= len(names)):
            raise ValueError(f"{key}: {each!r} is none of {names_key}")


def unsupported_keys(info: dict[str, Any]) -> list[str]:
    """Return the keys that are set but have no effect in a real sidecar."""
    return [key for key, ignored in UNSUPPORTED_KEYS.items() if find_value(info, key) not in ignored]


def to_microseconds(seconds: float) -> int:
    """Round down to whole microseconds; the 0.001 makes up for the rounding error of the product."""
    return math.floor(seconds * 1e6 + 0.001)
