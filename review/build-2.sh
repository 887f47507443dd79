#!/usr/bin/env bash
# Builds the stand-ins of review/6 and later. They are Python scripts (standins-2/kit.py) that
# need the standard library only, so this checks that they can be compiled here.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
command -v python3 >/dev/null || { echo "error: python3 is missing" >&2; exit 1; }
python3 - standins-2/kit.py [6-9]/case.py 10/case.py <<'END'
import os
import sys

for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
END
