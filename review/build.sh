#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the program of the deploy file: the stand-ins are Python (3.9 or
# later, standard library only), so this checks that they compile. Nothing is written into the repository.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import sys
from pathlib import Path
if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or later")
for path in sorted(Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
