"""Serve the simulator on standard input and output until the input ends; exit status 2 if it is malformed."""

import sys

from .frames import MalformedFrameError
from .host import serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedFrameError as error:
        print(f"wirehost: {error}", file=sys.stderr)
        sys.exit(2)
