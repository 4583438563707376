#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python modules of
# review/standins2/ that use the standard library only and run with the Python of .venv.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
"$root/.venv/bin/python" -m compileall -q "$root/review/standins2" \
    "$root/review/6" "$root/review/7" "$root/review/8" "$root/review/9" "$root/review/10"
