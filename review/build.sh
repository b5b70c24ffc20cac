#!/bin/sh
# Builds what the cases start besides the sidecar: the stand-ins are Python of the standard library, compiled here.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins review/1 review/2 review/3
