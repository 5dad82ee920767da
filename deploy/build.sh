#!/bin/sh
# Installs the runtime dependencies and the project's packages into target/deps, with bytecode.
set -eu
if [ ! target/deps/.installed -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --require-hashes --target target/deps --requirement deploy/requirements.txt
    touch target/deps/.installed
fi
rm -rf target/deps/turmericwharf target/deps/turmericwharf_node
cp -r packages/turmericwharf/src/turmericwharf packages/turmericwharf-node/src/turmericwharf_node target/deps/
# Processes can write no bytecode next to the sources, and each start would compile them again.
python3 -m compileall -q target/deps/turmericwharf target/deps/turmericwharf_node
