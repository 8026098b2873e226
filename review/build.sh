#!/usr/bin/env bash
# The stand-ins are Python: there is nothing to compile. This checks that they load with
# what the build line of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." python3 -c "import review.harness"
