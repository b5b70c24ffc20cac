"""One sidecar: `serve`, and `check` of what it would serve by."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from .errors import fail

if TYPE_CHECKING:
    from ..sidecar.config import Config

config_option = click.option(
    "--config",
    "path",
    envvar="GW_CONFIG",
    default="",
    metavar="FILE",
    help="The sidecar's configuration, JSON; $GW_CONFIG names it too.",
)


def load_config(path: str) -> Config:
    from ..sidecar import config

    try:
        if not path:
            raise config.ConfigError("no configuration: name it by --config or $GW_CONFIG")
        return config.read(path)
    except config.ConfigError as trouble:
        fail(trouble)


@click.command()
@config_option
def serve(path: str) -> None:
    """Run one sidecar until SIGTERM."""
    from ..sidecar import config, running

    try:
        running.serve(load_config(path), path)
    except config.ConfigError as trouble:
        fail(trouble)


@click.command()
@config_option
def check(path: str) -> None:
    """Read the configuration as `serve` would, and say what would be run."""
    from ..sidecar import running

    config = load_config(path)
    click.echo(
        f"{config.name}: listens on {config.listen.host}:{config.listen.port}, "
        f"{len(config.known_list['hosts'])} servers known, {len(config.request_classes)} tariffs, "
        f"{config.max_client_connections} connections of clients and {config.max_server_connections} to servers at most"
    )
    click.echo(f"fixed while it runs: {', '.join(running.RESTART_ONLY_KEYS)}")
    if config.peers is not None:
        seeds = ", ".join(config.peers.seeds) or "none"
        click.echo(f"speaks with peers at {config.peers.listen}, seeds: {seeds}")
    if config.relays:
        services = "all" if config.services == ("*",) else ", ".join(config.services or ()) or "none"
        click.echo(f"follows relays: {', '.join(config.relays)}; services: {services}")
    if config.keys_without_effect:
        click.echo(f"without effect on this platform: {', '.join(config.keys_without_effect)}")
