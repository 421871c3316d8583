#!/usr/bin/env bash
# The stand-ins are Python and need only the standard library: compile them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q tests/platform_standins review/4
