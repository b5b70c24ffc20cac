"""Starts a sidecar with another clock: `python -m pumicepath.lab.faults.starter`, as `pumicepath serve`.

The clock stands in `$PUMICEPATH_LAB_CLOCK` (see `clocks`).  Put in place before anything of the product is
imported, so that the product needs no hook.  Waits of the system go by the true clock: only what a process
reads is bent, as by a quartz that is off.  The kernel's stamps on what arrives stay true, and so does what
they are compared with.
"""

from __future__ import annotations

import os
import runpy
import sys
import time
from pathlib import Path
from types import SimpleNamespace

from .clocks import VARIABLE, Page


def bend(page: Page) -> SimpleNamespace:
    """Give this process the page's clock; what was there before comes back."""
    before = SimpleNamespace(time_ns=time.time_ns, time=time.time, monotonic_ns=time.monotonic_ns,
                             monotonic=time.monotonic)
    time.monotonic_ns = page.monotonic_ns
    time.monotonic = lambda: page.monotonic_ns() / 1e9
    time.time_ns = lambda: page.wall_ns(before.time_ns())
    time.time = lambda: time.time_ns() / 1e9
    return before


def main() -> None:
    true = bend(Page(Path(os.environ[VARIABLE])))
    from ...sidecar import arrival
    setattr(arrival, "time", true)  # noqa: B010
    sys.argv = ["pumicepath", "serve"]
    runpy.run_module("pumicepath", run_name="__main__")


if __name__ == "__main__":
    main()
