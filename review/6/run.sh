#!/usr/bin/env bash
# Starts that are carried out late, then more than 500 listed ends. See claim.txt.
set -u
cd "$(dirname "$0")/../.." || exit 2
exec review/tools-2/run_case.sh ends review/6
