"""The command `relay`, which passes server lists from discovery on to many sidecars."""

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
    """Pass the server lists of each region's discovery on to many sidecars, until SIGTERM."""
    from ..relay import config, running

    if not path:
        fail("no configuration: name it by --config or $GW_RELAY_CONFIG")
    try:
        settings = config.read(path)
    except config.ConfigError as error:
        fail(error)
    try:
        running.run(settings)
    except OSError as error:
        fail(f"{path}: listen or admin: {error.strerror}")
