#!/usr/bin/env bash
# Runs the case against target/bin/bramleyraild and writes record.txt beside this file.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption.
set -u
cd "$(dirname "$0")"
export TROUBLE="${TROUBLE:-1}"
program=../../target/review/case_5
[ -x "$program" ] || exit 2
timeout --signal=KILL 115 "$program" "$(cd ../.. && pwd)" record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
