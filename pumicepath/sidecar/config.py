"""The configuration file of a sidecar: `read` decodes and checks it, `read_replacement` also for a reload."""

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

# File descriptors for the listener, discovery, files, and clients above the limit.
RESERVED_DESCRIPTORS = 48
BASE_MEMORY_MB = 24  # before the first connection, including the server list
BASE_MEMORY_BYTES = BASE_MEMORY_MB << 20
DEFAULT_MEMORY_MB = 192
DEFAULT_SOCKETS = 1024
MAX_OVERFLOW = 128  # connections that are refused at a time
MIN_OVERFLOW = 8  # out of the reserved descriptors
ACCEPT_HEADROOM = 24  # clients' connections accepted beyond the limit, while others are being closed
SPARE_MEMORY_FRACTION = 1 / 16  # for the allocator and data that grows
TOP_LEVEL_KEYS = ("name", "seed", "limits", "listen", "discovery", "peers", "relays", "services")
MIN_CONNECTIONS = 8  # with fewer nothing can be served
CONNECTION_KB = 140  # a connection with its thread and full bodies in both directions takes 132 KB


class ConfigError(Exception):
    """The configuration cannot be used; the text is one line that says why."""


@dataclass(frozen=True)
class Config:
    """The decoded configuration of one sidecar.

    `known_list` is the server list to start with, as it stands in the file. `request_classes` maps names to
    their positions in `settings`. `pushed`: this sidecar counts as notified of whatever is on discovery's
    list, whether or not it has read it.
    """

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
    usable_memory: int = 0  # in bytes
    overflow_connections: int = 0  # beyond all others, that may be refused at a time
    services: tuple[str, ...] | None = None  # to be followed at relays, `("*",)` for all

    @property
    def max_client_connections(self) -> int:
        """The clients' part of `max_connections`."""
        return self.max_connections * 13 // 20

    @property
    def max_server_connections(self) -> int:
        """The servers' part of `max_connections`."""
        return self.max_connections - self.max_client_connections


def read_replacement(path: str, before: Config) -> Config:
    """Read the file that replaces the one in force.

    Raises ConfigError if a key of the old file is missing: a file that was cut short would otherwise set
    defaults that nobody intended.
    """
    after = read(path)
    missing = sorted(before.present_keys - after.present_keys)
    if missing:
        raise ConfigError(f"{path}: {missing[0]} is missing")
    return after


def read(path: str) -> Config:
    """Read and check a configuration file; raises ConfigError that names the file and the key."""
    try:
        return decode_config(json.loads(Path(path).read_bytes()))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from error
    except RecursionError as error:
        raise ConfigError(f"{path}: nested too deeply") from error
    except (ValueError, TypeError, AttributeError, ArithmeticError, BadList) as error:
        raise ConfigError(f"{path}: {error}".replace("\n", " ")) from error


def admin_address(raw: dict[str, Any]) -> Address | None:
    """Return the operators' address.

    The environment takes precedence, as it is the process's own: two processes can share a file and differ in
    this address.
    """
    text = os.environ.get("GW_ADMIN_ADDR") or raw.get("admin_addr")
    return parse_address(str(text)) if text else None


def decode_peers(raw: dict[str, Any]) -> PeerSettings | None:
    """Decode the settings of the exchange with other sidecars.

    Returns None if neither file nor environment has any; no module of the fleet is imported then.
    """
    if raw.get("peers") is None and not os.environ.get("GW_PEERS_LISTEN"):
        return None
    from ..fleet import settings as fleet

    peer_settings = fleet.decode(raw.get("peers"), os.environ)
    name = str(raw.get("name", ""))
    if not 0 < len(name.encode()) <= fleet.MAX_NAME_BYTES:
        raise ValueError(f"name: {name!r} is no name of 1 to {fleet.MAX_NAME_BYTES} bytes, as peers need one")
    return peer_settings


def decode_relays(raw: dict[str, Any]) -> tuple[tuple[str, ...], tuple[str, ...] | None]:
    """Return the relays that are used instead of discovery, and the services to follow there.

    Returns `((), None)` without the key `relays`.
    """
    if raw.get("relays") is None:
        if raw.get("services") is not None:
            raise ValueError("services: there are none without relays")
        return (), None
    from . import relay_keys

    return relay_keys.decode_relays(raw), relay_keys.decode_services(raw)


@contextmanager
def key_in_errors(key: str) -> Iterator[None]:
    """Put the key's name in front of the text of an error that its value causes."""
    try:
        yield
    except KeyError:
        raise
    except (ValueError, TypeError, AttributeError, ArithmeticError, BadList) as error:
        raise ValueError(f"{key}: {error}") from error


def connection_limit(limits: Any) -> int:
    """Return how many connections the limits allow; raises ValueError if they are invalid or too low."""
    if not isinstance(limits, dict):
        raise ValueError("limits is no object")
    for key in ("memory_mb", "sockets"):
        value = limits.get(key, 0)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < 1e9:
            raise ValueError(f"limits.{key}: {value!r} is not from 0 to 1e9")
    memory, sockets = limits.get("memory_mb", DEFAULT_MEMORY_MB), available_descriptors(limits)
    allowed = {
        "memory_mb": (usable_memory(limits) - BASE_MEMORY_BYTES) / 1024 / CONNECTION_KB,
        "sockets": sockets - RESERVED_DESCRIPTORS,
    }
    scarce = min(allowed, key=lambda key: allowed[key])
    if allowed[scarce] < MIN_CONNECTIONS:
        given = memory if scarce == "memory_mb" else sockets
        raise ValueError(f"limits.{scarce}: {given} leaves no room for {MIN_CONNECTIONS} connections")
    return int(allowed[scarce])


def overflow_connections(limits: dict[str, Any]) -> int:
    """Return how many further connections the descriptors allow, for being refused."""
    spare = available_descriptors(limits) - RESERVED_DESCRIPTORS - connection_limit(limits)
    return min(MAX_OVERFLOW, max(MIN_OVERFLOW, spare))


def available_descriptors(limits: dict[str, Any]) -> int:
    """Return how many descriptors the configuration and the process's own limit allow."""
    # Without the process's limit clients could take all descriptors, and the watch on discovery could not be
    # reopened.
    sockets = int(limits.get("sockets", DEFAULT_SOCKETS))
    available = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if available != resource.RLIM_INFINITY:
        sockets = min(sockets, max(available, RESERVED_DESCRIPTORS + MIN_CONNECTIONS))
    return sockets


def usable_memory(limits: dict[str, Any]) -> int:
    """Return how many bytes of the memory limit may be planned with."""
    return int(limits.get("memory_mb", DEFAULT_MEMORY_MB) * (1 - SPARE_MEMORY_FRACTION) * (1 << 20))


def decode_config(raw: dict[str, Any]) -> Config:
    """Decode the file's object; raises KeyError, ValueError and others that `read` turns into ConfigError."""
    info = raw["settings"]
    check_settings(info)
    limits = info.get("policyLimits", {})
    names = [str(entry["name"]) for entry in info["tariffs"]]
    if not names:
        raise ValueError("settings.tariffs: no tariffs in the settings")
    zones = tuple(str(zone) for zone in info.get("dcs", []))
    known_list = raw.get("known") or {"seq": 0, "whole": True, "hosts": []}
    with key_in_errors("known"):
        ServerList(zones, lambda started_at: started_at).apply(known_list)
    with key_in_errors("listen"):
        listen = parse_address(raw["listen"])
    with key_in_errors("discovery"):
        discovery = parse_address(raw["discovery"])
    with key_in_errors("seed"):
        seed = int(str(raw.get("seed", "0")), 16)
    relays, services = decode_relays(raw)
    return Config(
        name=str(raw.get("name", "")),
        listen=listen,
        discovery=discovery,
        seed=seed,
        max_connections=connection_limit(raw.get("limits", {})),
        usable_memory=usable_memory(raw.get("limits", {})),
        overflow_connections=overflow_connections(raw.get("limits", {})),
        known_list=known_list,
        zones=zones,
        kinds=tuple(str(kind) for kind in info.get("kinds", [])),
        request_classes={name: at for at, name in enumerate(names)},
        settings=replace(
            decode_settings(info), hedging_allowed=False
        ),  # a client's thread carries one hop at a time
        pushed=info.get("membershipMode") != "on_request",
        idle_timeout_us=int(limits.get("connIdleS", 30.0) * 1e6),
        connect_timeout_us=int(limits.get("dialTimeoutS", 1.0) * 1e6),
        keys_without_effect=tuple(unsupported_keys(info)),
        admin=admin_address(raw),
        present_keys=present_keys(info) | {key for key in TOP_LEVEL_KEYS if key in raw},
        peers=decode_peers(raw),
        relays=relays,
        services=services,
    )
