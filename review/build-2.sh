#!/usr/bin/env bash
# The stand-ins of the second review are Python programs (standins-2/ and the
# files beside each run.sh) and need no build. Checks that Python can read them.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import ast, pathlib, sys, tomllib  # tomllib: Python 3.11 or later
for path in [*pathlib.Path("standins-2").glob("*.py"),
             *pathlib.Path().glob("[6-9]/*.py"),
             *pathlib.Path().glob("10/*.py")]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
