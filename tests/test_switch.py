"""Settings exchanged in a running sidecar among stand-ins on loopback: there, back, a bad file between."""

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


def other(told: dict) -> dict:
    """The same sidecar in a deployment of another shape."""
    tariffs = [
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
        **told,
        "settings": {
            "membershipMode": "pushed",
            "weights": "live",
            "dcs": ["b", "a"],
            "zone": 1,
            "me": 3,
            "fleetSize": 50,
            "prices": {"connection": 0.03},
            "tenants": [{"name": "x", "quotaPerS": 90.0}],
            "tariffs": tariffs,
            "rules": {"askEveryS": 6.0, "coldFrom": 0.3, "coldS": 9.0},
            "policyLimits": limits,
        },
    }


def load(around: Deployment, told: dict) -> str:
    around.discovery_script.put(http_response(200, json.dumps(around.list_document(2, True, "active"))))
    around.config_path.write_text(json.dumps(told))
    around.process.send_signal(signal.SIGHUP)
    event = around.next_event("reloaded", "reload_failed")
    return " ".join(
        str(event.get(key)) for key in ("event", "settings", "tariffs", "without_effect", "needs_restart")
    )


def test_what_was_taken_ends_under_its_own_terms_and_the_way_back_is_the_same(tmp_path: Path) -> None:
    around = Deployment(tmp_path, 2)
    old, new, lines = around.configuration, other(around.configuration), around.transcript
    met = around.servers[0].received_requests = around.servers[1].received_requests
    with around.running():
        around.send("read")
        assert met.acquire(timeout=5)
        lines.append(f"-- a hop out that the new file has no tariff for: {load(around, new)}")
        around.script.put(http_response(200, "as taken before"))
        around.receive()
        around.submit("read")
        around.submit("sign", http_response(200, "signed"))
        assert met.acquire(timeout=5)
        around.send("once")
        assert met.acquire(timeout=5)
        lines.append(f"-- bad: {load(around, {**old, 'settings': {'tariffs': [{'effect': 'often'}]}})}")
        lines.append(f"-- back, an unrepeatable hop out: {load(around, old)}")
        lines.append(f"-- once more: {load(around, old)}")
        around.script.put("reset")
        around.receive()
        around.submit("read", http_response(500), http_response(200, "read again elsewhere"))
        lines.append(f"-- there, with another address: {load(around, {**new, 'listen': '127.0.0.1:1'})}")
        around.submit("view", http_response(200, "viewed"))
        assert around.process.poll() is None
    check_trace("switch", [line.replace("s-0", "s").replace("s-1", "s") for line in lines])


class Counting(ScriptedServer):
    """Counts hops, and ends the connection without an answer at the first hop of each seventh submission."""

    def serve(self, sock: socket.socket) -> None:
        parser = RequestParser()
        with sock:
            while (request := read_message(sock, parser)) is not None:
                trace = request.header("X-Trace-Id")
                self.transcript.append(trace)
                if int(trace) % 7 == 0 and self.transcript.count(trace) == 1:
                    return
                sock.sendall(http_response(200, trace))


def test_under_traffic_nothing_is_lost_or_sent_twice_whatever_is_loaded_meanwhile(tmp_path: Path) -> None:
    around, hops, heard = Deployment(tmp_path, 0), [], []  # type: ignore[var-annotated]
    around.servers = [Counting(f"c-{at}", queue.SimpleQueue(), hops) for at in range(2)]
    around.configuration["known"] = around.list_document(1, True, "active")
    around.configuration["settings"]["tariffs"][0]["name"] = "view"
    around.config_path.write_text(json.dumps(around.configuration))

    def client(first: int) -> None:
        for number in range(first, first + 150):
            headers = [
                ("Host", "api"),
                ("X-Trace-Id", str(number)),
                ("X-Object", f"lot {number % 40}"),
                ("X-Qos", "once" if number % 2 else "view"),
            ]
            with socket.create_connection(around.address) as sock:
                sock.sendall(writing.request("POST", "/api", headers, b""))
                response = read_message(sock, ResponseParser())
            heard.append(response is not None and (response.status != 200 or int(response.body) == number))

    with around.running():
        threads = [threading.Thread(target=client, args=(1000 * at,), daemon=True) for at in range(1, 5)]
        for thread in threads:
            thread.start()
        files, loaded = (other(around.configuration), {}, around.configuration, around.configuration), []
        while any(thread.is_alive() for thread in threads) or len(loaded) < 4:
            loaded.append(load(around, files[len(loaded) % 4]).split()[0])
        assert around.process.poll() is None
    assert heard == [True] * 600 and loaded[:4] == ["reloaded", "reload_failed", "reloaded", "reloaded"]
    assert not [trace for trace, count in Counter(hops).items() if int(trace) % 2 and count > 1]


@pytest.mark.parametrize(
    ("settings", "says"),
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
def test_settings_that_cannot_be_meant_are_named_by_their_key(settings: dict, says: str) -> None:
    with pytest.raises(ValueError, match="^settings") as trouble:
        check_settings(settings)
    assert str(trouble.value).startswith(says)


def test_a_file_that_takes_the_place_of_another_lacks_nothing_that_is_read(tmp_path: Path) -> None:
    around, lines = Deployment(tmp_path, 1), []
    before, text = config.read(str(around.config_path)), json.dumps(around.configuration)

    def said(what: str, data: str) -> None:
        around.config_path.write_text(data)
        try:
            config.read_replacement(str(around.config_path), before)
            lines.append(f"{what}: taken")
        except config.ConfigError as trouble:
            lines.append(f"{what}: {str(trouble).replace(str(around.config_path), 'FILE')[:70]}")

    said("the same", text)
    said("empty", "")
    said("cut short", text[:-40])
    said("nested without end", "[" * 100_000)
    said("no object", "[1]")
    for key in around.configuration:
        rest = {name: value for name, value in around.configuration.items() if name != key}
        said(f"without {key}", json.dumps(rest))
    for key in around.configuration["settings"]:
        rest = {**around.configuration, "settings": {**around.configuration["settings"]}}
        del rest["settings"][key]
        said(f"without settings.{key}", json.dumps(rest))
    for part, at in (("policyLimits", None), ("rules", None), ("tariffs", 1)):
        whole = (
            around.configuration["settings"][part]
            if at is None
            else around.configuration["settings"][part][at]
        )
        for key in list(whole):
            value = whole.pop(key)
            said(f"without {part}.{key}", json.dumps(around.configuration))
            whole[key] = value
    check_trace("lacking", lines)
