#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/thistlefront ] || { echo "target/thistlefront is missing: build it first" >&2; exit 2; }
timeout --signal=KILL 118 python3 case.py
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
