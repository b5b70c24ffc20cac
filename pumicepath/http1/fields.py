"""Header fields as they were received: checking them, and finding values in them.

A message keeps its fields as one piece of text.  An object for each field would take many times the memory
and the time of what a client sends in very many short fields.
"""

from __future__ import annotations

import re

from .errors import MalformedMessageError

TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
FIELD_VALUE = re.compile(r"[\t -~\x80-\xff]*")
# Complete, well-formed lines.  Possessive, so that no state is kept for each of them.
FIELD_LINES_PATTERN = rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]++:[\t -~\x80-\xff]*+\r\n)*+"
FIELD_LINES = re.compile(FIELD_LINES_PATTERN)
OPTIONAL_SPACE = " \t"
# By the name of a field: finds its values.  Only names that stand in this program are looked up.
value_patterns: dict[str, re.Pattern[bytes]] = {}


def names_pattern(*names: str) -> re.Pattern[bytes]:
    """Return the pattern that finds names and values of these fields, for `find_fields`."""
    alternatives = b"|".join(re.escape(name.encode()) for name in names)
    return re.compile(rb"\r\n(" + alternatives + rb"):([^\r]*+)", re.IGNORECASE)


def find_fields(fields: bytes, pattern: re.Pattern[bytes]) -> list[tuple[str, str]]:
    """Return the fields that a pattern of `names_pattern` names, in order, their names in lower case."""
    found: list[tuple[bytes, bytes]] = pattern.findall(fields)
    return [
        (name.decode("latin-1").lower(), value.decode("latin-1").strip(OPTIONAL_SPACE))
        for name, value in found
    ]


def find_values(fields: bytes, name: str) -> list[str]:
    """Return all values of a field in lines that each follow a line end."""
    pattern = value_patterns.get(name)
    if pattern is None:
        pattern = re.compile(rb"\r\n" + re.escape(name.encode()) + rb":([^\r]*+)", re.IGNORECASE)
        value_patterns[name] = pattern
    found: list[bytes] = pattern.findall(fields)
    return [value.decode("latin-1").strip(OPTIONAL_SPACE) for value in found]


def split_fields(fields: bytes) -> list[tuple[str, str]]:
    """Return names and values of lines that each follow a line end."""
    result: list[tuple[str, str]] = []
    for line in fields.decode("latin-1").split("\r\n"):
        if line:
            name, _, value = line.partition(":")
            result.append((name, value.strip(OPTIONAL_SPACE)))
    return result


def check_field(line: str) -> None:
    """Raise MalformedMessageError unless a line is a header field."""
    name, colon, value = line.partition(":")
    if not colon or not TOKEN.fullmatch(name) or not FIELD_VALUE.fullmatch(value):
        raise MalformedMessageError(400, "malformed header")
