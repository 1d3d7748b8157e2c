#!/usr/bin/env bash
# Failure tests of the query tier with real processes: six daemons and the stand-ins on loopback. They cover faults that
# need a real process: SIGKILL, SIGSTOP, a platform outage, a graceful stop under load, concurrent operators. The tests
# are in process_fleet_tests.sh, process_request_tests.sh, process_pair_tests.sh and process_cell_tests.sh.
#
#   src/testsuite/process_test.sh [test name ...]     CLUSTER_BUILD names the build folder, default build
#
# Prints one line for each check and then the counts. Exits with 1 when a check failed.
set -uo pipefail
cd "$(dirname "$0")/../.."
. src/testsuite/cluster.sh
. src/testsuite/process_helpers.sh
. src/testsuite/process_fleet_tests.sh
. src/testsuite/process_request_tests.sh
. src/testsuite/process_pair_tests.sh
. src/testsuite/process_cell_tests.sh

FOLDER="${PROCESS_TEST_FOLDER:-$(mktemp -d)}"
DEPLOYMENT=src/testsuite/deployments/quiroga.yaml

trap 'cluster_stop; [ -n "${PROCESS_TEST_FOLDER:-}" ] || rm -rf "$FOLDER"' EXIT
if ! cluster_start "$FOLDER" "$DEPLOYMENT"; then
  echo "the deployment did not start" >&2
  exit 1
fi
# The request tests run last, because they leave a new snapshot and a quarantined request behind.
for test in ${*:-$FLEET_TESTS $PAIR_TESTS $CELL_TESTS $REQUEST_TESTS}; do
  echo "$test ($SECONDS s)"
  "$test"
done
echo "$PASSED passed, $FAILED failed in $SECONDS s"
[ "$FAILED" = 0 ]
