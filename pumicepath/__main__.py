"""Runs the command line: `python -m pumicepath`."""

from .command import main

main(prog_name="pumicepath")
