"""`relay`: lists and changes from each region's discovery to many sidecars."""

from __future__ import annotations

import click

from .errors import fail


@click.command()
@click.option(
    "--config",
    "path",
    envvar="GW_RELAY_CONFIG",
    default="",
    metavar="FILE",
    help="The relay's configuration, JSON; $GW_RELAY_CONFIG names it too.",
)
def relay(path: str) -> None:
    """Hand the lists of each region's discovery on to many sidecars, until SIGTERM."""
    from ..relay import config, running

    if not path:
        fail("no configuration: name it by --config or $GW_RELAY_CONFIG")
    try:
        told = config.read(path)
    except config.ConfigError as trouble:
        fail(trouble)
    try:
        running.run(told)
    except OSError as trouble:
        fail(f"{path}: listen or admin: {trouble.strerror}")
