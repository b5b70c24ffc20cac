"""What a sidecar is told at its start."""

from __future__ import annotations

import json
import os
import resource
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..discovery.roster import Address, BadList, Roster, address
from ..interface import Settings
from ..settings import check, decode, present, without_effect

if TYPE_CHECKING:
    from ..fleet.settings import PeerSettings

KEPT_BACK = 48  # descriptors for the listener, discovery, files, and clients beyond the bound
OWN_MB = 24  # memory before the first connection, with room for the list
SPARE_PART = 1 / 16  # of the memory for the allocator and what grows
EXPECTED = ("name", "seed", "limits", "listen", "discovery", "peers", "relays", "services")
FEWEST = 8  # connections, below which nothing can be served
CONNECTION_KB = 140  # a connection with its thread and full bodies both ways: 132 measured


class BadConfig(Exception):
    """The configuration can't be used; the text says why in one line."""


@dataclass(frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    connections: int
    known: Any
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    tariffs: dict[str, int]
    settings: Settings
    pushed: bool
    idle: int
    dial: int
    idle_keys: tuple[str, ...]
    admin: Address | None = None
    keys: frozenset[str] = frozenset()
    peers: PeerSettings | None = None
    relays: tuple[str, ...] = ()
    services: tuple[str, ...] | None = None  # to be followed at relays, `("*",)` for all

    @property
    def from_clients(self) -> int:
        return self.connections * 13 // 20

    @property
    def to_servers(self) -> int:
        return self.connections - self.from_clients


def follow(path: str, before: Config) -> Config:
    """The file that takes the place of another.

    Guards what is in force against a file with a part missing, whose defaults nobody meant.
    """
    after = read(path)
    missing = sorted(before.keys - after.keys)
    if missing:
        raise BadConfig(f"{path}: {missing[0]} is missing")
    return after


def read(path: str) -> Config:
    try:
        return config(json.loads(Path(path).read_bytes()))
    except OSError as trouble:
        raise BadConfig(f"{path}: {trouble.strerror}") from trouble
    except KeyError as trouble:
        raise BadConfig(f"{path}: {trouble} is missing") from trouble
    except RecursionError as trouble:
        raise BadConfig(f"{path}: nested too deeply") from trouble
    except (ValueError, TypeError, AttributeError, ArithmeticError, BadList) as trouble:
        raise BadConfig(f"{path}: {trouble}".replace("\n", " ")) from trouble


def second(told: dict[str, Any]) -> Address | None:
    """The operators' address.  The environment is the process's own: two that share a file differ in it."""
    text = os.environ.get("GW_ADMIN_ADDR") or told.get("admin_addr")
    return address(str(text)) if text else None


def peers(told: dict[str, Any]) -> PeerSettings | None:
    """None where nothing speaks of them; then nothing of the fleet is imported either."""
    if told.get("peers") is None and not os.environ.get("GW_PEERS_LISTEN"):
        return None
    from ..fleet import settings as fleet

    found = fleet.decode(told.get("peers"), os.environ)
    name = str(told.get("name", ""))
    if not 0 < len(name.encode()) <= fleet.MAX_NAME_BYTES:
        raise ValueError(f"name: {name!r} is no name of 1 to {fleet.MAX_NAME_BYTES} bytes, as peers need one")
    return found


def relays(told: dict[str, Any]) -> tuple[tuple[str, ...], tuple[str, ...] | None]:
    """The relays in discovery's place, and what is followed there; none where nothing speaks of them."""
    if told.get("relays") is None:
        if told.get("services") is not None:
            raise ValueError("services: there are none without relays")
        return (), None
    from . import relay_keys

    return relay_keys.relays(told), relay_keys.services(told)


@contextmanager
def named(key: str) -> Iterator[None]:
    """What is wrong with the value of a key is told with its name."""
    try:
        yield
    except KeyError:
        raise
    except (ValueError, TypeError, AttributeError, ArithmeticError, BadList) as trouble:
        raise ValueError(f"{key}: {trouble}") from trouble


def room(limits: Any) -> int:
    """How many connections the limits allow."""
    if not isinstance(limits, dict):
        raise ValueError("limits is no object")
    for key in ("memory_mb", "sockets"):
        value = limits.get(key, 0)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < 1e9:
            raise ValueError(f"limits.{key}: {value!r} is not from 0 to 1e9")
    # Guards the watch, which has to be opened again while clients take all they get, against limits that
    # promise more descriptors than the process has.
    had = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    memory, sockets = limits.get("memory_mb", 192), limits.get("sockets", 1024)
    if had != resource.RLIM_INFINITY:
        sockets = min(sockets, max(had, KEPT_BACK + FEWEST))
    fitting = {
        "memory_mb": (memory * (1 - SPARE_PART) - OWN_MB) * 1024 / CONNECTION_KB,
        "sockets": sockets - KEPT_BACK,
    }
    scarce = min(fitting, key=lambda key: fitting[key])
    if fitting[scarce] < FEWEST:
        given = memory if scarce == "memory_mb" else sockets
        raise ValueError(f"limits.{scarce}: {given} leaves no room for {FEWEST} connections")
    return int(fitting[scarce])


def config(told: dict[str, Any]) -> Config:
    info = told["settings"]
    check(info)
    allowed = info.get("policyLimits", {})
    names = [str(entry["name"]) for entry in info["tariffs"]]
    if not names:
        raise ValueError("settings.tariffs: no tariffs in the settings")
    zones = tuple(str(zone) for zone in info.get("dcs", []))
    known = told.get("known") or {"seq": 0, "whole": True, "hosts": []}
    with named("known"):
        Roster(zones, lambda born: born).read(known)
    with named("listen"):
        listen = address(told["listen"])
    with named("discovery"):
        discovery = address(told["discovery"])
    with named("seed"):
        seed = int(str(told.get("seed", "0")), 16)
    followed, services = relays(told)
    return Config(
        name=str(told.get("name", "")),
        listen=listen,
        discovery=discovery,
        seed=seed,
        connections=room(told.get("limits", {})),
        known=known,
        zones=zones,
        kinds=tuple(str(kind) for kind in info.get("kinds", [])),
        tariffs={name: at for at, name in enumerate(names)},
        settings=replace(decode(info), copies=False),  # a client's thread carries one hop at a time
        pushed=info.get("membershipMode") != "on_request",
        idle=int(allowed.get("connIdleS", 30.0) * 1e6),
        dial=int(allowed.get("dialTimeoutS", 1.0) * 1e6),
        idle_keys=tuple(without_effect(info)),
        admin=second(told),
        keys=present(info) | {key for key in EXPECTED if key in told},
        peers=peers(told),
        relays=followed,
        services=services,
    )
