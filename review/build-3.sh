#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -o target/review-3/cases-3 review/cases-3.cpp
