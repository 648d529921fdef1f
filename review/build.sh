#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be compiled. They are written in
# Python's standard library alone and need nothing else. The scheduler itself is
# built by the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py [0-9]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
