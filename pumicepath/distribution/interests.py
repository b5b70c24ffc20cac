"""Which services a follower asks for, from the parameter `services` of its call.

parse_interest("cart,stock")        # raises ValueError if it names no services
parse_interest(None)                # a call without the parameter: all services, entries in the plain form
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
    """A set of services.

    `text` is the same for all followers that ask for the same. `names` begins with "", as entries without a
    service belong to every set. `plain` leaves region and service out of the entries.
    """

    text: str
    names: tuple[str, ...]
    all_services: bool
    plain: bool

    def includes(self, service: str) -> bool:
        """Whether entries of a service are wanted."""
        return self.all_services or service in self.names


ALL_PLAIN = Interest("", (), True, True)
ALL_SERVICES = Interest(ALL, (), True, False)


@lru_cache(1024)
def parse_interest(text: str | None) -> Interest:
    """The interest that a parameter names, None if the call has none. Raises ValueError."""
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
