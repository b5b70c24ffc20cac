"""What a relay is told at its start: `read(path)`; BadConfig has one line that names file and key."""

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
    """The configuration can't be used; the text says why in one line."""


class Config(NamedTuple):
    name: str
    listen: Address
    sources: dict[str, Address]
    admin: Address | None
    batch_us: int  # microseconds
    max_followers: int
    whole_bytes_per_s: int
    history_changes: int


def read(path: str) -> Config:
    try:
        told = json.loads(Path(path).read_bytes())
    except OSError as trouble:
        raise ConfigError(f"{path}: {trouble.strerror}") from trouble
    except RecursionError as trouble:
        raise ConfigError(f"{path}: nested too deeply") from trouble
    except ValueError as trouble:
        raise ConfigError(f"{path}: {trouble}".replace("\n", " ")) from trouble
    try:
        return parse_config(told)
    except ValueError as trouble:
        raise ConfigError(f"{path}: {trouble}".replace("\n", " ")) from trouble


def parse_config(told: Any) -> Config:
    """Raises ValueError; the text begins with the key."""
    if not isinstance(told, dict):
        raise ValueError("no object")
    for key in told:
        if key not in KEYS:
            raise ValueError(f"{key}: no such key; there are {', '.join(KEYS)}")
    name = told.get("name", "")
    if not isinstance(name, str) or len(name.encode("utf-8", "replace")) > MAX_NAME_BYTES:
        raise ValueError(f"name: no text of {MAX_NAME_BYTES} bytes at most")
    sources = required_value(told, "sources")
    if not isinstance(sources, dict) or not 0 < len(sources) <= MAX_SOURCES:
        raise ValueError(f"sources: no object of 1 to {MAX_SOURCES} regions with their addresses")
    for region in sources:
        if REGION_NAME.fullmatch(region) is None:
            raise ValueError(f"sources: {region!r} is no name of 1 to 64 of A-Z a-z 0-9 . _ -")
    return Config(
        name=name,
        listen=address_value("listen", required_value(told, "listen")),
        sources={region: address_value(f"sources.{region}", text) for region, text in sources.items()},
        admin=address_value("admin", told["admin"]) if told.get("admin") is not None else None,
        batch_us=integer_value(told, "batchMs", 50, 0, 1000) * 1000,
        max_followers=integer_value(told, "mostFollowers", 4096, 1, 100_000),
        whole_bytes_per_s=integer_value(told, "wholeBytesPerS", 64_000_000, 10_000, 10**10),
        history_changes=integer_value(told, "historyChanges", 10_000, 1, 10**7),
    )


def required_value(told: dict[str, Any], key: str) -> Any:
    if key not in told:
        raise ValueError(f"{key} is missing")
    return told[key]


def address_value(key: str, text: Any) -> Address:
    if not isinstance(text, str):
        raise ValueError(f"{key}: {text!r} is no address")
    try:
        return parse_address(text)
    except BadList as trouble:
        raise ValueError(f"{key}: {trouble}") from trouble


def integer_value(told: dict[str, Any], key: str, default: int, least: int, most: int) -> int:
    value = told.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        raise ValueError(f"{key}: {value!r} is no whole number from {least} to {most}")
    return value
