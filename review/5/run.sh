#!/bin/sh
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" && exec python3 case.py
