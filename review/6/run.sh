#!/bin/sh
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
