"""The configuration file of a relay: `read(path)`."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any, NamedTuple

from ..discovery.server_list import Address, BadList, parse_address

MAX_SOURCES = 64
REGION_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
KEYS = ("name", "listen", "sources", "admin", "batchMs", "mostFollowers", "wholeBytesPerS", "historyChanges")
MAX_NAME_BYTES = 128


class ConfigError(Exception):
    """The configuration is not usable; the text is one line that names the file and the key."""


class Config(NamedTuple):
    """The checked configuration of a relay; `sources` has the address of each region's discovery."""

    name: str
    listen: Address
    sources: dict[str, Address]
    admin: Address | None
    batch_us: int  # for which changes are collected into one answer
    max_followers: int
    whole_bytes_per_s: int
    history_changes: int


def read(path: str) -> Config:
    """Read and check the configuration file; raises ConfigError."""
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except RecursionError as error:
        raise ConfigError(f"{path}: nested too deeply") from error
    except ValueError as error:
        raise ConfigError(f"{path}: {error}".replace("\n", " ")) from error
    try:
        return parse_config(raw)
    except ValueError as error:
        raise ConfigError(f"{path}: {error}".replace("\n", " ")) from error


def parse_config(raw: Any) -> Config:
    """Check the decoded file; raises ValueError, whose text begins with the key."""
    if not isinstance(raw, dict):
        raise ValueError("no object")
    for key in raw:
        if key not in KEYS:
            raise ValueError(f"{key}: no such key; there are {', '.join(KEYS)}")
    name = raw.get("name", "")
    if not isinstance(name, str) or len(name.encode("utf-8", "replace")) > MAX_NAME_BYTES:
        raise ValueError(f"name: no text of {MAX_NAME_BYTES} bytes at most")
    sources = required_value(raw, "sources")
    if not isinstance(sources, dict) or not 0 < len(sources) <= MAX_SOURCES:
        raise ValueError(f"sources: no object of 1 to {MAX_SOURCES} regions with their addresses")
    for region in sources:
        if REGION_NAME.fullmatch(region) is None:
            raise ValueError(f"sources: {region!r} is no name of 1 to 64 of A-Z a-z 0-9 . _ -")
    return Config(
        name=name,
        listen=address_value("listen", required_value(raw, "listen")),
        sources={region: address_value(f"sources.{region}", text) for region, text in sources.items()},
        admin=address_value("admin", raw["admin"]) if raw.get("admin") is not None else None,
        batch_us=integer_value(raw, "batchMs", 50, 0, 1000) * 1000,
        max_followers=integer_value(raw, "mostFollowers", 4096, 1, 100_000),
        whole_bytes_per_s=integer_value(raw, "wholeBytesPerS", 64_000_000, 10_000, 10**10),
        history_changes=integer_value(raw, "historyChanges", 10_000, 1, 10**7),
    )


def required_value(raw: dict[str, Any], key: str) -> Any:
    """The value of a key that has no default; raises ValueError if it is missing."""
    if key not in raw:
        raise ValueError(f"{key} is missing")
    return raw[key]


def address_value(key: str, text: Any) -> Address:
    """Parse an address; raises ValueError that names the key."""
    if not isinstance(text, str):
        raise ValueError(f"{key}: {text!r} is no address")
    try:
        return parse_address(text)
    except BadList as error:
        raise ValueError(f"{key}: {error}") from error


def integer_value(raw: dict[str, Any], key: str, default: int, minimum: int, maximum: int) -> int:
    """An integer within bounds, or the default if the key is missing; raises ValueError otherwise."""
    value = raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        raise ValueError(f"{key}: {value!r} is no whole number from {minimum} to {maximum}")
    return value
