#!/bin/sh
# Checks the stand-ins of the cases 4 to 8. They are Python programs of this repository, so there is nothing to compile; the program
# under test is the one of the deploy file's build.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, glob, sys
if sys.version_info < (3, 9):
    sys.exit("python 3.9 or newer is needed")
for path in ["lib2/standins.py"] + sorted(glob.glob("[4-8]/run.py")):
    with open(path, encoding="utf-8") as f:
        ast.parse(f.read(), path)
PY
echo "stand-ins checked"
