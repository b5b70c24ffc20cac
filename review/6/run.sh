#!/bin/sh
# Runs this case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "not run: no build"; exit 2; }
PYTHONPATH=../standins-2 exec ../../.venv/bin/python case.py
