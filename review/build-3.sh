#!/usr/bin/env bash
# Checks that the stand-ins of the cases 11 to 15 compile. They need Python's standard
# library only; the managers need the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in common3/*.py 1[1-5]/case.py further-3/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -d ../target/deps || { echo 'build the deploy file first' >&2; exit 1; }
