#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
.venv/bin/python -c "" || exit 2
exec timeout -k 5 110 .venv/bin/python review/3/case.py
