#!/usr/bin/env bash
# Tests with real processes on loopback of what callers out of our control can make a gateway daemon hold. A crowd of
# callers that keep to no rule presses on daemon 1; the checks don't depend on the machine's speed: the process lives,
# its memory and open descriptors stay under a bound, and an ordinary request is answered afterwards.
#
#   src/testsuite/caller_limits_test.sh [test name ...]     CLUSTER_BUILD names the build folder, default build
#
# Run it apart from other load. The limits of the daemons are lowered, so that a small crowd reaches them.
set -uo pipefail
cd "$(dirname "$0")/../.."
. src/testsuite/cluster.sh
. src/testsuite/process_helpers.sh
. src/testsuite/gateway_cluster.sh

TESTS="test_bodies_of_running_requests test_bodies_from_many_addresses test_bodies_that_may_run_once
  test_bodies_for_shards test_bodies_that_stop test_requests_ahead test_unread_answers
  test_unread_answers_on_thousands test_endless_heads test_connections_only test_closes test_key_lookups
  test_directory_port test_ready_port test_peer_port"

# Bounds for daemon 1 with the lowered limits: 16 MB for what callers hold, 300 callers' connections.
MEMORY_BOUND_MB=64
DESCRIPTOR_BOUND=500
LOWERED_LIMITS='callers: {memory_mb: 16, max_connections: 300}'
BODY_BYTES=250000   # inside the limit of the routing table, 1 MiB
AHEAD_BYTES=240000  # of requests sent ahead on one connection

# OFFSET ARGUMENTS...: runs a crowd against a listener of daemon 1 and samples the daemon's descriptors meanwhile
run_crowd() {
  local descriptors pid="${GATEWAY_PIDS[1]}" crowd
  "$CLUSTER_BUILD/pimentomoor_gateway_standin" crowd --target "$(gateway_address 1 "$1")" "${@:2}" >"$FOLDER/crowd" 2>&1 &
  crowd=$!
  while kill -0 "$crowd" 2>/dev/null; do
    descriptors="$(ls "/proc/$pid/fd" 2>/dev/null | wc -l)"
    [ "$descriptors" -le "$MOST_DESCRIPTORS" ] || MOST_DESCRIPTORS="$descriptors"
    sleep 0.1
  done
  wait "$crowd"
  check "the crowd ran to its end" same $? 0
  echo "        crowd: $(tail -n 1 "$FOLDER/crowd")"
}

check_daemon() {
  local pid="${GATEWAY_PIDS[1]}" peak
  peak="$(awk '/^VmHWM/ {print int($2 / 1024)}' "/proc/$pid/status" 2>/dev/null)"
  echo "        daemon 1: at most ${peak:-?} MB and $MOST_DESCRIPTORS descriptors"
  check "the process lives" kill -0 "$pid"
  check "memory stays under $MEMORY_BOUND_MB MB" at_most "$peak" "$MEMORY_BOUND_MB"
  check "open descriptors stay under $DESCRIPTOR_BOUND" at_most "$MOST_DESCRIPTORS" "$DESCRIPTOR_BOUND"
  set_searcher_fault "" none
  check "an ordinary request is answered afterwards" cluster_wait 30 gateway_answers 1 pages
  check "a single request with a body inside the limits is answered" cluster_wait 30 body_request_answers
}
body_request_answers() {
  [ "$(head -c "$BODY_BYTES" /dev/zero | gateway_get 1 fetch -X POST --data-binary @- -o /dev/null \
    -w '%{http_code}')" = 200 ]
}

# Guards against bodies of callers that are held while their requests run and count in no bound.
test_bodies_of_running_requests() {
  set_searcher_fault fetch slow 0 3000
  run_crowd 100 --kind bodies --connections 300 --bytes "$BODY_BYTES" --seconds 4
}

# Guards against a bound that holds for each caller alone.
test_bodies_from_many_addresses() {
  set_searcher_fault fetch slow 0 3000
  run_crowd 100 --kind bodies --connections 300 --addresses 150 --bytes "$BODY_BYTES" --close-ms 1000 --seconds 4
}

# Guards against bodies of requests that run on after their callers have left.
test_bodies_that_may_run_once() {
  set_searcher_fault order slow 0 3000
  run_crowd 100 --kind bodies --path /order --connections 300 --bytes "$BODY_BYTES" --close-ms 500 --seconds 4
}

# Guards against a copy of the body for each shard.
test_bodies_for_shards() {
  set_searcher_fault pages slow 0 3000
  run_crowd 100 --kind bodies --path /pages --connections 150 --bytes "$BODY_BYTES" --seconds 4
}

# Guards against unfinished bodies that are held until their time limit.
test_bodies_that_stop() { run_crowd 100 --kind stopped-bodies --connections 300 --bytes "$BODY_BYTES" --seconds 4; }

# Guards against requests that wait on each connection behind a running one.
test_requests_ahead() {
  set_searcher_fault fetch slow 0 3000
  run_crowd 100 --kind ahead --connections 300 --bytes "$AHEAD_BYTES" --seconds 4
}

# Guards against answers that nobody reads, many on a connection, and one or few on each of many.
test_unread_answers() { run_crowd 100 --kind ahead --connections 60 --bytes "$AHEAD_BYTES" --seconds 4; }
test_unread_answers_on_thousands() { run_crowd 100 --kind ahead --connections 2000 --bytes 400 --seconds 4; }

# Guards against heads that are held, or read again from their start, for each byte that comes.
test_endless_heads() { run_crowd 100 --kind heads --connections 300 --seconds 4; }

# Guards against connections of callers that leave no descriptor for searchers, the store and ordinary callers.
test_connections_only() { run_crowd 100 --kind connect --connections 1500 --seconds 4; }

# Guards against state that stays when a caller closes its connection in the middle.
test_closes() {
  local kind
  set_searcher_fault fetch slow 0 500
  for kind in bodies stopped-bodies ahead heads connect; do
    run_crowd 100 --kind "$kind" --connections 150 --bytes 100000 --close-ms 300 --seconds 2
  done
}

# Guards against state for each key that was looked up, and against lookups that keep ordinary requests waiting.
test_key_lookups() {
  gateway_admin "table?version=2&keys=alpha:steady-key"
  check "keys are asked for" cluster_wait 10 request_is_unauthorized
  run_crowd 100 --kind keys --connections 100 --seconds 4
  gateway_admin "table?version=3"
}
request_is_unauthorized() { [ "$(gateway_get 1 fetch -o /dev/null -w '%{http_code}')" = 401 ]; }

# OFFSET PATH: presses on a listener that isn't meant for callers' requests
press_on_other_port() {
  run_crowd "$1" --kind connect --connections 600 --seconds 2
  run_crowd "$1" --kind ahead --path "$2" --connections 200 --bytes "$AHEAD_BYTES" --seconds 3
  run_crowd "$1" --kind heads --connections 200 --seconds 2
  run_crowd "$1" --kind stopped-bodies --path "$2" --connections 200 --bytes 4000 --seconds 2
}

# Guards against the same through the directory, the readiness checks and the port for daemons and operators.
test_directory_port() { press_on_other_port 120 "/api/resolve?name=search&region=r&zone=z"; }
test_ready_port() { press_on_other_port 110 /api/ready; }
test_peer_port() { press_on_other_port 130 /status; }

FOLDER="$(mktemp -d)"
trap 'cluster_stop 2>/dev/null; rm -rf "$FOLDER"' EXIT
# A product without these settings refuses them, and runs with its own limits.
printf '%s\n' "host: h" "failure_domain: d" "caller_address: 127.0.0.1:1" "ready_address: 127.0.0.1:2" \
  "directory_address: 127.0.0.1:3" "peer_address: 127.0.0.1:4" "store_address: 127.0.0.1:5" "$LOWERED_LIMITS" \
  >"$FOLDER/limits.yaml"
if "$CLUSTER_BUILD/pimentomoor" check --kind gateway "$FOLDER/limits.yaml" >/dev/null 2>&1; then
  GATEWAY_SETTINGS="$LOWERED_LIMITS"
else
  echo "the product has no limits for callers to lower"
fi
if ! gateway_start "$FOLDER"; then
  cat "$FOLDER"/*.log >&2
  exit 1
fi
for test in ${*:-$TESTS}; do
  echo "$test ($SECONDS s)"
  MOST_DESCRIPTORS=0
  # A new process for each test, because its peak of memory is that since its start.
  kill_gateway 1
  gateway_start_daemon "$FOLDER" 1
  cluster_wait 12 gateway_answers 1 pages
  "$test"
  check_daemon
done
echo "$PASSED passed, $FAILED failed in $SECONDS s"
[ "$FAILED" = 0 ]
