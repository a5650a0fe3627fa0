#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python 3 scripts on the standard library alone, so nothing is
# compiled; this only checks that they can be read.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import ast
import glob

for path in glob.glob("standins-2/*.py") + glob.glob("[6-9]/case.py") + glob.glob("10/case.py"):
    ast.parse(open(path).read(), path)
PY
