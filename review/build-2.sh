#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Needs g++,
# libboost-dev and rapidjson-dev, which the build of the deploy file needs too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++17 -O1 -Wall -Wextra -o target/review-2/cases \
    review/tools-2/cases.cpp -lpthread
