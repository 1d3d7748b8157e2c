# Shell functions that run three gateway daemons and the stand-in of their platform on loopback. Sourced after
# cluster.sh, whose cluster_stop ends the processes.
#
# The store is at 127.0.0.1:21000, its admin at port 21001, the searchers are at ports from 21002 on. Daemon N has the
# address 127.0.0.N, because all daemons use the same ports: 21100 for callers, 21110 for readiness, 21120 for the
# directory, 21130 for peers. GATEWAY_PORT replaces 21000 and moves all ports with it, so that two runs on one machine
# don't use the same ones. GATEWAY_SETTINGS is added to the settings of each daemon.

GATEWAY_PORT="${GATEWAY_PORT:-21000}"
GATEWAY_SETTINGS=""
GATEWAY_PIDS=()

gateway_address() { echo "127.0.0.$1:$((GATEWAY_PORT + $2))"; }  # N OFFSET: prints an address of daemon N
gateway_admin() { curl -sS -m 2 "http://$(gateway_address 1 1)/$1"; }  # CALL: one listed in gateway_standin_main.cpp
set_searcher_fault() {  # NAME_PREFIX FAULT [COUNT] [MS] [EVERY]: of all searchers with this prefix
  gateway_admin "searcher?name=$1&fault=$2&count=${3:-0}&ms=${4:-0}&every=${5:-1}"
}
gateway_resolve() {  # N: prints the directory's answer of daemon N
  curl -s -m 1 "http://$(gateway_address "$1" 120)/api/resolve?name=search&region=r&zone=z"
}
gateway_get() {  # N PATH ARGUMENTS...: sends a caller's request to daemon N; the arguments go to curl
  curl -s -m 2 -H "Host: search.test" -H "X-Request-Id: curl-$RANDOM" "${@:3}" \
    "http://$(gateway_address "$1" 100)/$2"
}
# N PATH: whether daemon N answers the request with 200
gateway_answers() { [ "$(gateway_get "$1" "$2" -o /dev/null -w '%{http_code}')" = 200 ]; }
gateway_load() {  # ARGUMENTS...: runs the load of the stand-in against all daemons
  "$CLUSTER_BUILD/pimentomoor_gateway_standin" load --port "$GATEWAY_PORT" --directory "$(gateway_address 1 120)" \
    --directory "$(gateway_address 2 120)" --directory "$(gateway_address 3 120)" "$@"
}

kill_gateway() { kill -9 "${GATEWAY_PIDS[$1]}"; wait "${GATEWAY_PIDS[$1]}" 2>/dev/null; }  # N

gateway_start_daemon() {  # FOLDER N: writes the settings of a daemon and starts it
  cat >"$1/gateway$2.yaml" <<SETTINGS
host: gateway-$2
failure_domain: zone-$([ "$2" = 2 ] && echo b || echo a)
caller_address: $(gateway_address "$2" 100)
ready_address: $(gateway_address "$2" 110)
directory_address: $(gateway_address "$2" 120)
peer_address: $(gateway_address "$2" 130)
seed_peers: ["$(gateway_address 1 130)", "$(gateway_address 2 130)", "$(gateway_address 3 130)"]
store_address: 127.0.0.1:$GATEWAY_PORT
$GATEWAY_SETTINGS
SETTINGS
  "$CLUSTER_BUILD/pimentomoor" gateway --settings "$1/gateway$2.yaml" 2>>"$1/gateway$2.log" &
  GATEWAY_PIDS[$2]=$!
  CLUSTER_PIDS+=($!)
}

gateway_start() {  # FOLDER: starts the stand-in and all daemons, and waits until the daemons answer
  local n
  mkdir -p "$1"
  "$CLUSTER_BUILD/pimentomoor_gateway_standin" serve --port "$GATEWAY_PORT" 2>"$1/gateway_standin.log" &
  CLUSTER_PIDS+=($!)
  cluster_wait 10 gateway_admin counters >/dev/null 2>&1 || return 1
  for n in 1 2 3; do gateway_start_daemon "$1" $n; done
  for n in 1 2 3; do cluster_wait 12 gateway_answers $n pages || return 1; done
}
