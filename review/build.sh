#!/bin/sh
# Prepares the stand-ins of the cases: they are Python of the standard library, so only their bytecode is compiled.
# The `build` of deploy/balancer.toml comes first.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
