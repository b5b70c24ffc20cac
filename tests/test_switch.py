"""Settings of a running sidecar are replaced, restored and given in invalid files, on loopback."""

import json
import math
import queue
import signal
import socket
import threading
from collections import Counter
from pathlib import Path

import pytest

from pumicepath.http1 import writing
from pumicepath.http1.parsing import RequestParser, ResponseParser
from pumicepath.lab.loopback.scripted import Deployment, ScriptedServer, http_response, read_message
from pumicepath.settings import check_settings
from pumicepath.sidecar import config

from .helpers import check_trace


def other_settings(config_file: dict) -> dict:
    """Return the config of the same sidecar with settings of another shape."""
    request_classes = [
        {"name": name, "effect": effect, "gain": 1.0, "agreedTimeS": 0.2, "patienceS": 2.0}
        for name, effect in (("sign", "at_most_once"), ("once", "at_most_once"), ("view", "idempotent"))
    ]
    limits = {
        "mostHops": 3,
        "connIdleS": 10.0,
        "dialTimeoutS": 0.1,
        "retryAfter": True,
        "mayTell": True,
        "maxRetryAfterS": 2.0,
    }
    return {
        **config_file,
        "settings": {
            "membershipMode": "pushed",
            "weights": "live",
            "dcs": ["b", "a"],
            "zone": 1,
            "me": 3,
            "fleetSize": 50,
            "prices": {"connection": 0.03},
            "tenants": [{"name": "x", "quotaPerS": 90.0}],
            "tariffs": request_classes,
            "rules": {"askEveryS": 6.0, "coldFrom": 0.3, "coldS": 9.0},
            "policyLimits": limits,
        },
    }


def reload(deployment: Deployment, config_file: dict) -> str:
    deployment.discovery_script.put(
        http_response(200, json.dumps(deployment.list_document(2, True, "active")))
    )
    deployment.config_path.write_text(json.dumps(config_file))
    deployment.process.send_signal(signal.SIGHUP)
    event = deployment.next_event("reloaded", "reload_failed")
    return " ".join(
        str(event.get(key)) for key in ("event", "settings", "tariffs", "without_effect", "needs_restart")
    )


def test_admitted_submissions_end_under_their_own_class_also_when_settings_are_restored(
    tmp_path: Path,
) -> None:
    deployment = Deployment(tmp_path, 2)
    old, new, lines = (
        deployment.configuration,
        other_settings(deployment.configuration),
        deployment.transcript,
    )
    arrived = deployment.servers[0].received_requests = deployment.servers[1].received_requests
    with deployment.running():
        deployment.send("read")
        assert arrived.acquire(timeout=5)
        lines.append(f"-- a hop out that the new file has no tariff for: {reload(deployment, new)}")
        deployment.script.put(http_response(200, "as taken before"))
        deployment.receive()
        deployment.submit("read")
        deployment.submit("sign", http_response(200, "signed"))
        assert arrived.acquire(timeout=5)
        deployment.send("once")
        assert arrived.acquire(timeout=5)
        lines.append(f"-- bad: {reload(deployment, {**old, 'settings': {'tariffs': [{'effect': 'often'}]}})}")
        lines.append(f"-- back, an unrepeatable hop out: {reload(deployment, old)}")
        lines.append(f"-- once more: {reload(deployment, old)}")
        deployment.script.put("reset")
        deployment.receive()
        deployment.submit("read", http_response(500), http_response(200, "read again elsewhere"))
        lines.append(
            f"-- there, with another address: {reload(deployment, {**new, 'listen': '127.0.0.1:1'})}"
        )
        deployment.submit("view", http_response(200, "viewed"))
        assert deployment.process.poll() is None
    check_trace("switch", [line.replace("s-0", "s").replace("s-1", "s") for line in lines])


class Counting(ScriptedServer):
    """Counts hops, and closes the connection unanswered at the first hop of each seventh submission."""

    def serve(self, sock: socket.socket) -> None:
        parser = RequestParser()
        with sock:
            while (request := read_message(sock, parser)) is not None:
                trace = request.header("X-Trace-Id")
                self.transcript.append(trace)
                if int(trace) % 7 == 0 and self.transcript.count(trace) == 1:
                    return
                sock.sendall(http_response(200, trace))


def test_under_traffic_reloads_lose_no_submission_and_send_none_twice(tmp_path: Path) -> None:
    deployment, hops, results = Deployment(tmp_path, 0), [], []  # type: ignore[var-annotated]
    deployment.servers = [Counting(f"c-{at}", queue.SimpleQueue(), hops) for at in range(2)]
    deployment.configuration["known"] = deployment.list_document(1, True, "active")
    deployment.configuration["settings"]["tariffs"][0]["name"] = "view"
    deployment.write_configuration()

    def client(first: int) -> None:
        for number in range(first, first + 150):
            headers = [
                ("Host", "api"),
                ("X-Trace-Id", str(number)),
                ("X-Object", f"lot {number % 40}"),
                ("X-Qos", "once" if number % 2 else "view"),
            ]
            with socket.create_connection(deployment.address) as sock:
                sock.sendall(writing.request("POST", "/api", headers, b""))
                response = read_message(sock, ResponseParser())
            results.append(response is not None and (response.status != 200 or int(response.body) == number))

    with deployment.running():
        threads = [threading.Thread(target=client, args=(1000 * at,), daemon=True) for at in range(1, 5)]
        for thread in threads:
            thread.start()
        files, events = (
            (
                other_settings(deployment.configuration),
                {},
                deployment.configuration,
                deployment.configuration,
            ),
            [],
        )
        while any(thread.is_alive() for thread in threads) or len(events) < 4:
            events.append(reload(deployment, files[len(events) % 4]).split()[0])
        assert deployment.process.poll() is None
    assert results == [True] * 600 and events[:4] == ["reloaded", "reload_failed", "reloaded", "reloaded"]
    assert not [trace for trace, count in Counter(hops).items() if int(trace) % 2 and count > 1]


@pytest.mark.parametrize(
    ("settings", "message"),
    [
        ({"rules": {"coldFrom": 1.5}}, "settings.rules.coldFrom: 1.5 is not from 0.0 to 1.0"),
        ({"rules": {"coldS": math.inf}}, "settings.rules.coldS: inf is not from"),
        ({"weights": "heavy"}, "settings.weights: 'heavy' is not off or nominal or rough or live"),
        ({"policyLimits": {"mayTell": 1}}, "settings.policyLimits.mayTell: 1 is not true or false"),
        ({"prices": 3}, "settings.prices is no object"),
        ({"tenants": "abc"}, "settings.tenants is no list"),
        ({"me": 4, "fleetSize": 4}, "settings.me: 4 is none of 4 sidecars"),
        ({"dcs": ["a"], "zone": 1}, "settings.zone: 1 is none of 1 dcs"),
        ({"tariffs": [{"name": "a"}, {"name": "a"}]}, "settings.tariffs: one name twice"),
        ({"tariffs": [{"name": "b"}, {"name": "a"}, {"name": "a"}]}, "settings.tariffs: one name twice: 'a'"),
        (
            {"tariffs": [{"effect": "deduplicated", "windowS": 0}]},
            "settings.tariffs[0].windowS: 0 is no time",
        ),
        (
            {"tariffs": [{"effect": "idempotent", "windowS": -1}]},
            "settings.tariffs[0].windowS: -1 is not from",
        ),
        ({"tariffs": [{"patienceS": -2}]}, "settings.tariffs[0].patienceS: -2 is not from"),
        ({"tariffs": [{"effect": "often"}]}, "settings.tariffs[0].effect: 'often' is not"),
        ({"dcs": ["a"], "tariffs": [{"allowedIn": []}]}, "settings.tariffs[0].allowedIn: [] is not a list"),
        ({"dcs": ["a"], "tariffs": [{"allowedIn": [1]}]}, "settings.tariffs[0].allowedIn: 1 is none of dcs"),
        ({"tariffs": [{"kindsAllowed": ["x"]}]}, "settings.tariffs[0].kindsAllowed: 'x' is none of kinds"),
        ({"kinds": 5}, "settings.kinds is no list"),
        ({"rules": {"fullUnproven": 1}}, "settings.rules.fullUnproven: 1 is not true or false"),
        ({"tariffs": [{"patienceS": 0}]}, "settings.tariffs[0].patienceS: 0 is not from"),
        ({"tariffs": [{"patienceS": None}]}, "settings.tariffs[0].patienceS: None is not from"),
        ({"tariffs": [{"agreedTimeS": "0.3"}]}, "settings.tariffs[0].agreedTimeS: '0.3' is not from"),
        ({"tariffs": [{"agreedTimeS": math.nan}]}, "settings.tariffs[0].agreedTimeS: nan is not from"),
        ({"tariffs": [{"patienceS": True}]}, "settings.tariffs[0].patienceS: True is not from"),
        ({"policyLimits": {"mostHops": None}}, "settings.policyLimits.mostHops: None is not from"),
        ({"policyLimits": {"mostHops": 0}}, "settings.policyLimits.mostHops: 0 is not from"),
        ({"policyLimits": {"mostHops": 2.5}}, "settings.policyLimits.mostHops: 2.5 is not from"),
        ({"policyLimits": {"mostHops": -1}}, "settings.policyLimits.mostHops: -1 is not from"),
    ],
)
def test_invalid_settings_are_named_by_their_key(settings: dict, message: str) -> None:
    with pytest.raises(ValueError, match="^settings") as error:
        check_settings(settings)
    assert str(error.value).startswith(message)


def test_a_file_that_replaces_another_must_have_everything_that_is_read(tmp_path: Path) -> None:
    deployment, lines = Deployment(tmp_path, 1), []
    before, text = config.read(str(deployment.config_path)), json.dumps(deployment.configuration)

    def check_file(what: str, data: str) -> None:
        deployment.config_path.write_text(data)
        try:
            config.read_replacement(str(deployment.config_path), before)
            lines.append(f"{what}: taken")
        except config.ConfigError as error:
            lines.append(f"{what}: {str(error).replace(str(deployment.config_path), 'FILE')[:70]}")

    check_file("the same", text)
    check_file("empty", "")
    check_file("cut short", text[:-40])
    check_file("nested without end", "[" * 100_000)
    check_file("no object", "[1]")
    for key in deployment.configuration:
        remaining = {name: value for name, value in deployment.configuration.items() if name != key}
        check_file(f"without {key}", json.dumps(remaining))
    for key in deployment.configuration["settings"]:
        remaining = {**deployment.configuration, "settings": {**deployment.configuration["settings"]}}
        del remaining["settings"][key]
        check_file(f"without settings.{key}", json.dumps(remaining))
    for part, index in (("policyLimits", None), ("rules", None), ("tariffs", 1)):
        whole = (
            deployment.configuration["settings"][part]
            if index is None
            else deployment.configuration["settings"][part][index]
        )
        for key in list(whole):
            value = whole.pop(key)
            check_file(f"without {part}.{key}", json.dumps(deployment.configuration))
            whole[key] = value
    check_trace("lacking", lines)
