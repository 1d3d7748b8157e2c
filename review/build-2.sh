#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2/. The daemons come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-2/cases-2 review/cases-2.cpp
