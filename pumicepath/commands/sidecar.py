"""One sidecar: `serve`, and `check` of what it would serve by."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from .ends import fail

if TYPE_CHECKING:
    from ..sidecar.config import Config

CONFIG = click.option(
    "--config",
    "path",
    envvar="GW_CONFIG",
    default="",
    metavar="FILE",
    help="The sidecar's configuration, JSON; $GW_CONFIG names it too.",
)


def load(path: str) -> Config:
    from ..sidecar import config

    try:
        if not path:
            raise config.BadConfig("no configuration: name it by --config or $GW_CONFIG")
        return config.read(path)
    except config.BadConfig as trouble:
        fail(trouble)


@click.command()
@CONFIG
def serve(path: str) -> None:
    """Run one sidecar until SIGTERM."""
    from ..sidecar import config, running

    try:
        running.serve(load(path), path)
    except config.BadConfig as trouble:
        fail(trouble)


@click.command()
@CONFIG
def check(path: str) -> None:
    """Read the configuration as `serve` would, and say what would be run."""
    from ..sidecar import running

    config = load(path)
    click.echo(
        f"{config.name}: listens on {config.listen.host}:{config.listen.port}, "
        f"{len(config.known['hosts'])} servers known, {len(config.tariffs)} tariffs, "
        f"{config.from_clients} connections of clients and {config.to_servers} to servers at most"
    )
    click.echo(f"fixed while it runs: {', '.join(running.FIXED)}")
    if config.peers is not None:
        seeds = ", ".join(config.peers.seeds) or "none"
        click.echo(f"speaks with peers at {config.peers.listen}, seeds: {seeds}")
    if config.relays:
        services = "all" if config.services == ("*",) else ", ".join(config.services or ()) or "none"
        click.echo(f"follows relays: {', '.join(config.relays)}; services: {services}")
    if config.idle_keys:
        click.echo(f"without effect on this platform: {', '.join(config.idle_keys)}")
