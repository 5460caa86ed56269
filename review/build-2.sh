#!/bin/sh
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file: they are Python files that need
# the standard library alone, so each is compiled, without writing anything, to show that it can be started.
set -eu
cd "$(dirname "$0")/.."
for file in review/stand2/common.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
