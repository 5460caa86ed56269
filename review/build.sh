#!/bin/sh
# Builds what the cases start besides the node: stand-ins in Python, which only need to be compiled. Run after the deploy file's build.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review examples/toy.py
