#!/bin/sh
# Builds the stand-ins of the review's scripts: they are plain Python without dependencies, so this
# only checks that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib

for path in pathlib.Path('review').rglob('*.py'):
    compile(path.read_text(), str(path), 'exec')
END
