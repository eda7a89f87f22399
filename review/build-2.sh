#!/bin/sh
# Builds the stand-ins of the second review's scripts. They need the standard library only, so
# nothing is downloaded or installed: this checks that they and the cases compile.
set -eu
cd "$(dirname "$0")/.."
python3 -B - review/standins-2/*.py review/6/case.py review/7/case.py review/8/case.py \
    review/9/case.py review/10/case.py <<'CHECK'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    if Path(name).exists():
        compile(Path(name).read_text(), name, "exec")
CHECK
