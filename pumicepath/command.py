"""The command line; of the modules in `commands` only that of the command that is called is imported."""

from __future__ import annotations

from importlib import import_module

import click

from . import __version__

# The module of `commands` that has each command, in the order in which the help lists them.
COMMAND_MODULES = {
    "serve": "sidecar",
    "check": "sidecar",
    "relay": "relay",
    "peers": "peers",
    "lab": "lab",
    "demo": "demo",
}


class LazyCommands(click.Group):
    """Imports a command when it is called, so that sidecar processes hold no code of other commands."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, without importing them."""
        return [*COMMAND_MODULES, *super().list_commands(ctx)]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command; None if there is none of this name."""
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
