#!/bin/sh
# Builds what the cases 6 to 10 start besides the balancer, after the build of the deploy file: their stand-ins
# are Python scripts of the standard library alone, in common-2, so they are only compiled. Needs no network.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review/common-2
