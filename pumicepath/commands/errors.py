"""How a command ends that cannot do what it was called for."""

from __future__ import annotations

import sys
from typing import NoReturn

import click


def fail(error: object, code: int = 2) -> NoReturn:
    """Print one line to standard error and exit; code 2 stands for invalid usage or input."""
    click.echo(f"pumicepath: {error}", err=True)
    sys.exit(code)
