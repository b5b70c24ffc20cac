"""The keys `relays` and `services` of a sidecar's configuration; imported only if the file has them.

Both functions raise ValueError that names the key.
"""

from __future__ import annotations

from typing import Any

from ..discovery.server_list import parse_address
from .config import key_in_errors

MAX_RELAYS = 64
MAX_SERVICES = 256
MAX_SERVICES_BYTES = 12_000  # of all names together, which have to fit into the head of one request
MAX_SERVICE_NAME_LENGTH = 64
SERVICE_NAME_CHARACTERS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-"


def decode_relays(raw: dict[str, Any]) -> tuple[str, ...]:
    """Return the relays' addresses, host:port each."""
    relays = raw["relays"]
    if not isinstance(relays, list) or not 0 < len(relays) <= MAX_RELAYS:
        raise ValueError(f"relays: {relays!r} is no list of 1 to {MAX_RELAYS} addresses")
    for at, text in enumerate(relays):
        with key_in_errors(f"relays[{at}]"):
            if not isinstance(text, str) or not parse_address(text).port:
                raise ValueError(f"{text!r} is no address")
            if text in relays[:at]:
                raise ValueError(f"{text!r} is named twice")
    if not raw.get("name"):
        # The order of relays follows from the name: without names all sidecars would use the same relay.
        raise ValueError("name: '' is no name, as sidecars at relays need one each")
    return tuple(relays)


def decode_services(raw: dict[str, Any]) -> tuple[str, ...]:
    """Return the names of the services to follow, sorted; `("*",)`, all of them, if the key is absent."""
    services = raw.get("services")
    if services is None:
        return ("*",)
    if not isinstance(services, list) or len(services) > MAX_SERVICES:
        raise ValueError(f"services: no list of 0 to {MAX_SERVICES} names")
    for at, name in enumerate(services):
        if (
            not isinstance(name, str)
            or not 0 < len(name) <= MAX_SERVICE_NAME_LENGTH
            or name.strip(SERVICE_NAME_CHARACTERS)
        ):
            raise ValueError(f"services[{at}]: {name!r} is no name of 1 to 64 of A-Z a-z 0-9 . _ -")
        if name in services[:at]:
            raise ValueError(f"services[{at}]: {name!r} is named twice")
    if sum(len(name) + 1 for name in services) > MAX_SERVICES_BYTES:
        raise ValueError(f"services: longer than {MAX_SERVICES_BYTES} bytes together")
    return tuple(sorted(services))
