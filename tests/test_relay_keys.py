"""The configuration keys for relays: an invalid value is reported in one line that names the key."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from pumicepath.lab.loopback.scripted import Deployment
from pumicepath.sidecar import config

INVALID = [
    ({"relays": []}, "relays: [] is no list of 1 to 64 addresses"),
    ({"relays": "127.0.0.1:1"}, "relays: '127.0.0.1:1' is no list of 1 to 64 addresses"),
    ({"relays": [f"127.0.0.1:{at}" for at in range(1, 66)]}, "relays: ["),
    ({"relays": ["here"]}, "relays[0]: 'here' is no address"),
    ({"relays": ["127.0.0.1:1", "127.0.0.1:99999"]}, "relays[1]: '127.0.0.1:99999' is no address"),
    ({"relays": ["127.0.0.1:0"]}, "relays[0]: '127.0.0.1:0' is no address"),
    ({"relays": [5]}, "relays[0]: 5 is no address"),
    ({"relays": ["127.0.0.1:1", "127.0.0.1:1"]}, "relays[1]: '127.0.0.1:1' is named twice"),
    ({"relays": ["127.0.0.1:1"], "name": ""}, "name: '' is no name"),
    ({"services": ["cart"]}, "services: there are none without relays"),
    ({"relays": None, "services": []}, "services: there are none without relays"),
    ({"relays": ["127.0.0.1:1"], "services": "cart"}, "services: no list of 0 to 256 names"),
    (
        {"relays": ["127.0.0.1:1"], "services": [f"s{at}" for at in range(257)]},
        "services: no list of 0 to 256",
    ),
    ({"relays": ["127.0.0.1:1"], "services": ["cart", "a,b"]}, "services[1]: 'a,b' is no name"),
    ({"relays": ["127.0.0.1:1"], "services": ["*"]}, "services[0]: '*' is no name"),
    ({"relays": ["127.0.0.1:1"], "services": [""]}, "services[0]: '' is no name"),
    ({"relays": ["127.0.0.1:1"], "services": ["x" * 65]}, "services[0]: 'xxx"),
    ({"relays": ["127.0.0.1:1"], "services": [3]}, "services[0]: 3 is no name"),
    ({"relays": ["127.0.0.1:1"], "services": ["a", "a"]}, "services[1]: 'a' is named twice"),
    (
        {"relays": ["127.0.0.1:1"], "services": [f"{at:064}" for at in range(200)]},
        "services: longer than 12000",
    ),
]


@pytest.mark.parametrize("changed, expected", INVALID)
def test_an_invalid_value_is_reported_in_one_line_that_names_the_key(
    changed: dict, expected: str, tmp_path: Path
) -> None:
    deployment = Deployment(tmp_path, 1, **changed)
    with pytest.raises(config.ConfigError) as error:
        config.read(str(deployment.config_path))
    text = str(error.value)
    assert text.startswith(f"{deployment.config_path}: {expected}") and "\n" not in text


@pytest.mark.parametrize("command", ["check", "serve"])
def test_an_invalid_key_exits_with_two_and_a_valid_one_is_printed(command: str, tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 1, relays=["127.0.0.1:8601", "[::1]:8601"], services=["stock", "cart"])
    command_line = [sys.executable, "-m", "pumicepath", command, "--config", str(deployment.config_path)]
    if command == "check":
        completed = subprocess.run(command_line, capture_output=True, text=True)
        assert completed.returncode == 0
        assert "follows relays: 127.0.0.1:8601, [::1]:8601; services: cart, stock\n" in completed.stdout
    deployment.config_path.write_text(json.dumps({**deployment.configuration, "services": ["a b"]}))
    completed = subprocess.run(command_line, capture_output=True, text=True, timeout=20)
    assert completed.returncode == 2 and not completed.stdout
    assert (
        completed.stderr.count("\n") == 1
        and f"{deployment.config_path}: services[0]: 'a b' is no name" in completed.stderr
    )
