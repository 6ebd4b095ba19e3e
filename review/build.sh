#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python modules on the
# standard library only, run in the process of each script: compiling them
# shows that they are complete.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
END
