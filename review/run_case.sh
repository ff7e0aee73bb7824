#!/usr/bin/env bash
# usage: run_case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
runner=$top/target/review/case_runner
[ -x "$runner" ] && [ -x "$top/target/bin/egretspindle" ] || exit 2
timeout -k 2 115 "$runner" "$1" "$top" "$2"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
