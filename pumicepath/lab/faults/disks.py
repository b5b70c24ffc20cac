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


class Disk:
    """One process's folder; `copies` is where old copies of it are kept."""

    def __init__(self, folder: Path, copies: Path) -> None:
        self.folder = folder
        self.copies = copies
        folder.mkdir(parents=True, exist_ok=True)

    def files(self) -> list[Path]:
        return sorted(path for path in self.folder.rglob("*") if path.is_file())

    def fill(self, process: int, full: bool) -> None:
        """No file of the process can grow, until it is told otherwise."""
        with suppress(ProcessLookupError):
            _, most = resource.prlimit(process, resource.RLIMIT_FSIZE)
            resource.prlimit(process, resource.RLIMIT_FSIZE, (0 if full else most, most))

    def tear(self, chance: Random) -> int:
        """Each file is cut at some byte, or has one bit flipped; how many were met."""
        files = self.files()
        for path in files:
            data = path.read_bytes()
            at = chance.randrange(len(data) + 1)
            if chance.random() < 0.5 or at >= len(data):
                path.write_bytes(data[:at])
            else:
                path.write_bytes(data[:at] + bytes((data[at] ^ (1 << chance.randrange(8)),)) + data[at + 1 :])
        return len(files)

    def lose(self) -> int:
        """The folder is gone with all that is in it, and then empty again."""
        count = len(self.files())
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True, exist_ok=True)
        return count

    def keep(self) -> int:
        """A copy, for `put_back`."""
        shutil.rmtree(self.copies, ignore_errors=True)
        self.copies.mkdir(parents=True)
        for path in self.files():
            shutil.copy2(path, self.copies / path.name)
        return len(self.files())

    def put_back(self) -> int:
        """What was kept takes the place of what is there."""
        return self.take_from(self.copies)

    def take_from(self, folder: Path) -> int:
        """Another's files instead of its own."""
        self.lose()
        count = 0
        for path in sorted(folder.rglob("*")):
            if path.is_file():
                shutil.copy2(path, self.folder / path.name)
                count += 1
        return count
