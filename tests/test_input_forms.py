"""What a byte costs must not depend much on the form in which a client sends it."""

from __future__ import annotations

import hashlib
import json
import subprocess
import sys
import tracemalloc
from pathlib import Path

from pumicepath.http1.parsing import RequestParser
from pumicepath.http1.ring import INITIAL_CAPACITY
from pumicepath.lab.loopback.input_forms import INPUT_FORMS

ROOT = Path(__file__).parent.parent
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


def held_by_form() -> dict[str, float]:
    """Measure all forms, in a process of its own: threads that other tests have left also allocate."""
    script = (
        "import json; from tests.test_input_forms import INPUT_FORMS, SAMPLE_BYTES, most_held_per_byte;"
        "print(json.dumps({form.name: most_held_per_byte(form.build(SAMPLE_BYTES)) for form in INPUT_FORMS}))"
    )
    command = [sys.executable, "-c", script]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    measured: dict[str, float] = json.loads(result.stdout)
    return measured


# A crowd of clients with bodies in chunks of two bytes took a process past its memory limit (report 000ac8).
def test_an_unfinished_request_holds_at_most_three_bytes_for_one_received_whatever_its_form() -> None:
    held = held_by_form()
    assert set(held) == {form.name for form in INPUT_FORMS}
    assert {name: ratio for name, ratio in held.items() if ratio > MAX_HELD_BYTES} == {}


def parsed_in_segments(data: bytes, size: int) -> list[tuple[str, str]]:
    """The target of each request and a hash of its body, with `size` bytes fed at a time."""
    parser, found = RequestParser(), []
    for at in range(0, len(data), size):
        parser.feed(data[at : at + size])
        while (request := parser.next()) is not None:
            found.append((request.target, hashlib.sha256(request.body).hexdigest()))
    assert parser.is_idle()
    return found


def test_every_form_is_parsed_alike_however_its_bytes_are_split() -> None:
    for form in INPUT_FORMS:
        data = form.build(2_000)
        whole = parsed_in_segments(data, 40_000)
        assert whole, form.name
        for size in (1, 2, 3, 7, 64, SEGMENT_BYTES):
            assert parsed_in_segments(data, size) == whole, (form.name, size)


def test_a_chunk_size_split_from_its_line_end_does_not_hide_the_next_one() -> None:
    """What had been searched of an incomplete line was taken for searched in the line after it."""
    parser = RequestParser()
    parser.feed(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n000001")
    assert parser.next() is None
    parser.feed(b"\r\na\r\n1;b\r\nc\r\n0\r\n\r\n")
    request = parser.next()
    assert request is not None and request.body == b"ac"
