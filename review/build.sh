#!/usr/bin/env bash
# The stand-ins are Python modules of the standard library and need no build. This checks the
# interpreter (python3 is among the packages of scripts/common.sh) and that the modules compile.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import glob
for path in glob.glob("standins/*.py") + glob.glob("[1-5]/*.py"):
    compile(open(path, encoding="utf-8").read(), path, "exec")
CHECK
echo "review: stand-ins are ready"
