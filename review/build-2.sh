#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are scripts of the standard
# library alone, so there is nothing to compile but their bytecode.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/standins-2/*.py
for case in 6 7 8 9 10; do
    if test -f "review/$case/case.py"; then .venv/bin/python -m py_compile "review/$case/case.py"; fi
done
