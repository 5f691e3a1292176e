#!/usr/bin/env bash
# Checks the stand-ins of the cases. They need Python 3.11 or newer, and no packages.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 - standins/*.py */case.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as f:
        compile(f.read(), path, "exec")
PY
