#!/bin/sh
# Puts the libraries and the packages that an edge VM runs under target/deps.
set -eu
deps=target/deps
if [ ! -e $deps/.libraries ] || [ deploy/requirements.txt -nt $deps/.libraries ]; then
    rm -rf $deps
    python3 -m pip install --quiet --require-hashes --target $deps -r deploy/requirements.txt
    touch $deps/.libraries
fi
for source in packages/core/src/papayadyke_core packages/platform/src/papayadyke_platform \
    packages/daemon/src/papayadyke_daemon platform/src/papayadyke_adapter; do
    rm -rf "$deps/$(basename $source)"
    cp -R $source $deps/
done
# VMs mount this read-only: without compiled files each start would compile anew.
python3 -m compileall -q $deps
