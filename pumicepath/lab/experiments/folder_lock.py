"""Exclusive lock on a run's output folder.

    with locked_folder(folder): ...     # raises FolderLockedError while another run holds the lock

Two runs that write into the same history file would interleave their lines, and the checker would report on
a mix of both.  The lock is an flock, which the kernel releases when its process ends in whatever way.  The
lock file holds the process id for the error message.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

LOCK_FILE = ".run.lock"


class FolderLockedError(Exception):
    """Another run holds the folder; the message names the folder and the process."""


@contextmanager
def locked_folder(folder: Path) -> Iterator[None]:
    """Create the folder if it is missing and hold its lock within the block.

    Raises FolderLockedError or OSError.
    """
    folder.mkdir(parents=True, exist_ok=True)
    descriptor = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o644)
    try:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            holder = os.pread(descriptor, 32, 0).decode("ascii", "replace").strip() or "unknown"
            raise FolderLockedError(
                f"{folder}: another run (process {holder}) is writing its report there"
            ) from None
        os.ftruncate(descriptor, 0)
        os.pwrite(descriptor, f"{os.getpid()}\n".encode(), 0)
        yield
    finally:
        os.close(descriptor)
