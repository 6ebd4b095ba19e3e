#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD" exec python3 "$here/case.py"
