#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library and need no build; this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib
for file in sorted(pathlib.Path(".").rglob("*.py")):
    compile(file.read_text(encoding="utf-8"), str(file), "exec")
P
