"""What a relay is told at its start: `read(path)`; BadConfig has one line that names file and key."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any, NamedTuple

from ..discovery.roster import Address, BadList, address

MOST_SOURCES = 64
REGION = re.compile(r"[A-Za-z0-9._-]{1,64}")
KEYS = ("name", "listen", "sources", "admin", "batchMs", "mostFollowers", "wholeBytesPerS", "historyChanges")
LONGEST_NAME = 128


class BadConfig(Exception):
    """The configuration can't be used; the text says why in one line."""


class Config(NamedTuple):
    name: str
    listen: Address
    sources: dict[str, Address]
    admin: Address | None
    batch: int  # microseconds
    most_followers: int
    whole_bytes_per_s: int
    history_changes: int


def read(path: str) -> Config:
    try:
        told = json.loads(Path(path).read_bytes())
    except OSError as trouble:
        raise BadConfig(f"{path}: {trouble.strerror}") from trouble
    except RecursionError as trouble:
        raise BadConfig(f"{path}: nested too deeply") from trouble
    except ValueError as trouble:
        raise BadConfig(f"{path}: {trouble}".replace("\n", " ")) from trouble
    try:
        return config(told)
    except ValueError as trouble:
        raise BadConfig(f"{path}: {trouble}".replace("\n", " ")) from trouble


def config(told: Any) -> Config:
    """Raises ValueError; the text begins with the key."""
    if not isinstance(told, dict):
        raise ValueError("no object")
    for key in told:
        if key not in KEYS:
            raise ValueError(f"{key}: no such key; there are {', '.join(KEYS)}")
    name = told.get("name", "")
    if not isinstance(name, str) or len(name.encode("utf-8", "replace")) > LONGEST_NAME:
        raise ValueError(f"name: no text of {LONGEST_NAME} bytes at most")
    sources = needed(told, "sources")
    if not isinstance(sources, dict) or not 0 < len(sources) <= MOST_SOURCES:
        raise ValueError(f"sources: no object of 1 to {MOST_SOURCES} regions with their addresses")
    for region in sources:
        if REGION.fullmatch(region) is None:
            raise ValueError(f"sources: {region!r} is no name of 1 to 64 of A-Z a-z 0-9 . _ -")
    return Config(
        name=name,
        listen=where("listen", needed(told, "listen")),
        sources={region: where(f"sources.{region}", text) for region, text in sources.items()},
        admin=where("admin", told["admin"]) if told.get("admin") is not None else None,
        batch=whole(told, "batchMs", 50, 0, 1000) * 1000,
        most_followers=whole(told, "mostFollowers", 4096, 1, 100_000),
        whole_bytes_per_s=whole(told, "wholeBytesPerS", 64_000_000, 10_000, 10**10),
        history_changes=whole(told, "historyChanges", 10_000, 1, 10**7),
    )


def needed(told: dict[str, Any], key: str) -> Any:
    if key not in told:
        raise ValueError(f"{key} is missing")
    return told[key]


def where(key: str, text: Any) -> Address:
    if not isinstance(text, str):
        raise ValueError(f"{key}: {text!r} is no address")
    try:
        return address(text)
    except BadList as trouble:
        raise ValueError(f"{key}: {trouble}") from trouble


def whole(told: dict[str, Any], key: str, default: int, least: int, most: int) -> int:
    value = told.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        raise ValueError(f"{key}: {value!r} is no whole number from {least} to {most}")
    return value
