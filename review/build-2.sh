#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs without
# libraries, so there is only their syntax to check.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - lib-2/*.py [0-9]*/case.py <<'EOF'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(encoding="utf-8"), name, "exec")
EOF
