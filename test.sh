#!/usr/bin/env bash
# Builds pimentomoor and runs every test: the unit and property tests under AddressSanitizer and UBSan, then the failure
# tests of the query tier and the gateway with real processes on the release build, and the tests of the experiment tool.
# Prints the counts at the end.
#
#   ./test.sh [folder of the sanitizer build, default build-asan]
set -euo pipefail
cd "$(dirname "$0")"
sanitized="${1:-build-asan}"
# One job for each core. A compile job under the sanitizers takes up to 1 GB, so the machine needs that much per core.
jobs="$(nproc)"
cmake -S . -B "$sanitized" -G Ninja -DPIMENTOMOOR_SANITIZE=address,undefined >/dev/null
cmake --build "$sanitized" -j "$jobs" --target pimentomoor pimentomoor_tests
cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j "$jobs"
results="$(mktemp)"
trap 'rm -f "$results"' EXIT
"$sanitized"/pimentomoor_tests 2>&1 | tee "$results"
unit="$(grep -oE '[0-9]+ ran' "$results" | tail -1 | cut -d' ' -f1)"
CLUSTER_BUILD=build src/testsuite/process_test.sh 2>&1 | tee "$results"
process="$(grep -oE '^[0-9]+ passed' "$results" | cut -d' ' -f1)"
CLUSTER_BUILD=build src/testsuite/gateway_test.sh 2>&1 | tee "$results"
gateway="$(grep -oE '^[0-9]+ passed' "$results" | cut -d' ' -f1)"
src/testsuite/experiment_test.sh 2>&1 | tee "$results"
experiment="$(grep -oE '^[0-9]+ passed' "$results" | cut -d' ' -f1)"
echo
echo "Known red, passed over (KNOWN-RED.txt):"
grep -v '^[# ]' KNOWN-RED.txt || echo "none"
echo "$((unit + process + gateway + experiment)) passed, 0 failed"
