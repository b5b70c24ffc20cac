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

from ..discovery.server_list import Address, BadList, ServerList, parse_address
from ..interface import Settings
from ..settings import check_settings, decode_settings, present_keys, unsupported_keys

if TYPE_CHECKING:
    from ..fleet.settings import PeerSettings

RESERVED_DESCRIPTORS = 48  # descriptors for the listener, discovery, files, and clients beyond the bound
BASE_MEMORY_MB = 24  # memory before the first connection, with room for the list
SPARE_MEMORY_FRACTION = 1 / 16  # of the memory for the allocator and what grows
TOP_LEVEL_KEYS = ("name", "seed", "limits", "listen", "discovery", "peers", "relays", "services")
MIN_CONNECTIONS = 8  # connections, below which nothing can be served
CONNECTION_KB = 140  # a connection with its thread and full bodies both ways: 132 measured


class ConfigError(Exception):
    """The configuration can't be used; the text says why in one line."""


@dataclass(frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    max_connections: int
    known_list: Any
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    request_classes: dict[str, int]
    settings: Settings
    pushed: bool
    idle_timeout_us: int
    connect_timeout_us: int
    keys_without_effect: tuple[str, ...]
    admin: Address | None = None
    present_keys: frozenset[str] = frozenset()
    peers: PeerSettings | None = None
    relays: tuple[str, ...] = ()
    services: tuple[str, ...] | None = None  # to be followed at relays, `("*",)` for all

    @property
    def max_client_connections(self) -> int:
        return self.max_connections * 13 // 20

    @property
    def max_server_connections(self) -> int:
        return self.max_connections - self.max_client_connections


def read_replacement(path: str, before: Config) -> Config:
    """The file that takes the place of another.

    Guards what is in force against a file with a part missing, whose defaults nobody meant.
    """
    after = read(path)
    missing = sorted(before.present_keys - after.present_keys)
    if missing:
        raise ConfigError(f"{path}: {missing[0]} is missing")
    return after


def read(path: str) -> Config:
    try:
        return decode_config(json.loads(Path(path).read_bytes()))
    except OSError as trouble:
        raise ConfigError(f"{path}: {trouble.strerror}") from trouble
    except KeyError as trouble:
        raise ConfigError(f"{path}: {trouble} is missing") from trouble
    except RecursionError as trouble:
        raise ConfigError(f"{path}: nested too deeply") from trouble
    except (ValueError, TypeError, AttributeError, ArithmeticError, BadList) as trouble:
        raise ConfigError(f"{path}: {trouble}".replace("\n", " ")) from trouble


def admin_address(told: dict[str, Any]) -> Address | None:
    """The operators' address.  The environment is the process's own: two that share a file differ in it."""
    text = os.environ.get("GW_ADMIN_ADDR") or told.get("admin_addr")
    return parse_address(str(text)) if text else None


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

    return relay_keys.decode_relays(told), relay_keys.decode_services(told)


@contextmanager
def key_in_errors(key: str) -> Iterator[None]:
    """What is wrong with the value of a key is told with its name."""
    try:
        yield
    except KeyError:
        raise
    except (ValueError, TypeError, AttributeError, ArithmeticError, BadList) as trouble:
        raise ValueError(f"{key}: {trouble}") from trouble


def connection_limit(limits: Any) -> int:
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
        sockets = min(sockets, max(had, RESERVED_DESCRIPTORS + MIN_CONNECTIONS))
    fitting = {
        "memory_mb": (memory * (1 - SPARE_MEMORY_FRACTION) - BASE_MEMORY_MB) * 1024 / CONNECTION_KB,
        "sockets": sockets - RESERVED_DESCRIPTORS,
    }
    scarce = min(fitting, key=lambda key: fitting[key])
    if fitting[scarce] < MIN_CONNECTIONS:
        given = memory if scarce == "memory_mb" else sockets
        raise ValueError(f"limits.{scarce}: {given} leaves no room for {MIN_CONNECTIONS} connections")
    return int(fitting[scarce])


def decode_config(told: dict[str, Any]) -> Config:
    info = told["settings"]
    check_settings(info)
    allowed = info.get("policyLimits", {})
    names = [str(entry["name"]) for entry in info["tariffs"]]
    if not names:
        raise ValueError("settings.tariffs: no tariffs in the settings")
    zones = tuple(str(zone) for zone in info.get("dcs", []))
    known = told.get("known") or {"seq": 0, "whole": True, "hosts": []}
    with key_in_errors("known"):
        ServerList(zones, lambda born: born).apply(known)
    with key_in_errors("listen"):
        listen = parse_address(told["listen"])
    with key_in_errors("discovery"):
        discovery = parse_address(told["discovery"])
    with key_in_errors("seed"):
        seed = int(str(told.get("seed", "0")), 16)
    followed, services = relays(told)
    return Config(
        name=str(told.get("name", "")),
        listen=listen,
        discovery=discovery,
        seed=seed,
        max_connections=connection_limit(told.get("limits", {})),
        known_list=known,
        zones=zones,
        kinds=tuple(str(kind) for kind in info.get("kinds", [])),
        request_classes={name: at for at, name in enumerate(names)},
        settings=replace(decode_settings(info), copies=False),  # a client's thread carries one hop at a time
        pushed=info.get("membershipMode") != "on_request",
        idle_timeout_us=int(allowed.get("connIdleS", 30.0) * 1e6),
        connect_timeout_us=int(allowed.get("dialTimeoutS", 1.0) * 1e6),
        keys_without_effect=tuple(unsupported_keys(info)),
        admin=admin_address(told),
        present_keys=present_keys(info) | {key for key in TOP_LEVEL_KEYS if key in told},
        peers=peers(told),
        relays=followed,
        services=services,
    )
