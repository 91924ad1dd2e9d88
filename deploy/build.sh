#!/bin/sh
# Puts the daemon and what it needs under target/deps, byte-compiled: the root is read-only while it runs.
set -eu
cd "$(dirname "$0")/.."
stamp=target/requirements.txt
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf target/deps
    python3 -m pip install -q --target target/deps -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
rm -rf target/deps/springmux
cp -r src/springmux target/deps/springmux
rm -rf target/deps/springmux/lab target/deps/springmux/cli target/deps/springmux/simulation target/deps/springmux/fleet
python3 -m compileall -q target/deps
