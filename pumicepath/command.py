"""The command line; commands stand in `commands`, of which only what is called is imported."""

from __future__ import annotations

from importlib import import_module

import click

from . import __version__

# Command by command the module of `commands` that has it, in the order in which help shows them.
COMMAND_MODULES = {
    "serve": "sidecar",
    "check": "sidecar",
    "relay": "relay",
    "peers": "peers",
    "lab": "lab",
    "demo": "demo",
}


class LazyCommands(click.Group):
    """Imports what is called: a sidecar runs beside each process, and holds no code of other commands."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return [*COMMAND_MODULES, *super().list_commands(ctx)]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMAND_MODULES:
            return super().get_command(ctx, cmd_name)
        command: click.Command = getattr(
            import_module(f".commands.{COMMAND_MODULES[cmd_name]}", __package__), cmd_name
        )
        return command


@click.group(cls=LazyCommands)
def main() -> None:
    """A load balancer beside each calling process."""


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)
