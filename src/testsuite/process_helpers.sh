# Shell functions of the failure tests: checks, load, queries, faults and counters. Sourced by process_test.sh,
# gateway_test.sh and experiment_test.sh. The functions that use CLUSTER_ variables need cluster.sh.

# Seconds until a change reaches every daemon: the lease of 2.5 s, one fetch and one heartbeat interval.
FEW_SECONDS=4
PASSED=0
FAILED=0

# DESCRIPTION COMMAND...: runs the command and counts whether it succeeds. A failure of a check that KNOWN-RED.txt lists
# is printed and not counted.
check() {
  local what="$1"
  shift
  if "$@"; then
    PASSED=$((PASSED + 1))
    echo "  ok    $what"
  elif grep -qxF "process: $what" KNOWN-RED.txt 2>/dev/null; then
    echo "  KNOWN RED  $what ($*)"
  else
    FAILED=$((FAILED + 1))
    echo "  FAIL  $what ($*)"
  fi
}

load() {  # ARGUMENTS...: runs the load tool against all entries and prints its report as JSON
  cluster_run_load --deployment "$DEPLOYMENT" --json "$@"
}

query() {  # N TEXT [SERVICE]: prints the answer of daemon N
  curl -sS -m 5 -X POST "http://$(cluster_daemon_http "$1")/v1/query" \
    -d "{\"customer\": \"load\", \"service\": \"${3:-contratos}\", \"text\": \"$2\", \"deadline_ms\": 1000}"
}

contains() { grep -q -- "$2" <<<"$1"; }
is_zero() { [ "${1:-none}" = 0 ]; }  # a missing value isn't zero
same() { [ "$1" = "$2" ]; }
# The numbers may have decimals. A missing first number fails at_most, and counts as 0 in at_least.
at_least() { awk -v a="${1:-0}" -v b="$2" 'BEGIN { exit !(a >= b) }'; }
at_most() { awk -v a="${1:-999999}" -v b="$2" 'BEGIN { exit !(a <= b) }'; }

count_domain_requests() {  # DOMAIN: prints how many requests the upstreams of a failure domain have received
  curl -sS "http://$CLUSTER_ADMIN/counters" | tr '{' '\n' | grep "\"failure_domain\":[ ]*\"$1\"" |
    grep -o '"requests":[ ]*[0-9]*' | awk -F: '{sum += $2} END {print sum + 0}'
}

outage() { cluster_run_outage_command process-test "$@" 2>&1; }  # ARGUMENTS...: runs the operator's command

# N: prints an operation token from daemon N
issue_token() { json_field "$(curl -sS -X POST "http://$(cluster_daemon_http "$1")/v1/operations" \
  -d '{"customer": "load", "service": "partes"}')" token; }

run_token() {  # N TOKEN BODY: runs an operation through daemon N and prints the answer
  curl -sS -m 5 -X POST --data "$3" "http://$(cluster_daemon_http "$1")/v1/operations/$2"
}

wait_ready() { cluster_wait 20 cluster_daemon_ready "$1" 53; }  # N; the catalogs are those of 52 services and the index
wait_all_ready() { local n; for n in $(seq 1 "$CLUSTER_DAEMONS"); do wait_ready "$n" || return 1; done; }
answers_completely() { contains "$(query "$1" "probe $RANDOM")" '"outcome":"complete"'; }  # N

# ARGUMENTS...: runs the operator's command in the background, where it waits until all daemons have the change in
# force; returns when the change is accepted
start_outage_change() {
  outage "$@" >"$FOLDER/outage" &
  OUTAGE_PID=$!
  cluster_wait 10 grep -q accepted$ "$FOLDER/outage"
}

stop_daemon() {  # N SIGNAL: sets STATUS to the exit status
  kill "-$2" "${CLUSTER_DAEMON_PIDS[$1]}"
  wait "${CLUSTER_DAEMON_PIDS[$1]}" 2>/dev/null
  STATUS=$?
}

upstream_counter() {  # ADDRESS KEY: prints a counter of the stand-in for one upstream
  json_field "$(curl -sS "http://$CLUSTER_ADMIN/counters" | tr '{' '\n' | grep "\"address\":[ ]*\"$1\"")" "$2"
}

upstream_addresses() {  # SERVICE: prints the addresses of the upstreams of a service
  curl -sS "http://$CLUSTER_ADMIN/counters" | tr '{' '\n' | grep "\"service\":[ ]*\"$1\"" |
    sed 's/.*"address":[ ]*"\([^"]*\)".*/\1/'
}

publish_hosts() {  # sets the platform's host list, with all upstreams live
  local hosts
  hosts="$(curl -sS "http://$CLUSTER_ADMIN/counters" | tr '{' '\n' |
    sed -n 's/.*"address":"\([^"]*\)".*"failure_domain":"\([^"]*\)".*/"address":"\1","failure_domain":"\2"/p' |
    sed 's/.*/{&,"state":"live"}/')"
  curl -sS -o /dev/null -X PUT --data "{\"hosts\":[$(paste -sd, <<<"$hosts")]}" "http://$CLUSTER_CONTROL/hosts"
}

no_repeated_token() { contains "$(curl -sS "http://$CLUSTER_ADMIN/counters")" '"repeated_tokens": *\[\]'; }
