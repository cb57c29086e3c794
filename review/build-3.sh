#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python scripts, so this only checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in lib-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
