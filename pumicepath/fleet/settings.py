"""What the file says of peers: `decode` gives the settings, or raises ValueError that names the key.

Times are whole microseconds.  Without the key `peers` there are no settings, and nothing is made of them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

MAX_NAME_BYTES = 64  # bytes of names in messages
MAX_SEEDS = 16
TIMEOUT_FRACTION = 0.3  # of the period, where the file has no time-out
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
    """Who grants duties: a claim needs a majority of each of `sets`; times in microseconds, `drift` a share.

    `longest` is the longest lease that a voter here grants, and what it is silent for after a start.
    `trials` has the trials of a sick server made by one sidecar of each zone at a time.
    """

    voter_sets: tuple[tuple[str, ...], ...]
    lease: int = 10_000_000
    max_lease: int = 10_000_000
    drift: float = 0.01
    shared_trials: bool = False


@dataclass(frozen=True)
class PeerSettings:
    """`listen` and `advertise` are host:port; others reach this one at `advertise`, if it is set.

    `every` is the time between two probes, `timeout` until a direct one counts as unanswered, `most` how many
    other sidecars are kept at once, `fleet` the name that sidecars share whose messages are taken.
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
        """What is read at the start only; the rest is taken as the file changes."""
        return replace(self, voting=None)


def decode(told: Any, environment: Mapping[str, str]) -> PeerSettings:
    """The settings by the file's object and the environment, which goes before it."""
    if told is not None and not isinstance(told, dict):
        raise ValueError("peers is no object")
    given: dict[str, Any] = dict(told or {})
    for key, name in ENVIRONMENT.items():
        if environment.get(name):
            parts = [each.strip() for each in environment[name].split(",")]
            given[key] = [each for each in parts if each] if key == "seeds" else parts[0]
    for key in given:
        if key not in KEYS + DUTY_KEYS:
            raise ValueError(f"peers.{key}: unknown; there are {', '.join(KEYS + DUTY_KEYS)}")
    if "listen" not in given:
        raise ValueError("peers.listen is missing")
    seeds = given.get("seeds", [])
    if not isinstance(seeds, list) or len(seeds) > MAX_SEEDS:
        raise ValueError(f"peers.seeds is no list of at most {MAX_SEEDS} addresses")
    for at, seed in enumerate(seeds):
        decode_reachable_address(f"peers.seeds[{at}]", seed)
    listen = decode_address("peers.listen", given["listen"])
    advertise = (
        decode_reachable_address("peers.advertise", given["advertise"]) if given.get("advertise") else ""
    )
    if listen.startswith("0.0.0.0:") and not advertise:
        raise ValueError("peers.advertise is missing: nobody can be reached at 0.0.0.0")
    fleet = given.get("fleet", "")
    if not isinstance(fleet, str) or len(fleet.encode()) > MAX_NAME_BYTES:
        raise ValueError(f"peers.fleet: {fleet!r} is no name of at most {MAX_NAME_BYTES} bytes")
    for key, (least, most) in RANGES.items():
        value = given.get(key, least)
        if (
            isinstance(value, bool)
            or not isinstance(value, type(least) if key == "most" else (int, float))
            or not least <= value <= most
        ):
            raise ValueError(f"peers.{key}: {value!r} is not from {least} to {most}")
    every = float(given.get("everyS", 1.0))
    timeout = float(given.get("timeoutS", every * TIMEOUT_FRACTION))
    if 2 * timeout > every:
        raise ValueError(f"peers.timeoutS: {timeout:g} is over half of everyS: no time is left to ask others")
    return PeerSettings(
        listen,
        tuple(seeds),
        advertise,
        fleet,
        round(every * 1e6),
        round(timeout * 1e6),
        given.get("most", PeerSettings.max_peers),
        decode_voting(given),
    )


def decode_voting(given: Mapping[str, Any]) -> Voting | None:
    """Of the keys of duties, whose numbers have been checked; None where nobody votes."""
    if "voters" not in given:
        for key in DUTY_KEYS:
            if key in given:
                raise ValueError(f"peers.{key}: there are no voters")
        return None
    sets = [decode_voters("voters", given["voters"])]
    if "votersBefore" in given:
        sets.append(decode_voters("votersBefore", given["votersBefore"]))
    trials = given.get("trials", False)
    if not isinstance(trials, bool):
        raise ValueError(f"peers.trials: {trials!r} is not true or false")
    lease = round(float(given.get("leaseS", 10.0)) * 1e6)
    longest = round(float(given["longestS"]) * 1e6) if "longestS" in given else lease
    if longest < lease:
        raise ValueError(f"peers.longestS: {longest / 1e6:g} is shorter than leaseS")
    return Voting(tuple(sets), lease, longest, float(given.get("drift", Voting.drift)), trials)


def decode_voters(key: str, told: Any) -> tuple[str, ...]:
    if not isinstance(told, list) or len(told) not in VOTER_COUNTS or len(set(map(str, told))) != len(told):
        raise ValueError(f"peers.{key} is no list of {', '.join(map(str, VOTER_COUNTS))} different addresses")
    return tuple(decode_reachable_address(f"peers.{key}[{at}]", each) for at, each in enumerate(told))


def decode_address(key: str, text: Any) -> str:
    """An address by numbers: names are not looked up, as that may take longer than a probe."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    parts = host.split(".")
    if (
        len(parts) != 4
        or not all(part.isascii() and part.isdigit() and int(part) < 256 for part in parts)
        or not (port.isascii() and port.isdigit() and int(port) < 65536)
    ):
        raise ValueError(f"{key}: {text!r} is no IPv4 address with a port")
    return str(text)


def decode_reachable_address(key: str, text: Any) -> str:
    """An address that something can be sent to."""
    if decode_address(key, text).endswith(":0"):
        raise ValueError(f"{key}: {text!r} names no port")
    return str(text)
