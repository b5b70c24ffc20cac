"""The keys `relays` and `services` of a sidecar's file; imported only where it has them.

Both raise ValueError by the key's name for what can't be meant.
"""

from __future__ import annotations

from typing import Any

from ..discovery.server_list import parse_address
from .config import key_in_errors

MAX_RELAYS = 64
MAX_SERVICES = 256
MAX_SERVICES_BYTES = 12_000  # bytes of all names, which have to fit into the head of one request
MAX_SERVICE_NAME_LENGTH = 64
SERVICE_NAME_CHARACTERS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-"


def decode_relays(told: dict[str, Any]) -> tuple[str, ...]:
    """The relays that take discovery's place."""
    found = told["relays"]
    if not isinstance(found, list) or not 0 < len(found) <= MAX_RELAYS:
        raise ValueError(f"relays: {found!r} is no list of 1 to {MAX_RELAYS} addresses")
    for at, text in enumerate(found):
        with key_in_errors(f"relays[{at}]"):
            if not isinstance(text, str) or not parse_address(text).port:
                raise ValueError(f"{text!r} is no address")
            if text in found[:at]:
                raise ValueError(f"{text!r} is named twice")
    if not told.get("name"):
        # Guards relays against sidecars that all have the same order of them.
        raise ValueError("name: '' is no name, as sidecars at relays need one each")
    return tuple(found)


def decode_services(told: dict[str, Any]) -> tuple[str, ...]:
    """What is followed at relays."""
    found = told.get("services")
    if found is None:
        return ("*",)
    if not isinstance(found, list) or len(found) > MAX_SERVICES:
        raise ValueError(f"services: no list of 0 to {MAX_SERVICES} names")
    for at, name in enumerate(found):
        if (
            not isinstance(name, str)
            or not 0 < len(name) <= MAX_SERVICE_NAME_LENGTH
            or name.strip(SERVICE_NAME_CHARACTERS)
        ):
            raise ValueError(f"services[{at}]: {name!r} is no name of 1 to 64 of A-Z a-z 0-9 . _ -")
        if name in found[:at]:
            raise ValueError(f"services[{at}]: {name!r} is named twice")
    if sum(len(name) + 1 for name in found) > MAX_SERVICES_BYTES:
        raise ValueError(f"services: longer than {MAX_SERVICES_BYTES} bytes together")
    return tuple(sorted(found))
