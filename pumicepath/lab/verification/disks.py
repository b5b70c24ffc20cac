"""What befalls the folder in which a process keeps its state; without privileges, as root or not.

A full disk is a limit on the size of the files that the process may write (RLIMIT_FSIZE): writes then fail,
as on a full one.  Everything else is done to the files themselves.
"""

from __future__ import annotations

import resource
import shutil
from contextlib import suppress
from pathlib import Path
from random import Random


class StateFolder:
    """One process's folder; `copies` is where old copies of it are kept."""

    def __init__(self, folder: Path, copy_folder: Path) -> None:
        self.folder = folder
        self.copy_folder = copy_folder
        folder.mkdir(parents=True, exist_ok=True)

    def files(self) -> list[Path]:
        return sorted(path for path in self.folder.rglob("*") if path.is_file())

    def set_full(self, pid: int, full: bool) -> None:
        """No file of the process can grow, until it is told otherwise."""
        with suppress(ProcessLookupError):
            _, most = resource.prlimit(pid, resource.RLIMIT_FSIZE)
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (0 if full else most, most))

    def corrupt(self, rng: Random) -> int:
        """Each file is cut at some byte, or has one bit flipped; how many were met."""
        files = self.files()
        for path in files:
            data = path.read_bytes()
            at = rng.randrange(len(data) + 1)
            if rng.random() < 0.5 or at >= len(data):
                path.write_bytes(data[:at])
            else:
                path.write_bytes(data[:at] + bytes((data[at] ^ (1 << rng.randrange(8)),)) + data[at + 1 :])
        return len(files)

    def delete_all(self) -> int:
        """The folder is gone with all that is in it, and then empty again."""
        count = len(self.files())
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True, exist_ok=True)
        return count

    def save_copy(self) -> int:
        """A copy, for `put_back`."""
        shutil.rmtree(self.copy_folder, ignore_errors=True)
        self.copy_folder.mkdir(parents=True)
        for path in self.files():
            shutil.copy2(path, self.copy_folder / path.name)
        return len(self.files())

    def restore_copy(self) -> int:
        """What was kept takes the place of what is there."""
        return self.replace_with(self.copy_folder)

    def replace_with(self, folder: Path) -> int:
        """Another's files instead of its own."""
        self.delete_all()
        count = 0
        for path in sorted(folder.rglob("*")):
            if path.is_file():
                shutil.copy2(path, self.folder / path.name)
                count += 1
        return count
