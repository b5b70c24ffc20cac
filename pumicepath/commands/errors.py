"""How commands end when they can't do what they were asked to."""

from __future__ import annotations

import sys
from typing import NoReturn

import click


def fail(error: object, code: int = 2) -> NoReturn:
    """One clear line on standard error; 2 for what was asked wrongly."""
    click.echo(f"pumicepath: {error}", err=True)
    sys.exit(code)
