"""Failures of system calls that say nothing about the peer: the machine lacked something for a moment.

Such a call is made again after a pause.  A connection is not given up for it, and no server is blamed.
"""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")

# Of reads and writes on a connection that is sound.
LACK_OF_MEMORY = frozenset((errno.ENOBUFS, errno.ENOMEM))
# Of making a connection: descriptors, ports, memory, or a route of this machine.
LACK_OF_RESOURCES = LACK_OF_MEMORY | {
    errno.EMFILE,
    errno.ENFILE,
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
}
RETRY_PAUSE_S = 0.005
MAX_RETRIES = 10


def retry(call: Callable[[], Result], errors: frozenset[int]) -> Result:
    """Call again, after pauses, while it fails with one of these errors; raises OSError."""
    for _ in range(MAX_RETRIES):
        try:
            return call()
        except OSError as error:
            if error.errno not in errors:
                raise
        time.sleep(RETRY_PAUSE_S)
    return call()
