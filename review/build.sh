#!/usr/bin/env bash
# The stand-ins of the cases are Python 3.11 files that need no build and no
# package; this only compiles them in memory to check them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py [0-9]*/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
