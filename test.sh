#!/usr/bin/env bash
# Builds pimentomoor and runs every test: the unit and property tests under AddressSanitizer and UBSan, then the failure
# tests of the query tier and the gateway with real processes on the release build, and the tests of the experiment tool.
# Prints the counts at the end.
#
#   ./test.sh [folder of the sanitizer build, default build-asan]
set -euo pipefail
cd "$(dirname "$0")"
. src/testsuite/build.sh
sanitized="${1:-build-asan}"
build_sanitized "$sanitized" pimentomoor pimentomoor_tests
build_release build
results="$(mktemp -d)"
trap 'rm -rf "$results"' EXIT
failed=0

echo "unit tests"
src/testsuite/unit_test.sh "$sanitized/pimentomoor_tests" | tee "$results/unit" || failed=1

# Each group has its own processes, folder and ports, so that they run beside each other, except the last one.
start_group() {  # NAME COMMAND...
  (CLUSTER_BUILD=build "${@:2}" >"$results/$1" 2>&1 || touch "$results/$1.failed") &
}
echo "process tests"
start_group fleet env CLUSTER_PORT=22000 src/testsuite/process_test.sh fleet
start_group pairs-and-cells env CLUSTER_PORT=24000 src/testsuite/process_test.sh pairs cells
start_group requests env CLUSTER_PORT=26000 src/testsuite/process_test.sh requests
start_group gateway env GATEWAY_PORT=28000 src/testsuite/gateway_test.sh
start_group experiment src/testsuite/experiment_test.sh
wait
# Alone, because its crowds take whatever the machine has.
start_group callers env GATEWAY_PORT=28000 src/testsuite/caller_limits_test.sh
wait
for group in fleet pairs-and-cells requests gateway experiment callers; do
  printf '\n== %s\n' "$group"
  cat "$results/$group"
  [ ! -e "$results/$group.failed" ] || failed=1
done

sum() {  # WORD: adds the numbers before this word in the last line of all results
  tail -qn1 "$results"/* | grep -oE "[0-9]+ $1" | awk '{n += $1} END {print n + 0}'
}
echo
echo "Known red, passed over (KNOWN-RED.txt):"
grep -v '^[# ]' KNOWN-RED.txt || echo "none"
echo "$(sum passed) passed, $(sum failed) failed"
exit "$failed"
