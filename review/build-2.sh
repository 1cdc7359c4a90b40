#!/bin/sh
# The stand-ins of cases 6 to 10 are Python files of the standard library only; this
# compiles them to show that they are sound.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lab2.py
for case in 6 7 8 9 10; do
    if [ -e "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py"
    fi
done
