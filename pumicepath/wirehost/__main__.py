"""Run the wire on standard input and output until the input ends."""

import sys

from .frames import MalformedFrameError
from .host import serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedFrameError as trouble:
        print(f"wirehost: {trouble}", file=sys.stderr)
        sys.exit(2)
