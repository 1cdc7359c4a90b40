#!/bin/sh
# Puts the libraries and the packages that an edge VM runs under target/deps.
set -eu
deps=target/deps
if [ ! -e $deps/.libraries ] || [ deploy/requirements.txt -nt $deps/.libraries ]; then
    rm -rf $deps
    python3 -m pip install --quiet --require-hashes --target $deps -r deploy/requirements.txt
    touch $deps/.libraries
fi
for source in packages/core/src/papayadyke_core packages/clients/src/papayadyke_clients \
    packages/daemon/src/papayadyke_daemon platform/src/papayadyke_adapter; do
    copy="$deps/$(basename $source)"
    # Days that are being played start processes from these files.
    if ! diff -rq -x __pycache__ $source "$copy" > /dev/null 2>&1; then
        rm -rf "$copy"
        cp -R $source $deps/
    fi
done
# VMs mount this read-only: without compiled files each start would compile anew.
python3 -m compileall -q $deps
