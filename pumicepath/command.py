"""The command line; each group's commands stand in `commands`."""

from __future__ import annotations

import click

from . import __version__
from .commands import demo, lab, peers, relay, sidecar


@click.group()
def main() -> None:
    """A load balancer beside each calling process."""


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)


main.add_command(sidecar.serve)
main.add_command(sidecar.check)
main.add_command(peers.peers)
main.add_command(relay.relay)
main.add_command(lab.lab)
main.add_command(demo.demo)
