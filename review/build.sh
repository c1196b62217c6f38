#!/bin/sh
# Builds the stand-ins of the cases. They need nothing but what the build of the deploy file installs.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c "import hiredis, msgpack"
.venv/bin/python -m compileall -q review
