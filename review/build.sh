#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into target/review. They need
# only what the build of the deploy file needs.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$top/target/review"
g++ -std=c++17 -O1 -Wall -Wextra "$top/review/tools/cases.cpp" \
    -o "$top/target/review/case_runner" -pthread
