#!/bin/sh
# Builds the stand-ins of cases 6 to 9. They use the standard library alone, so they are compiled
# to see that they can be loaded; scripts run them from their sources.
set -eu
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PYTHONPYCACHEPREFIX="$out" python3 -m compileall -q stand_ins_2 6 7 8 9
