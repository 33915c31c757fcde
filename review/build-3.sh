#!/usr/bin/env bash
# The stand-ins of review/11 to review/15 are Python scripts without
# dependencies; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/stand-3/*.py review/1[1-5]/*.py <<'PY'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for pattern in sys.argv[1:]:
    for path in glob.glob(pattern):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
PY
