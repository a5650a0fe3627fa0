#!/usr/bin/env bash
# The stand-ins of the cases are Python 3 with its standard library alone. Nothing is built: this checks that the
# interpreter is there and that every file of the cases can be read by it.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for path in ["standins/standin.py", *sorted(glob.glob("[0-9]/case.py"))]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
