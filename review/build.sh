#!/bin/sh
# Compiles the stand-ins of the scripts; they need only the standard library.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
PY
