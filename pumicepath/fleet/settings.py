"""Settings of peers: `decode` returns them, or raises ValueError that names the offending key.

Times are whole microseconds. Without the key `peers` in the file nothing of this package is used.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

MAX_NAME_BYTES = 64  # of names in messages
MAX_SEEDS = 16
TIMEOUT_FRACTION = 0.3  # of the probe interval: the default of `timeoutS`
KEYS = ("listen", "seeds", "advertise", "fleet", "everyS", "timeoutS", "most")
DUTY_KEYS = ("voters", "votersBefore", "leaseS", "longestS", "drift", "trials")
ENVIRONMENT = {"listen": "GW_PEERS_LISTEN", "seeds": "GW_PEERS_SEEDS", "advertise": "GW_PEERS_ADVERTISE"}
RANGES = {
    "everyS": (0.05, 60.0),
    "timeoutS": (0.01, 30.0),
    "most": (1, 20_000),
    "leaseS": (0.5, 60.0),
    "longestS": (0.5, 300.0),
    "drift": (0.0, 0.1),
}
VOTER_COUNTS = (1, 3, 5)


@dataclass(frozen=True)
class Voting:
    """The voters that grant duties; times in microseconds.

    A claim needs a majority of each of `voter_sets`. `max_lease` is the longest lease that a voter here
    grants, and the basis of its silence after a start. `drift` is the fraction by which clocks may run fast
    or slow. With `shared_trials` one sidecar per zone at a time makes the trials of an unhealthy server.
    """

    voter_sets: tuple[tuple[str, ...], ...]
    lease: int = 10_000_000
    max_lease: int = 10_000_000
    drift: float = 0.01
    shared_trials: bool = False


@dataclass(frozen=True)
class PeerSettings:
    """Settings of the membership and, in `voting`, of duties.

    `listen` and `advertise` are host:port; others reach this sidecar at `advertise`, or at `listen` if it
    is empty. `probe_interval` is the time between two probes, `probe_timeout` that after which others are
    asked to ping. `max_peers` is the capacity of the member table. Messages of sidecars with another
    `fleet` are rejected.
    """

    listen: str
    seeds: tuple[str, ...] = ()
    advertise: str = ""
    fleet: str = ""
    probe_interval: int = 1_000_000
    probe_timeout: int = 300_000
    max_peers: int = 4096
    voting: Voting | None = None

    def without_voting(self) -> PeerSettings:
        """The settings that are read at the start only; those of voting are applied at each reload."""
        return replace(self, voting=None)


def decode(raw: Any, environment: Mapping[str, str]) -> PeerSettings:
    """The settings from the file's object; the environment takes precedence. Raises ValueError."""
    if raw is not None and not isinstance(raw, dict):
        raise ValueError("peers must be an object")
    values: dict[str, Any] = dict(raw or {})
    for key, name in ENVIRONMENT.items():
        if environment.get(name):
            parts = [part.strip() for part in environment[name].split(",")]
            values[key] = [part for part in parts if part] if key == "seeds" else parts[0]
    for key in values:
        if key not in KEYS + DUTY_KEYS:
            raise ValueError(f"peers.{key}: unknown key; valid keys are {', '.join(KEYS + DUTY_KEYS)}")
    if "listen" not in values:
        raise ValueError("peers.listen is missing")
    seeds = values.get("seeds", [])
    if not isinstance(seeds, list) or len(seeds) > MAX_SEEDS:
        raise ValueError(f"peers.seeds must be a list of at most {MAX_SEEDS} addresses")
    for index, seed in enumerate(seeds):
        decode_reachable_address(f"peers.seeds[{index}]", seed)
    listen = decode_address("peers.listen", values["listen"])
    advertise = (
        decode_reachable_address("peers.advertise", values["advertise"]) if values.get("advertise") else ""
    )
    if listen.startswith("0.0.0.0:") and not advertise:
        raise ValueError("peers.advertise is missing: other sidecars can't send to 0.0.0.0")
    fleet = values.get("fleet", "")
    if not isinstance(fleet, str) or len(fleet.encode()) > MAX_NAME_BYTES:
        raise ValueError(f"peers.fleet: {fleet!r} is not a name of at most {MAX_NAME_BYTES} bytes")
    for key, (minimum, maximum) in RANGES.items():
        value = values.get(key, minimum)
        if (
            isinstance(value, bool)
            or not isinstance(value, type(minimum) if key == "most" else (int, float))
            or not minimum <= value <= maximum
        ):
            raise ValueError(f"peers.{key}: {value!r} is not a number from {minimum} to {maximum}")
    probe_interval_s = float(values.get("everyS", 1.0))
    probe_timeout_s = float(values.get("timeoutS", probe_interval_s * TIMEOUT_FRACTION))
    if 2 * probe_timeout_s > probe_interval_s:
        raise ValueError(
            f"peers.timeoutS: {probe_timeout_s:g} is over half of everyS: no time is left for indirect probes"
        )
    return PeerSettings(
        listen,
        tuple(seeds),
        advertise,
        fleet,
        round(probe_interval_s * 1e6),
        round(probe_timeout_s * 1e6),
        values.get("most", PeerSettings.max_peers),
        decode_voting(values),
    )


def decode_voting(values: Mapping[str, Any]) -> Voting | None:
    """The settings of duties, whose numbers have been checked; None without voters. Raises ValueError."""
    if "voters" not in values:
        for key in DUTY_KEYS:
            if key in values:
                raise ValueError(f"peers.{key}: needs peers.voters")
        return None
    sets = [decode_voters("voters", values["voters"])]
    if "votersBefore" in values:
        sets.append(decode_voters("votersBefore", values["votersBefore"]))
    trials = values.get("trials", False)
    if not isinstance(trials, bool):
        raise ValueError(f"peers.trials: {trials!r} is not true or false")
    lease = round(float(values.get("leaseS", 10.0)) * 1e6)
    max_lease = round(float(values["longestS"]) * 1e6) if "longestS" in values else lease
    if max_lease < lease:
        raise ValueError(f"peers.longestS: {max_lease / 1e6:g} is shorter than leaseS")
    return Voting(tuple(sets), lease, max_lease, float(values.get("drift", Voting.drift)), trials)


def decode_voters(key: str, raw: Any) -> tuple[str, ...]:
    """The addresses of a set of voters. Raises ValueError."""
    if not isinstance(raw, list) or len(raw) not in VOTER_COUNTS or len(set(map(str, raw))) != len(raw):
        raise ValueError(
            f"peers.{key} must be a list of {', '.join(map(str, VOTER_COUNTS))} different addresses"
        )
    return tuple(
        decode_reachable_address(f"peers.{key}[{index}]", address) for index, address in enumerate(raw)
    )


def decode_address(key: str, text: Any) -> str:
    """A numeric IPv4 address with a port; names are not resolved, which may take longer than a probe.

    Raises ValueError.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    parts = host.split(".")
    if (
        len(parts) != 4
        or not all(part.isascii() and part.isdigit() and int(part) < 256 for part in parts)
        or not (port.isascii() and port.isdigit() and int(port) < 65536)
    ):
        raise ValueError(f"{key}: {text!r} is not an IPv4 address with a port")
    return str(text)


def decode_reachable_address(key: str, text: Any) -> str:
    """An address that messages can be sent to. Raises ValueError."""
    if decode_address(key, text).endswith(":0"):
        raise ValueError(f"{key}: {text!r} has no port to send to")
    return str(text)
