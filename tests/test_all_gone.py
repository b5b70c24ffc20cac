"""A whole list without any server: all of them are gone, and nothing more is sent to them."""

import json
import signal
import socket
from pathlib import Path
from types import SimpleNamespace

import pytest

from pumicepath.discovery.server_list import ServerList
from pumicepath.http1.parsing import ResponseParser
from pumicepath.lab.loopback.scripted import Deployment, http_response
from pumicepath.sidecar import config, running


def list_response(deployment: Deployment, seq: int, health: str = "") -> bytes:
    """A whole list: all servers with this health, or none."""
    document = deployment.list_document(seq, True, health)
    return http_response(200, json.dumps(document if health else {**document, "hosts": []}))


def wait_for_calls(deployment: Deployment, count: int) -> None:
    """Wait until so many further calls have arrived at discovery; the answers before them were handled."""
    for _ in range(count):
        assert deployment.discovery.received_requests.acquire(timeout=20)


def test_nothing_is_sent_to_servers_once_a_whole_list_names_none(tmp_path: Path) -> None:
    """The empty list was refused as invalid, and for as long as it stayed empty work was sent to servers that
    had left: rule on draining servers, told at once and broken seconds later."""
    deployment = Deployment(tmp_path, 2)
    deployment.discovery_script.put(list_response(deployment, 2))
    with deployment.running():
        wait_for_calls(deployment, 2)
        answer = deployment.submit("read")
        assert answer is not None and answer.status == 503
        assert not any(line.startswith("s-") for line in deployment.transcript)
        deployment.discovery_script.put(list_response(deployment, 3, "active"))
        wait_for_calls(deployment, 1)
        served = deployment.submit("read", http_response(200, "they are back"))
        assert served is not None and served.status == 200


@pytest.mark.parametrize("whole", [True, False])
def test_servers_that_leave_by_a_change_or_beside_one_that_stays_get_nothing(
    whole: bool, tmp_path: Path
) -> None:
    deployment = Deployment(tmp_path, 2)
    document = deployment.list_document(2, whole, "active" if whole else "left")
    hosts = document["hosts"][:1] if whole else document["hosts"]
    deployment.discovery_script.put(http_response(200, json.dumps({**document, "hosts": hosts})))
    with deployment.running():
        wait_for_calls(deployment, 2)
        for _ in range(10):
            deployment.submit("read", *([http_response(200, "served")] if whole else []))
    servers = {line.split(":")[0] for line in deployment.transcript if line.startswith("s-")}
    assert servers == ({"s-0"} if whole else set())


def test_requests_on_their_way_to_servers_that_have_left_are_answered(tmp_path: Path) -> None:
    """Beside the rule: what was sent before the list came is finished, and its answer is passed on."""
    deployment = Deployment(tmp_path, 1)
    with deployment.running():
        deployment.send("once")
        assert deployment.servers[0].received_requests.acquire(timeout=20)
        deployment.discovery_script.put(list_response(deployment, 2))
        wait_for_calls(deployment, 3)  # at the start, the watch that gets the list, and the next one
        with socket.create_connection(deployment.address) as other:
            deployment.send("read", sock=other)
            refused = deployment.receive(other, ResponseParser())
        deployment.script.put(http_response(200, "finished"))
        served = deployment.receive()
    assert refused is not None and refused.status == 503
    assert served is not None and served.body == b"finished"


def test_a_new_process_sends_nothing_to_servers_of_its_file_once_the_list_names_none(tmp_path: Path) -> None:
    """Where lists are pushed, what discovery has binds from the first moment of a process."""
    deployment = Deployment(tmp_path, 1)
    deployment.configuration["settings"]["membershipMode"] = "pushed"
    deployment.write_configuration()
    deployment.discovery_script.put(list_response(deployment, 2))
    with deployment.running():
        answer = deployment.submit("read")
        assert answer is not None and answer.status == 503
        deployment.process.send_signal(signal.SIGTERM)
        assert deployment.next_event("stopped")["broken"] == {}
    assert not any(line.startswith("s-") for line in deployment.transcript)


def test_a_new_process_of_a_hot_restart_takes_over_a_list_without_servers(tmp_path: Path) -> None:
    """Not the list of its file, whose servers have left."""
    settings = config.decode_config(Deployment(tmp_path, 2).configuration)
    server_list = ServerList(["a"], lambda born: 0)
    assert len(running.initial_list(server_list, settings, None)[0].entries) == 2
    handover = SimpleNamespace(known_list={"seq": 2, "whole": True, "hosts": []})
    update, raw = running.initial_list(server_list, settings, handover)  # type: ignore[arg-type]
    assert update.whole and update.version == 2 and not update.entries and raw is handover.known_list
