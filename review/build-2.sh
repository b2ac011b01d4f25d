#!/bin/sh
# Builds what the cases 6 to 10 start besides the sender: their stand-ins are plain Python on the standard library
# (common_2.py) and run with the interpreter of the deploy file's build, so there is nothing to compile or to fetch.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q review/common_2.py
