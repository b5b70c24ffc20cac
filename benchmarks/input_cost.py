"""What a megabyte of input costs the request parser, by the form in which it comes: CPU, and bytes held.

    .venv/bin/python benchmarks/input_cost.py

Times are the least of several runs, so that other work on the machine counts little.  Held is what the parser
keeps for an unfinished request, for each byte received.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from pumicepath.compiled import FORM  # noqa: E402
from pumicepath.http1.parsing import RequestParser  # noqa: E402
from pumicepath.lab.loopback.input_forms import INPUT_FORMS, MEGABYTE  # noqa: E402

SEGMENT_BYTES = 1460
RUNS = 5
MAX_CPU_RATIO = 50  # to a plain body
HELD_SAMPLE_BYTES = 60_000


def parse(data: bytes, parser: RequestParser) -> int:
    """Feed data in segments, and return how many requests came out."""
    count = 0
    for at in range(0, len(data), SEGMENT_BYTES):
        parser.feed(data[at : at + SEGMENT_BYTES])
        while parser.next() is not None:
            count += 1
    return count


def cpu_seconds(data: bytes) -> float:
    """Return the least CPU time of several runs, for one megabyte."""
    least = float("inf")
    for _ in range(RUNS):
        parser = RequestParser()
        began = time.thread_time()
        parse(data, parser)
        least = min(least, time.thread_time() - began)
    return least * MEGABYTE / len(data)


def held_per_byte(data: bytes) -> float:
    """Return the most that the parser holds beyond a new one, for each byte of an unfinished request."""
    most = 0.0
    parser = RequestParser()
    tracemalloc.start()
    received = 0
    for at in range(0, len(data), SEGMENT_BYTES):
        parser.feed(data[at : at + SEGMENT_BYTES])
        received += SEGMENT_BYTES
        if parser.next() is not None:
            break
        most = max(most, tracemalloc.get_traced_memory()[0] / received)
    tracemalloc.stop()
    return most


def main() -> None:
    """Print a line for each form."""
    print(f"{FORM}; {SEGMENT_BYTES} bytes at a time, least of {RUNS} runs")
    print(f"{'form':<26}{'CPU s/MB':>10}{'x plain':>9}{'held/byte':>11}")
    plain = 0.0
    for form in INPUT_FORMS:
        seconds = cpu_seconds(form.build(MEGABYTE))
        plain = plain or seconds
        held = held_per_byte(form.build(HELD_SAMPLE_BYTES))
        mark = "  over" if seconds > MAX_CPU_RATIO * plain else ""
        print(f"{form.name:<26}{seconds:>10.4f}{seconds / plain:>9.1f}{held:>11.2f}{mark}")


if __name__ == "__main__":
    main()
