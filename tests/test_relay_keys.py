"""The keys of a sidecar that follows relays: what can't be meant is one line that names the key."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from pumicepath.lab.loopback.scripted import Deployment
from pumicepath.sidecar import config

BAD = [
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


@pytest.mark.parametrize("changed, says", BAD)
def test_keys_that_cannot_be_meant_are_one_line_that_names_the_key(
    changed: dict, says: str, tmp_path: Path
) -> None:
    around = Deployment(tmp_path, 1, **changed)
    with pytest.raises(config.ConfigError) as trouble:
        config.read(str(around.config))
    text = str(trouble.value)
    assert text.startswith(f"{around.config}: {says}") and "\n" not in text


@pytest.mark.parametrize("command", ["check", "serve"])
def test_a_bad_key_ends_the_program_with_two_and_a_good_one_is_told(command: str, tmp_path: Path) -> None:
    around = Deployment(tmp_path, 1, relays=["127.0.0.1:8601", "[::1]:8601"], services=["stock", "cart"])
    started = [sys.executable, "-m", "pumicepath", command, "--config", str(around.config)]
    if command == "check":
        ran = subprocess.run(started, capture_output=True, text=True)
        assert ran.returncode == 0
        assert "follows relays: 127.0.0.1:8601, [::1]:8601; services: cart, stock\n" in ran.stdout
    around.config.write_text(json.dumps({**around.told, "services": ["a b"]}))
    ran = subprocess.run(started, capture_output=True, text=True, timeout=20)
    assert ran.returncode == 2 and not ran.stdout
    assert ran.stderr.count("\n") == 1 and f"{around.config}: services[0]: 'a b' is no name" in ran.stderr
