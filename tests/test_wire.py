"""Adapter to the simulator, run as a process on a few valid and malformed frames."""

import json
import struct
import subprocess
import sys

import pytest

INFO = json.dumps(
    {
        "me": 0,
        "fleetSize": 1,
        "zone": 0,
        "membershipMode": "pushed",
        "unheardOf": [1],
        "policyLimits": {"mostHops": 2},
        "tariffs": [{"effect": "idempotent", "gain": 1.0, "agreedTimeS": 0.5, "patienceS": 1.0}],
    }
).encode()
ENTRY = struct.pack("<IHHHBfd", 77, 0, 0, 0, 1, 1.0, 0.0)
CREATE = struct.pack("<HHQII", 1, 3, 9, 0, len(INFO))
SHEET = struct.pack("<HIII", 11, 0, len(INFO), 1)
CACHED = struct.pack("<HHIBI", 2, 3, 1, 2, 0)
INGRESS = struct.pack("<HHIIQBddB", 3, 3, 500, 0, 4, 0, 0.0, 6.0, 0)
EXIT = struct.pack("<HH", 10, 3)


def batch(*records: bytes, tail: bytes = b"", now: float = 5.0) -> bytes:
    body = b"".join(record.ljust(40, b"\0") for record in records) + tail
    return struct.pack("<IdI", len(body), now, len(records)) + body


def run(data: bytes) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "pumicepath.wirehost"]
    return subprocess.run(command, input=data, capture_output=True, timeout=30)


def test_submission_is_sent_answered_and_dropped() -> None:
    first = batch(CREATE, SHEET, CACHED, INGRESS, tail=INFO + ENTRY)
    finished = batch(struct.pack("<HHIBBdIB", 5, 3, 500, 1, 0, 0.1, 77, 0), now=5.1)
    client_left = struct.pack("<HHI", 6, 3, 500)
    last = batch(client_left, EXIT, CREATE, client_left, tail=INFO, now=5.2)
    result = run(first + finished + last)
    assert result.returncode == 0 and result.stderr == b""
    count, length = struct.unpack_from("<II", result.stdout)
    codes = [struct.unpack_from("<HH", result.stdout, 8 + 24 * at) for at in range(count)]
    assert codes == [(6, 3), (7, 3)] and length == 48
    assert struct.unpack_from("<HHIdI", result.stdout, 8) == (6, 3, 500, 0.0, 77)
    assert result.stdout[56:] == struct.pack("<IIII", 0, 0, 0, 0)


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (batch(EXIT)[:30], "ends after"),
        (batch(EXIT)[:9], "header"),
        (batch(struct.pack("<HH", 99, 3)), "unknown event code 99"),
        (batch(struct.pack("<HHQII", 1, 3, 9, 4, 50), tail=INFO[:20]), "tail"),
        (batch(CREATE, CACHED, tail=INFO), "sheet 0"),
        (batch(CREATE, tail=INFO.replace(b"{", b"[")), "settings"),
    ],
)
def test_malformed_input_ends_the_process_with_one_error_line(data: bytes, message: str) -> None:
    result = run(data)
    assert result.returncode == 2 and result.stdout == b""
    assert message in result.stderr.decode() and result.stderr.count(b"\n") == 1


def test_exception_in_the_decisions_is_reported_to_the_simulator() -> None:
    unknown_class = INGRESS[:37] + b"\x09"
    result = run(batch(CREATE, SHEET, CACHED, unknown_class, tail=INFO + ENTRY))
    assert result.returncode == 0
    assert struct.unpack_from("<HH", result.stdout, 8) == (12, 3) and b"IndexError" in result.stdout
