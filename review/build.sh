#!/bin/sh
# Builds the stand-ins: they run in the cases' own processes, in Python, and only need to be compiled. Run after the deploy
# file's build.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
