#!/bin/bash
# Prepares what the scripts of review/6 to review/10 start besides the build of the deploy file:
# their stand-ins are in Python (3.10 or later, standard library only) and are only checked here.
set -e
cd "$(dirname "$0")"
python3 -B -c 'import ast, sys
assert sys.version_info >= (3, 10), sys.version
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)' standin-2/*.py */scenario.py
