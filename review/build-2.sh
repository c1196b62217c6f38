#!/bin/sh
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file: they need no more than Python's
# compiler and the packages of requirements.txt.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import hiredis, msgpack'
.venv/bin/python -m compileall -q review/standins2.py
for number in 6 7 8 9 10; do
    test ! -d "review/$number" || .venv/bin/python -m compileall -q "review/$number"
done
