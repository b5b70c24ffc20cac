"""Starts a sidecar with a faulty clock and disk.

`python -m pumicepath.lab.verification.starter` does what `pumicepath serve` does.
Clock and disk are set through the file that `$PUMICEPATH_LAB_CLOCK` names (see `clocks`).  The functions of
the standard library are replaced before any module of the sidecar is imported, so the sidecar needs no
hook.  System waits still use the true clock: only the time that the process reads is changed, as by an
inaccurate oscillator.  The kernel's timestamps on received data stay true, and so does the clock that they
are compared with.
"""

from __future__ import annotations

import builtins
import errno
import io
import os
import runpy
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from .clocks import PAGE_PATH_VARIABLE, READ_ONLY_OFFSET, SLOW_OFFSET, ControlPage


def install_clock(page: ControlPage) -> SimpleNamespace:
    """Replaces the clock functions of this process by those of the page; returns the original ones."""
    original = SimpleNamespace(
        time_ns=time.time_ns, time=time.time, monotonic_ns=time.monotonic_ns, monotonic=time.monotonic
    )
    time.monotonic_ns = page.monotonic_ns
    time.monotonic = lambda: page.monotonic_ns() / 1e9
    time.time_ns = lambda: page.wall_ns(original.time_ns())
    time.time = lambda: time.time_ns() / 1e9
    return original


def install_disk_faults(page: ControlPage, folder: str) -> None:
    """Makes the operations of this process on files in `folder` fail or be slow as the page says."""

    def wrap(call: Callable[..., Any], modifies: Callable[..., bool]) -> Callable[..., Any]:
        def wrapped(*args: Any, **kwargs: Any) -> Any:
            path = args[0] if args else ""
            if isinstance(path, int) or str(path).startswith(folder):
                time.sleep(page.memory[SLOW_OFFSET] / 100)
                if page.memory[READ_ONLY_OFFSET] and modifies(*args, **kwargs):
                    raise OSError(errno.EROFS, os.strerror(errno.EROFS), str(path))
            return call(*args, **kwargs)

        return wrapped

    def opens_for_writing(path: Any, mode: Any = "r", *_: Any, **kwargs: Any) -> bool:
        if isinstance(mode, int):
            return bool(mode & (os.O_WRONLY | os.O_RDWR | os.O_CREAT))
        return any(letter in str(kwargs.get("mode", mode)) for letter in "wax+")

    for name in ("replace", "rename", "unlink", "remove", "mkdir", "truncate", "fsync", "fdatasync"):
        setattr(os, name, wrap(getattr(os, name), lambda path, *_, **__: not isinstance(path, int)))
    os.open = wrap(os.open, opens_for_writing)
    io.open = wrap(io.open, opens_for_writing)
    builtins.open = io.open


def main() -> None:
    """Installs clock and disk, then runs `pumicepath serve`."""
    page = ControlPage(Path(os.environ[PAGE_PATH_VARIABLE]))
    true_clock = install_clock(page)
    install_disk_faults(page, os.environ.get("TMPDIR") or "\0")
    from ...sidecar import arrival

    setattr(arrival, "time", true_clock)  # noqa: B010
    sys.argv = ["pumicepath", "serve"]
    runpy.run_module("pumicepath", run_name="__main__")


if __name__ == "__main__":
    main()
