"""A folder that one run at a time may write into.

    with owned(folder): ...     # raises Taken, by name, while another run has it

Guards a history against two runs that write into one file, from which the judge then reads nonsense.
The lock is the kernel's (flock), so it ends with its process however that ends; the file tells whose it is.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

LOCK_FILE = ".run.lock"


class FolderLockedError(Exception):
    """Another run writes there; the text names folder and process."""


@contextmanager
def locked_folder(folder: Path) -> Iterator[None]:
    """Have the folder, made where it is missing, for as long as the block runs.  Raises Taken or OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    file = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o644)
    try:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            whose = os.pread(file, 32, 0).decode("ascii", "replace").strip() or "unknown"
            raise FolderLockedError(
                f"{folder}: another run (process {whose}) is writing its report there"
            ) from None
        os.ftruncate(file, 0)
        os.pwrite(file, f"{os.getpid()}\n".encode(), 0)
        yield
    finally:
        os.close(file)
