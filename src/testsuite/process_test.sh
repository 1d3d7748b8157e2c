#!/usr/bin/env bash
# Failure tests of the query tier with real processes: six daemons and the stand-ins on loopback. They cover faults that
# need a real process: SIGKILL, SIGSTOP, a platform outage, a graceful stop under load, concurrent operators. The tests
# are in process_fleet_tests.sh, process_request_tests.sh, process_pair_tests.sh and process_cell_tests.sh.
#
#   src/testsuite/process_test.sh [test name or group ...]     CLUSTER_BUILD names the build folder, default build
#
# The groups are fleet, pairs, cells and requests; without a name all of them run.
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
TESTS=""
# The request tests run last, because they leave a new snapshot and a quarantined request behind.
for name in ${*:-fleet pairs cells requests}; do
  case "$name" in
    fleet) TESTS="$TESTS $FLEET_TESTS" ;;
    pairs) TESTS="$TESTS $PAIR_TESTS" ;;
    cells) TESTS="$TESTS $CELL_TESTS" ;;
    requests) TESTS="$TESTS $REQUEST_TESTS" ;;
    *) TESTS="$TESTS $name" ;;
  esac
done
for test in $TESTS; do
  echo "$test ($SECONDS s)"
  "$test"
done
echo "$PASSED passed, $FAILED failed in $SECONDS s"
[ "$FAILED" = 0 ]
