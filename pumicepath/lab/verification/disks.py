"""Disk faults in the folder in which a process keeps its state; no privileges needed, works as root.

A full disk is simulated by a limit on the size of files that the process may write (RLIMIT_FSIZE): writes
then fail as on a full disk.  All other faults change the files themselves.
"""

from __future__ import annotations

import resource
import shutil
from contextlib import suppress
from pathlib import Path
from random import Random


class StateFolder:
    """The state folder of one process; `copy_folder` holds a saved copy of its files."""

    def __init__(self, folder: Path, copy_folder: Path) -> None:
        self.folder = folder
        self.copy_folder = copy_folder
        folder.mkdir(parents=True, exist_ok=True)

    def files(self) -> list[Path]:
        """Returns the paths of all files in the folder, sorted."""
        return sorted(path for path in self.folder.rglob("*") if path.is_file())

    def set_full(self, pid: int, full: bool) -> None:
        """Makes every write that grows a file of the process fail, or work again."""
        with suppress(ProcessLookupError):
            _, hard_limit = resource.prlimit(pid, resource.RLIMIT_FSIZE)
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (0 if full else hard_limit, hard_limit))

    def corrupt(self, rng: Random) -> int:
        """Truncates each file at a random byte or flips one bit in it; returns the number of files."""
        files = self.files()
        for path in files:
            data = path.read_bytes()
            offset = rng.randrange(len(data) + 1)
            if rng.random() < 0.5 or offset >= len(data):
                path.write_bytes(data[:offset])
            else:
                path.write_bytes(
                    data[:offset] + bytes((data[offset] ^ (1 << rng.randrange(8)),)) + data[offset + 1 :]
                )
        return len(files)

    def delete_all(self) -> int:
        """Deletes the folder and creates it anew; returns the number of files that it had."""
        count = len(self.files())
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True, exist_ok=True)
        return count

    def save_copy(self) -> int:
        """Copies the files for `restore_copy`; returns their number."""
        shutil.rmtree(self.copy_folder, ignore_errors=True)
        self.copy_folder.mkdir(parents=True)
        for path in self.files():
            shutil.copy2(path, self.copy_folder / path.name)
        return len(self.files())

    def restore_copy(self) -> int:
        """Replaces the files by the saved copy; returns the number of files copied."""
        return self.replace_with(self.copy_folder)

    def replace_with(self, folder: Path) -> int:
        """Replaces the files by those of another folder; returns the number of files copied."""
        self.delete_all()
        count = 0
        for path in sorted(folder.rglob("*")):
            if path.is_file():
                shutil.copy2(path, self.folder / path.name)
                count += 1
        return count
