#!/bin/sh
# Prepares the stand-ins of cases 11 to 15: Python without further packages, so
# there is only something to check. The instances come from the build of
# deploy/system.toml.
here=$(cd "$(dirname "$0")" && pwd)
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here/lib-3" exec python3 -c 'import world'
