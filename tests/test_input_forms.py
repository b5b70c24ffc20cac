"""What a byte costs must not depend much on the form in which a client sends it."""

from __future__ import annotations

import tracemalloc

from pumicepath.http1.parsing import RequestParser
from pumicepath.http1.ring import INITIAL_CAPACITY
from pumicepath.lab.loopback.input_forms import INPUT_FORMS

MAX_HELD_BYTES = 3  # for each byte received
SAMPLE_BYTES = 50_000
SEGMENT_BYTES = 1460
FIXED_BYTES = 2 * INITIAL_CAPACITY  # of an object and its buffers, whatever has been received


def most_held_per_byte(data: bytes) -> float:
    """Return the most that a parser holds of a request that is not complete, for each byte received."""
    parser, most = RequestParser(), 0.0
    tracemalloc.start()
    try:
        for received in range(0, len(data), SEGMENT_BYTES):
            parser.feed(data[received : received + SEGMENT_BYTES])
            if parser.next() is not None:
                break
            held = tracemalloc.get_traced_memory()[0] - FIXED_BYTES
            most = max(most, held / (received + SEGMENT_BYTES))
    finally:
        tracemalloc.stop()
    return most


# A crowd of clients with bodies in chunks of two bytes took a process past its memory limit (report 000ac8).
def test_an_unfinished_request_holds_at_most_three_bytes_for_one_received_whatever_its_form() -> None:
    held = {form.name: round(most_held_per_byte(form.build(SAMPLE_BYTES)), 2) for form in INPUT_FORMS}
    assert {name: ratio for name, ratio in held.items() if ratio > MAX_HELD_BYTES} == {}
