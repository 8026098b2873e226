#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 after the build of the deploy file. They are
# Python and need no package beyond those of target/deps, so this compiles and loads them.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH=target/deps:.:review
python3 -m compileall -q standins cornelreach review/world.py review/6 review/7 review/8 \
    review/9 review/10 || exit 1
exec python3 -c 'import standins.platform, world; import cornelreach.ui.edge'
