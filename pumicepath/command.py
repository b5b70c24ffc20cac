"""The command line."""

from __future__ import annotations

import sys
from typing import NoReturn

import click

from . import __version__
from .sidecar import config as settings
from .sidecar import running

CONFIG = click.option("--config", "path", envvar="GW_CONFIG", default="", metavar="FILE",
                      help="The sidecar's configuration, JSON; $GW_CONFIG names it too.")


def load(path: str) -> settings.Config:
    try:
        if not path:
            raise settings.BadConfig("no configuration: name it by --config or $GW_CONFIG")
        return settings.read(path)
    except settings.BadConfig as trouble:
        fail(trouble)


def fail(trouble: Exception) -> NoReturn:
    click.echo(f"pumicepath: {trouble}", err=True)
    sys.exit(2)


@click.group()
def main() -> None:
    """A load balancer beside each calling process."""


@main.command()
@CONFIG
def serve(path: str) -> None:
    """Run one sidecar until SIGTERM."""
    try:
        running.serve(load(path), path)
    except settings.BadConfig as trouble:
        fail(trouble)


@main.command()
@CONFIG
def check(path: str) -> None:
    """Read the configuration as `serve` would, and say what would be run."""
    config = load(path)
    click.echo(f"{config.name}: listens on {config.listen.host}:{config.listen.port}, "
               f"{len(config.known['hosts'])} servers known, {len(config.tariffs)} tariffs, "
               f"{config.from_clients} connections of clients and {config.to_servers} to servers at most")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)
