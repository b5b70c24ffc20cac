"""Which services a follower asks for, as the parameter `services` of a call names them.

interest = interest_of("cart,stock")        # raises ValueError for what names none
interest_of(None)                           # a call without the parameter: all, in the form without it
"""

from __future__ import annotations

import re
import sys
from functools import lru_cache
from typing import NamedTuple

MAX_NAMES = 256
NAMES_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}(,[A-Za-z0-9._-]{1,64})*")
NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{0,64}")
ALL = "*"


class Interest(NamedTuple):
    """`text` is the same for all that ask the same; `names` has "" first: a line with no service is all's."""

    text: str
    names: tuple[str, ...]
    all_services: bool
    plain: bool

    def includes(self, service: str) -> bool:
        return self.all_services or service in self.names


ALL_PLAIN = Interest("", (), True, True)
ALL_SERVICES = Interest(ALL, (), True, False)


@lru_cache(1024)
def parse_interest(text: str | None) -> Interest:
    if text is None:
        return ALL_PLAIN
    if text == ALL:
        return ALL_SERVICES
    if NAMES_PATTERN.fullmatch(text) is None:
        raise ValueError("services: names of 1 to 64 of A-Z a-z 0-9 . _ - and commas between them, or *")
    names = sorted({sys.intern(name) for name in text.split(",")})  # thousands of followers name the same
    if len(names) > MAX_NAMES:
        raise ValueError(f"services: {len(names)} names, at most {MAX_NAMES}")
    return Interest(",".join(names), ("", *names), False, False)
