#!/usr/bin/env bash
# run_case.sh NAME FOLDER: runs a case of target/review-2/cases. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
name=$1
folder=$2
if [ ! -x target/review-2/cases ] || [ ! -x target/bin/egretspindle ]; then
    echo "build first: the build of the deploy file, then review/build-2.sh" >&2
    exit 2
fi
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
timeout --signal=KILL 120 \
    target/review-2/cases "$name" "$folder/record.txt" "$scratch"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
