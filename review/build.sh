#!/bin/sh
# The stand-ins need the standard library alone; their byte code is all that there is to build.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
