"""The second address: which call is which, figures, servers out by hand, clients sent away."""

import json
import socket
from pathlib import Path

import pytest

from pumicepath.admin.calls import parse_call
from pumicepath.admin.metrics import Metrics
from pumicepath.http1.messages import MalformedMessageError, Request
from pumicepath.interface import ListKind, Outcome, ServerState
from pumicepath.lab.loopback.scripted import Deployment, answer

from .helpers import SECOND, ScriptedHost, check_host_trace, check_trace, make_entry, make_settings

NEVER = ("X-Never-Ran", "1")


def admin_deployment(folder: Path, servers: int, **changed: object) -> Deployment:
    around = Deployment(folder, servers, admin_addr="127.0.0.1:0", **changed)
    around.environment = {"TMPDIR": str(folder)}
    return around


def test_calls_are_told_apart_and_others_refused() -> None:
    lines = []
    for line in (
        "GET /healthcheck",
        "HEAD /stats",
        "GET /stats?x=1",
        "PUT /servers/s-1/maint",
        "PUT /servers/a%20b/ready",
        "PUT /healthcheck/fail",
        "PUT http://o/healthcheck/ok",
        "POST /stats",
        "GET /healthcheck/ok",
        "PUT /servers//maint",
        "PUT /servers/s-1/drain",
        "PUT /servers/s-1/maint/x",
        "GET /",
        "OPTIONS *",
    ):
        method, target = line.split()
        try:
            call, server = parse_call(Request(method=method, target=target))
            lines.append(f"{line}: {call.value} {server}".rstrip())
        except MalformedMessageError as trouble:
            lines.append(f"{line}: {trouble.status} {trouble}")
    check_trace("calls", lines)


def test_figures_of_classes_outlive_them_in_bounded_number_and_cannot_break_a_line() -> None:
    figures = Metrics()
    for status in (200, 429, 503, 502, 400):
        figures.submission_finished("read", status)
    figures.submission_finished("a=1\nb", 200)
    for number in range(3000):
        figures.submission_finished(f"c{number}", 200)
    lines = figures.render(["read", "new"], {"current": 3}).splitlines()
    assert len(lines) < 1010
    check_trace("figures", [line for line in lines if ".c" not in line or "current" in line])


def test_a_server_out_by_hand_stays_out_whatever_is_listed_and_returns_cold() -> None:
    bench = ScriptedHost(make_settings(cold_for=20 * SECOND), [make_entry(1), make_entry(2)])
    hand, listed = bench.balancer.set_out_of_service, bench.balancer.update_servers

    def said(what: str) -> None:
        before = len(bench.sent_to)
        bench.run_submissions(100 + 40 * len(bench.lines), 30, 1, Outcome.OK)
        met = bench.sent_to[before:]
        standing = bench.balancer.server_counts()
        bench.lines = [line for line in bench.lines if "hop to" not in line]
        hops = [met.count(server) for server in (1, 2)]
        bench.note(f"{what}: {hops} hops, {standing[0]} listed, {standing[1]} avoided")

    def call(server: int, out: bool) -> None:
        bench.note(f"{server} {'out' if out else 'back'}: {'yes' if hand(bench.now, server, out) else 'no'}")

    said("before")
    home = 1 if bench.sent_to[-1] == 1 else 2
    call(9, True)
    call(9, False)
    call(home, True)
    call(home, True)
    said("out")
    listed(bench.now, ListKind.FULL, [make_entry(3 - home)])
    said("not listed any more")
    began = bench.now
    listed(bench.now, ListKind.CHANGES, [make_entry(home, started_at=began)])
    said("listed as new")
    listed(bench.now, ListKind.FULL, [make_entry(home, state=ServerState.DRAINING), make_entry(3 - home)])
    listed(bench.now, ListKind.FULL, [make_entry(home), make_entry(3 - home)])
    bench.advance_to(bench.now / SECOND + 60)
    said("a minute later")
    call(home, False)
    said("back, cold")
    assert bench.balancer.started_at[bench.balancer.index_by_id[home]] == began
    bench.advance_to(bench.now / SECOND + 60)
    call(home, True)
    call(home, False)
    listed(bench.now, ListKind.CHANGES, [make_entry(home, started_at=began + SECOND)])
    said("out and back, an old start listed since")
    bench.advance_to(bench.now / SECOND + 60)
    said("warm")
    call(home, False)
    assert not bench.balancer.out_of_service
    check_host_trace("by_hand", bench)


def test_the_return_of_a_server_that_the_list_lacks_is_cold_too() -> None:
    bench = ScriptedHost(make_settings(cold_for=20 * SECOND), [make_entry(1), make_entry(2)])
    bench.balancer.set_out_of_service(bench.now, 1, True)
    bench.balancer.update_servers(bench.now, ListKind.FULL, [make_entry(2)])
    assert bench.advance_to(30).balancer.set_out_of_service(bench.now, 1, False)
    bench.balancer.update_servers(bench.now, ListKind.FULL, [make_entry(1), make_entry(2)])
    assert bench.balancer.warm_fraction(bench.now, bench.balancer.index_by_id[1]) < 0.3


def test_figures_are_what_clients_and_servers_saw(tmp_path: Path) -> None:
    around = admin_deployment(tmp_path, 1)
    with around.running():
        around.ask("read", answer(200, "a"))
        around.ask("once", answer(500))
        around.ask("once", answer(503, "", NEVER))
        around.ask("read", answer(503, "", NEVER))
        around.ask("once", "reset")
        around.send("gold")
        around.hear()
        lines = [f"{name}={value}" for name, value in around.figures().items()]
        around.send("read")
        assert [around.servers[0].met.acquire(timeout=5) for _ in range(6)] == [True] * 6
        lines.append(f"one under way: {around.figures()['edge_gw.current']}")
        around.script.put(answer(200, "b"))
        around.hear()
        for told in (around.told, {}):
            around.config.write_text(json.dumps(told))
            around.process.send_signal(1)
            around.event("reloaded" if told else "reload_failed")
        lines += [f"{name}={value}" for name, value in around.figures().items() if "conf" in name]
    check_trace("counted", lines)


def test_calls_out_and_back_hold_from_the_answer_on(tmp_path: Path) -> None:
    around = admin_deployment(tmp_path, 2)
    with around.running():
        for path in ("servers/s-9/maint", "servers/s-0/maint", "servers/s-0/maint"):
            around.lines.append(f"{path}: {around.call('PUT', '/' + path).status}")
        for number in range(3):
            around.ask("read", answer(200, f"{number}"))
        around.call("PUT", "/servers/s-1/maint")
        around.ask("read")
        around.lines.append(f"avoided: {around.figures()['edge_gw.cluster_unhealthy']}")
        around.call("PUT", "/servers/s-0/ready")
        around.call("PUT", "/servers/s-1/ready")
        around.lines.append(f"avoided: {around.figures()['edge_gw.cluster_unhealthy']}")
        around.ask("read", answer(200, "again"))
    assert not any(line.startswith("s-0") for line in around.lines[:10])
    check_trace(
        "out_and_back",
        [line.replace("s-0: GET", "s: GET").replace("s-1: GET", "s: GET") for line in around.lines],
    )


def test_callers_that_finish_nothing_hold_up_nobody(tmp_path: Path) -> None:
    with admin_deployment(tmp_path, 1).running() as around:
        silent = [socket.create_connection(around.operators) for _ in range(40)]
        for sock in silent[:20]:
            sock.sendall(b"GET /healthcheck HTTP/1.1\r\nHost:")
        assert around.call("GET", "/healthcheck").status == 200
        with socket.create_connection(around.operators) as sock:
            sock.sendall(b"\x16\x03\x01 what\r\n\r\n")
            assert sock.recv(99).startswith(b"HTTP/1.1 400")
        assert around.call("PUT", "/nothing").status == 404
        assert around.call("GET", "/stats").status == 200
        for sock in silent:
            sock.close()


def test_clients_are_sent_away_and_taken_again(tmp_path: Path) -> None:
    with admin_deployment(tmp_path, 1).running() as around:

        def up() -> str:
            with socket.create_connection(around.where) as sock:
                sock.sendall(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                return sock.recv(999).decode().replace("HTTP/1.1 ", "").split("\r\n")[-1].strip()

        resting = socket.create_connection(around.where)
        around.ask("read", answer(200, "before"))
        for call in ("fail", "fail"):
            around.lines.append(f"{call}: {around.call('PUT', f'/healthcheck/{call}').status}, up {up()}")
        around.lines.append(f"resting connections end with {around.client.recv(9)!r} {resting.recv(9)!r}")
        around.client = socket.create_connection(around.where)
        around.ask("read", answer(200, "of the last clients"))
        for call in ("ok", "ok"):
            around.lines.append(f"{call}: {around.call('PUT', f'/healthcheck/{call}').status}, up {up()}")
        around.client = socket.create_connection(around.where)
        around.ask("read", answer(200, "after"))
        around.ask("read", answer(200, "on the same connection"))
    check_trace("emptied", around.lines)


@pytest.mark.parametrize("how", ["environment", "file", "neither"])
def test_the_second_address_is_named_by_environment_or_file_or_is_not_there(how: str, tmp_path: Path) -> None:
    around = admin_deployment(tmp_path, 1) if how == "file" else Deployment(tmp_path, 1)
    if how == "environment":
        around.environment = {"GW_ADMIN_ADDR": "127.0.0.1:0"}
    with around.running():
        assert bool(around.operators[1]) == (how != "neither")
