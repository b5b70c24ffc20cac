"""The operators' address: parsing of calls, metrics, servers taken out of service, clients sent away."""

import json
import socket
from pathlib import Path

import pytest

from pumicepath.admin.calls import parse_call
from pumicepath.admin.metrics import Metrics
from pumicepath.http1.messages import MalformedMessageError, Request
from pumicepath.interface import ListKind, Outcome, ServerState
from pumicepath.lab.loopback.scripted import Deployment, http_response

from .helpers import SECOND, ScriptedHost, check_host_trace, check_trace, make_entry, make_settings

NEVER = ("X-Never-Ran", "1")


def admin_deployment(folder: Path, servers: int, **changed: object) -> Deployment:
    deployment = Deployment(folder, servers, admin_addr="127.0.0.1:0", **changed)
    deployment.environment = {"TMPDIR": str(folder)}
    return deployment


def test_calls_are_recognised_and_other_requests_refused() -> None:
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
        except MalformedMessageError as error:
            lines.append(f"{line}: {error.status} {error}")
    check_trace("calls", lines)


def test_metrics_of_removed_classes_stay_in_bounded_number_and_names_cannot_break_a_line() -> None:
    metrics = Metrics()
    for status in (200, 429, 503, 502, 400):
        metrics.submission_finished("read", status)
    metrics.submission_finished("a=1\nb", 200)
    for number in range(3000):
        metrics.submission_finished(f"c{number}", 200)
    lines = metrics.render(["read", "new"], {"current": 3}).splitlines()
    assert len(lines) < 1010
    check_trace("figures", [line for line in lines if ".c" not in line or "current" in line])


def test_a_server_taken_out_stays_out_whatever_is_listed_and_returns_cold() -> None:
    host = ScriptedHost(make_settings(cold_duration=20 * SECOND), [make_entry(1), make_entry(2)])
    set_out_of_service, update_servers = host.balancer.set_out_of_service, host.balancer.update_servers

    def send_hops(what: str) -> None:
        before = len(host.sent_to)
        host.run_submissions(100 + 40 * len(host.lines), 30, 1, Outcome.OK)
        servers_hit = host.sent_to[before:]
        standing = host.balancer.server_counts()
        host.lines = [line for line in host.lines if "hop to" not in line]
        hops = [servers_hit.count(server) for server in (1, 2)]
        host.note(f"{what}: {hops} hops, {standing[0]} listed, {standing[1]} avoided")

    def call(server: int, out: bool) -> None:
        host.note(
            f"{server} {'out' if out else 'back'}: "
            f"{'yes' if set_out_of_service(host.now, server, out) else 'no'}"
        )

    send_hops("before")
    preferred = 1 if host.sent_to[-1] == 1 else 2
    call(9, True)
    call(9, False)
    call(preferred, True)
    call(preferred, True)
    send_hops("out")
    update_servers(host.now, ListKind.FULL, [make_entry(3 - preferred)])
    send_hops("not listed any more")
    restarted_at = host.now
    update_servers(host.now, ListKind.CHANGES, [make_entry(preferred, started_at=restarted_at)])
    send_hops("listed as new")
    update_servers(
        host.now,
        ListKind.FULL,
        [make_entry(preferred, state=ServerState.DRAINING), make_entry(3 - preferred)],
    )
    update_servers(host.now, ListKind.FULL, [make_entry(preferred), make_entry(3 - preferred)])
    host.advance_to(host.now / SECOND + 60)
    send_hops("a minute later")
    call(preferred, False)
    send_hops("back, cold")
    assert host.balancer.started_at[host.balancer.index_by_id[preferred]] == restarted_at
    host.advance_to(host.now / SECOND + 60)
    call(preferred, True)
    call(preferred, False)
    update_servers(host.now, ListKind.CHANGES, [make_entry(preferred, started_at=restarted_at + SECOND)])
    send_hops("out and back, an old start listed since")
    host.advance_to(host.now / SECOND + 60)
    send_hops("warm")
    call(preferred, False)
    assert not host.balancer.out_of_service
    check_host_trace("by_hand", host)


def test_a_server_put_back_while_not_listed_is_cold_too() -> None:
    host = ScriptedHost(make_settings(cold_duration=20 * SECOND), [make_entry(1), make_entry(2)])
    host.balancer.set_out_of_service(host.now, 1, True)
    host.balancer.update_servers(host.now, ListKind.FULL, [make_entry(2)])
    assert host.advance_to(30).balancer.set_out_of_service(host.now, 1, False)
    host.balancer.update_servers(host.now, ListKind.FULL, [make_entry(1), make_entry(2)])
    assert host.balancer.warm_fraction(host.now, host.balancer.index_by_id[1]) < 0.3


def test_metrics_count_what_clients_and_servers_saw(tmp_path: Path) -> None:
    deployment = admin_deployment(tmp_path, 1)
    with deployment.running():
        deployment.submit("read", http_response(200, "a"))
        deployment.submit("once", http_response(500))
        deployment.submit("once", http_response(503, "", NEVER))
        deployment.submit("read", http_response(503, "", NEVER))
        deployment.submit("once", "reset")
        deployment.send("gold")
        deployment.receive()
        metrics = deployment.metrics()
        assert 0 <= metrics.pop("edge_gw.list_awaited_ms") < 10_000
        # How much memory is held depends on the machine; the names must be there.
        memory = {name: value for name, value in metrics.items() if ".memory_" in name}
        assert memory["edge_gw.memory_held"] == 0 < memory["edge_gw.memory_limit"] and len(memory) == 10
        lines = [f"{name}={value}" for name, value in metrics.items() if name not in memory]
        deployment.send("read")
        assert [deployment.servers[0].received_requests.acquire(timeout=5) for _ in range(6)] == [True] * 6
        lines.append(f"one under way: {deployment.metrics()['edge_gw.current']}")
        deployment.script.put(http_response(200, "b"))
        deployment.receive()
        for raw_config in (deployment.configuration, {}):
            deployment.config_path.write_text(json.dumps(raw_config))
            deployment.process.send_signal(1)
            deployment.next_event("reloaded" if raw_config else "reload_failed")
        lines += [f"{name}={value}" for name, value in deployment.metrics().items() if "conf" in name]
    check_trace("counted", lines)


def test_taking_out_and_putting_back_take_effect_with_the_answer(tmp_path: Path) -> None:
    deployment = admin_deployment(tmp_path, 2)
    with deployment.running():
        for path in ("servers/s-9/maint", "servers/s-0/maint", "servers/s-0/maint"):
            deployment.transcript.append(f"{path}: {deployment.call_admin('PUT', '/' + path).status}")
        for number in range(3):
            deployment.submit("read", http_response(200, f"{number}"))
        deployment.call_admin("PUT", "/servers/s-1/maint")
        deployment.submit("read")
        deployment.transcript.append(f"avoided: {deployment.metrics()['edge_gw.cluster_unhealthy']}")
        deployment.call_admin("PUT", "/servers/s-0/ready")
        deployment.call_admin("PUT", "/servers/s-1/ready")
        deployment.transcript.append(f"avoided: {deployment.metrics()['edge_gw.cluster_unhealthy']}")
        deployment.submit("read", http_response(200, "again"))
    assert not any(line.startswith("s-0") for line in deployment.transcript[:10])
    check_trace(
        "out_and_back",
        [line.replace("s-0: GET", "s: GET").replace("s-1: GET", "s: GET") for line in deployment.transcript],
    )


def test_callers_that_never_finish_a_request_do_not_delay_others(tmp_path: Path) -> None:
    with admin_deployment(tmp_path, 1).running() as deployment:
        silent = [socket.create_connection(deployment.admin_address) for _ in range(40)]
        for sock in silent[:20]:
            sock.sendall(b"GET /healthcheck HTTP/1.1\r\nHost:")
        assert deployment.call_admin("GET", "/healthcheck").status == 200
        with socket.create_connection(deployment.admin_address) as sock:
            sock.sendall(b"\x16\x03\x01 what\r\n\r\n")
            assert sock.recv(99).startswith(b"HTTP/1.1 400")
        assert deployment.call_admin("PUT", "/nothing").status == 404
        assert deployment.call_admin("GET", "/stats").status == 200
        for sock in silent:
            sock.close()


def test_clients_are_sent_away_and_accepted_again(tmp_path: Path) -> None:
    with admin_deployment(tmp_path, 1).running() as deployment:

        def up() -> str:
            with socket.create_connection(deployment.address) as sock:
                sock.sendall(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                return sock.recv(999).decode().replace("HTTP/1.1 ", "").split("\r\n")[-1].strip()

        idle_sock = socket.create_connection(deployment.address)
        deployment.submit("read", http_response(200, "before"))
        for call in ("fail", "fail"):
            deployment.transcript.append(
                f"{call}: {deployment.call_admin('PUT', f'/healthcheck/{call}').status}, up {up()}"
            )
        deployment.transcript.append(
            f"resting connections end with {deployment.client_socket.recv(9)!r} {idle_sock.recv(9)!r}"
        )
        deployment.client_socket = socket.create_connection(deployment.address)
        deployment.submit("read", http_response(200, "of the last clients"))
        for call in ("ok", "ok"):
            deployment.transcript.append(
                f"{call}: {deployment.call_admin('PUT', f'/healthcheck/{call}').status}, up {up()}"
            )
        deployment.client_socket = socket.create_connection(deployment.address)
        deployment.submit("read", http_response(200, "after"))
        deployment.submit("read", http_response(200, "on the same connection"))
    check_trace("emptied", deployment.transcript)


@pytest.mark.parametrize("how", ["environment", "file", "neither"])
def test_the_operators_address_comes_from_environment_or_file_or_is_absent(how: str, tmp_path: Path) -> None:
    deployment = admin_deployment(tmp_path, 1) if how == "file" else Deployment(tmp_path, 1)
    if how == "environment":
        deployment.environment = {"GW_ADMIN_ADDR": "127.0.0.1:0"}
    with deployment.running():
        assert bool(deployment.admin_address[1]) == (how != "neither")
