#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
test -x "$root/.venv/bin/python" || exit 2
PYTHONPATH="$root/review" exec "$root/.venv/bin/python" "$here/scenario.py"
