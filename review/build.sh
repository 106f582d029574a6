#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are Python without any package, so that there is nothing to compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, glob, sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for path in ["common/standins.py"] + sorted(glob.glob("[0-9]*/case.py")):
    ast.parse(open(path).read(), path)
PY
test -x ../target/release/dragonflybay || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
