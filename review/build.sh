#!/bin/sh
# Builds the stand-ins of the cases: plain Python files of the standard library, which only have to compile.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review
