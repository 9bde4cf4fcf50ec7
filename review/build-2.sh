#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the programs of the deploy file:
# the stand-ins, this project's own among them. They run on the packages in target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="target/deps:." python3 -c '
import compileall
import os
import sys

folders = ("standins", "emulator", "review/common2")
cases = [path for n in range(6, 11) if os.path.isdir(path := f"review/{n}")]
built = [compileall.compile_dir(name, quiet=1) for name in (*folders, *cases)]
import review.common2.cloud
import review.common2.harness

sys.exit(0 if all(built) else 1)
'
