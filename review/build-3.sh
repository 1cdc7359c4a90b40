#!/bin/sh
# The stand-ins of this review are review/lab3.py, which needs the standard library only.
cd "$(dirname "$0")/.." && python3 -c 'import ast, sys
for name in sys.argv[1:]: ast.parse(open(name).read(), name)' review/lab3.py review/1[1-5]/*.py
