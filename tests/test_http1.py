"""Parsers, rings and writers, fed with bytes; no socket."""

import json

import pytest

from pumicepath.discovery.server_list import BadList, ServerList, parse_address, stable_id
from pumicepath.discovery.watch import Watch
from pumicepath.http1 import writing
from pumicepath.http1.messages import MalformedMessageError, Response
from pumicepath.http1.parsing import MAX_BODY_BYTES, Parser, RequestParser, ResponseParser
from pumicepath.http1.ring import INITIAL_CAPACITY, Ring
from pumicepath.interface import ServerState

from .helpers import check_trace

HOST = b"Host: a\r\n"
PLAIN = b"\r\nGET /a?b=c HTTP/1.1\r\n" + HOST + b"X-A:  1 \r\nConnection: X-A, keep-alive\r\n\r\n"
SIZED = b"POST /api HTTP/1.1\r\n" + HOST + b"Content-Length: 5\r\n\r\nabcde"
CHUNKED = (
    b"POST /api HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: Chunked\r\n\r\n"
    b"3;x=y\r\nabc\r\n0A\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n"
)
OLD = b"GET / HTTP/1.0\r\n\r\n"


def parse_all(parser: Parser, chunks: list[bytes]) -> list[str]:
    """What comes out, a line a message; the last line says what was wrong, if anything was."""
    lines = []
    try:
        for piece in chunks:
            parser.feed(piece)
            while (message := parser.next()) is not None:
                first = (
                    f"{message.status}"
                    if isinstance(message, Response)
                    else f"{message.method} {message.target}"
                )
                lines.append(
                    f"{first} {message.body!r:.40} of {len(message.body)} "
                    f"{'kept' if message.keeps_alive() else 'closed'} {message.end_to_end_headers()}"
                )
    except MalformedMessageError as trouble:
        lines.append(f"{trouble.status}: {trouble}")
    return lines


def test_messages_come_out_alike_however_their_bytes_are_split() -> None:
    data = PLAIN + SIZED + CHUNKED + OLD
    whole = parse_all(RequestParser(), [data])
    for size in range(1, len(data)):
        assert parse_all(RequestParser(), [data[at : at + size] for at in range(0, len(data), size)]) == whole
    check_trace("requests", whole)


def test_malformed_requests_are_told_apart() -> None:
    head = b"POST / HTTP/1.1\r\n" + HOST
    bad = [
        b"GET  / HTTP/1.1\r\n",
        b"GET / HTTP/2.0\r\n",
        b"G@T / HTTP/1.1\r\n",
        b"GET / HTTP/1.1\n",
        b"GET /\x01 HTTP/1.1\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + HOST + HOST + b"\r\n",
        head + b"A : b\r\n",
        head + b" folded\r\n",
        head + b"A: \x00\r\n",
        head + b"no colon\r\n",
        head + b"Content-Length: 1, 2\r\n\r\n",
        head + b"Content-Length: +1\r\n\r\n",
        head + b"Content-Length:\r\n\r\n",
        head + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        head + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
        head + b"Transfer-Encoding:\r\n\r\n",
        head + b"Transfer-Encoding: chunked\r\n\r\nx\r\n",
        head + b"Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
        head + b"Content-Length: 65537\r\n\r\n",
        head + b"Transfer-Encoding: chunked\r\n\r\n10001\r\n",
        b"GET /" + b"a" * 20_000,
        head + b"A: b\r\n" * 200,
        head + b"A: " + b"b" * 17_000 + b"\r\n",
    ]
    check_trace("malformed", [f"{data[-30:]!r:<70} {parse_all(RequestParser(), [data])[-1]}" for data in bad])


def test_responses_end_by_length_chunks_or_close() -> None:
    parser = ResponseParser()
    lines = parse_all(
        parser,
        [
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: b\r\n\r\nab",
            b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 503\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"HTTP/1.0 200 OK\r\n\r\nuntil the end",
        ],
    )
    parser.end_input()
    lines += parse_all(parser, [b""])
    for data in (
        b"HTTP/1.1 20 OK\r\n",
        b"ICY 200 OK\r\n",
        b"HTTP/1.1 2000 OK\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n" + b"a" * (MAX_BODY_BYTES + 1),
    ):
        lines += parse_all(ResponseParser(), [data])
    check_trace("responses", lines)


def test_body_may_be_held_back_until_the_client_is_told_to_go_on() -> None:
    parser = RequestParser()
    parser.feed(b"POST / HTTP/1.1\r\n" + HOST + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
    assert parser.next() is None and parser.awaits_continue()
    parser.feed(b"ab")
    assert parser.next() is not None and not parser.awaits_continue() and parser.is_idle()


def test_ring_keeps_order_over_its_edge_grows_to_its_limit_and_shrinks_when_empty() -> None:
    ring, kept, data = Ring(3 * INITIAL_CAPACITY), b"", bytes(range(256)) * 40
    for step in range(1, 200):
        piece = data[step : step + 37 * step % 1000]
        kept += piece[: ring.write(piece)]
        assert (
            ring.find(kept[-1:], 0) == kept.find(kept[-1:]) and len(ring) == len(kept) <= 3 * INITIAL_CAPACITY
        )
        count = 29 * step % 700
        assert ring.read(min(count, len(kept))) == kept[:count]
        kept = kept[count:]
    assert ring.write(data) + len(kept) == 3 * INITIAL_CAPACITY and not len(ring.writable())
    ring.consume(len(ring))
    ring.shrink()
    assert len(ring.buffer) == INITIAL_CAPACITY


def test_what_is_written_can_be_read_back() -> None:
    parser = RequestParser()
    parser.feed(writing.request("POST", "/a", [("Host", "h"), ("X-A", "b")], b"body"))
    request = parser.next()
    assert request is not None and (request.body, request.header("x-a")) == (b"body", "b")


def server_list(seq: int, whole: bool, *hosts: dict) -> dict:
    return {"seq": seq, "whole": whole, "hosts": list(hosts)}


def host(name: str, **changed: object) -> dict:
    return {
        "host": name,
        "dial": "127.0.0.9:9000",
        "site": "b",
        "block": 3,
        "health": "active",
        "share": 2.0,
        "born_ms": 0,
        **changed,
    }


def test_list_keeps_numbers_starts_and_addresses() -> None:
    clocks = iter((700, 900))
    roster = ServerList(["a", "b"], lambda born: next(clocks))
    first = roster.apply(
        server_list(41, True, host("s-1", born_ms=5), host("s-2", site="c", health="leaving"))
    )
    again = roster.apply(
        server_list(42, False, host("s-1", born_ms=5, dial="127.0.0.9:9001"), host("s-2", health="left"))
    )
    newer = roster.apply(server_list(43, False, host("s-1", born_ms=6)))
    one, two = first.entries
    assert one.server == stable_id("s-1") != two.server and (one.name, two.name) == ("s-1", "s-2")
    assert (one.zone, one.cell, one.weight, one.started_at, two.zone, two.state) == (
        1,
        3,
        2.0,
        700,
        2,
        ServerState.DRAINING,
    )
    assert [update.entries[0].started_at for update in (again, newer)] == [700, 900]
    assert again.entries[1].state == ServerState.GONE and again.addresses[0].port == 9001
    assert list(roster.start_times) == ["s-1"], "nothing is kept of what is gone"


@pytest.mark.parametrize(
    "bad",
    [
        [],
        {},
        server_list(1, True, {}),
        server_list(1, True, host("s", health="odd")),
        server_list(1, True, host("s", dial="nowhere")),
        server_list(1, True, host("s", dial=None)),
        server_list(1, True, host("s", share=float("inf"))),
        server_list(1, True, host("s", block=float("inf"))),
        {"seq": None, "whole": True, "hosts": []},
        server_list(1, True, host("s", born_ms="x")),
    ],
)
def test_what_is_no_list_is_told(bad: object) -> None:
    with pytest.raises(BadList):
        ServerList([], lambda born: 0).apply(bad)
    with pytest.raises(BadList):
        parse_address("1.2.3.4:99999")


def test_watch_asks_from_the_version_it_has_and_takes_only_lists() -> None:
    watch = Watch(ServerList(["a"], lambda born: 1), "d", 41, 20_000_000)
    lines = [watch.next_request().split(b"\r\n")[0].decode()]
    for status, body in (
        (200, json.dumps(server_list(43, False, host("s-1")))),
        (503, ""),
        (200, "{"),
        (200, "[]"),
    ):
        watch.parser.feed(writing.response(status, [], body.encode(), True))
        response = watch.parser.next()
        assert response is not None
        try:
            lines.append(
                f"{len(watch.handle_response(response).entries)} changed, then {watch.next_request()[:46].decode()}"
            )
        except BadList as trouble:
            lines.append(f"no list: {trouble}")
    check_trace("watch", lines)
