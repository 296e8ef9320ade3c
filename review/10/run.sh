#!/bin/sh
# Plays the case once; see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review/common-2 PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/10/case.py
