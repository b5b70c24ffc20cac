"""Starts a sidecar with another clock and disk: `python -m pumicepath.lab.verification.starter`, as `serve`.

Both stand in `$PUMICEPATH_LAB_CLOCK` (see `clocks`).  Put in place before anything of the product is
imported, so that the product needs no hook.  Waits of the system go by the true clock: only what a process
reads is bent, as by a quartz that is off.  The kernel's stamps on what arrives stay true, and so does what
they are compared with.
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
    """Give this process the page's clock; what was there before comes back."""
    before = SimpleNamespace(
        time_ns=time.time_ns, time=time.time, monotonic_ns=time.monotonic_ns, monotonic=time.monotonic
    )
    time.monotonic_ns = page.monotonic_ns
    time.monotonic = lambda: page.monotonic_ns() / 1e9
    time.time_ns = lambda: page.wall_ns(before.time_ns())
    time.time = lambda: time.time_ns() / 1e9
    return before


def install_disk_faults(page: ControlPage, folder: str) -> None:
    """Give this process the page's disk: what it opens, renames or syncs there may fail or be slow."""

    def through(call: Callable[..., Any], changes: Callable[..., bool]) -> Callable[..., Any]:
        def burdened(*given: Any, **named: Any) -> Any:
            path = given[0] if given else ""
            if isinstance(path, int) or str(path).startswith(folder):
                time.sleep(page.memory[SLOW_OFFSET] / 100)
                if page.memory[READ_ONLY_OFFSET] and changes(*given, **named):
                    raise OSError(errno.EROFS, os.strerror(errno.EROFS), str(path))
            return call(*given, **named)

        return burdened

    def writes(path: Any, mode: Any = "r", *_: Any, **named: Any) -> bool:
        if isinstance(mode, int):
            return bool(mode & (os.O_WRONLY | os.O_RDWR | os.O_CREAT))
        return any(letter in str(named.get("mode", mode)) for letter in "wax+")

    for name in ("replace", "rename", "unlink", "remove", "mkdir", "truncate", "fsync", "fdatasync"):
        setattr(os, name, through(getattr(os, name), lambda path, *_, **__: not isinstance(path, int)))
    os.open = through(os.open, writes)
    io.open = through(io.open, writes)
    builtins.open = io.open


def main() -> None:
    page = ControlPage(Path(os.environ[PAGE_PATH_VARIABLE]))
    true = install_clock(page)
    install_disk_faults(page, os.environ.get("TMPDIR") or "\0")
    from ...sidecar import arrival

    setattr(arrival, "time", true)  # noqa: B010
    sys.argv = ["pumicepath", "serve"]
    runpy.run_module("pumicepath", run_name="__main__")


if __name__ == "__main__":
    main()
