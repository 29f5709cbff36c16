#!/bin/sh
# The stand-ins are one Python module without dependencies, so there is nothing to compile.
# Checks that the interpreter can read it and that the deploy file's build has run.
set -e
cd "$(dirname "$0")/.."
python3 -c "import ast; ast.parse(open('review/standins.py').read())"
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
