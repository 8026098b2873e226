#!/usr/bin/env bash
# Exit 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: without
# the disruption.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:."
exec python3 "$here/case.py"
