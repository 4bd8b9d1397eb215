#!/usr/bin/env bash
# Checks that the stand-ins of the cases compile; they need only Python's
# standard library. The nodes are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
PY
