#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# plays it without the disruption. What was sent, answered and run is written to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
echo "could not run: not built" > review/9/record.txt || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH=review exec .venv/bin/python review/9/case.py
