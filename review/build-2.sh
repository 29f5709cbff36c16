#!/bin/sh
# Builds the stand-ins of the second review: they need the standard library only.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/rig.py review/4/case.py review/5/case.py review/6/case.py review/7/case.py
