# Shell functions that run three gateway daemons and the stand-in of their platform on loopback. Sourced behind
# cluster.sh, whose cluster_stop ends the processes.
#
# Store 127.0.0.1:21000, its admin 21001, searchers from 21002. Daemon N has the address 127.0.0.N, since daemons find
# each other on one port: callers 21100, readiness 21110, directory 21120, peers 21130. GATEWAY_PORT moves all of them,
# for a run beside another one.

GATEWAY_PORT="${GATEWAY_PORT:-21000}"
GATEWAY_CALLER_PORT=$((GATEWAY_PORT + 100))
GATEWAY_READY_PORT=$((GATEWAY_PORT + 110))
GATEWAY_DIRECTORY_PORT=$((GATEWAY_PORT + 120))
GATEWAY_PEER_PORT=$((GATEWAY_PORT + 130))

GATEWAY_PIDS=()

gateway_admin() { curl -sS -m 2 "http://127.0.0.1:$((GATEWAY_PORT + 1))/$1"; }  # CALL: see gateway_standin_main.cpp
gateway_resolve() { curl -s -m 1 "http://127.0.0.$1:$GATEWAY_DIRECTORY_PORT/api/resolve?name=search&region=r&zone=z"; }  # N
gateway_get() {  # N PATH ARGUMENTS...
  curl -s -m 2 -H "Host: search.test" -H "X-Request-Id: curl-$RANDOM" "${@:3}" "http://127.0.0.$1:$GATEWAY_CALLER_PORT/$2"
}
gateway_answers() { [ "$(gateway_get "$1" "$2" -o /dev/null -w '%{http_code}')" = 200 ]; }  # N PATH
gateway_load() {  # ARGUMENTS...
  "$CLUSTER_BUILD/pimentomoor_gateway_standin" load --port "$GATEWAY_PORT" --directory 127.0.0.1:$GATEWAY_DIRECTORY_PORT --directory 127.0.0.2:$GATEWAY_DIRECTORY_PORT \
    --directory 127.0.0.3:$GATEWAY_DIRECTORY_PORT "$@"
}

gateway_start_daemon() {  # FOLDER N
  cat >"$1/gateway$2.yaml" <<SETTINGS
host: gateway-$2
failure_domain: zone-$([ "$2" = 2 ] && echo b || echo a)
caller_address: 127.0.0.$2:$GATEWAY_CALLER_PORT
ready_address: 127.0.0.$2:$GATEWAY_READY_PORT
directory_address: 127.0.0.$2:$GATEWAY_DIRECTORY_PORT
peer_address: 127.0.0.$2:$GATEWAY_PEER_PORT
seed_peers: ["127.0.0.1:$GATEWAY_PEER_PORT", "127.0.0.2:$GATEWAY_PEER_PORT", "127.0.0.3:$GATEWAY_PEER_PORT"]
store_address: 127.0.0.1:$GATEWAY_PORT
SETTINGS
  "$CLUSTER_BUILD/pimentomoor" gateway --settings "$1/gateway$2.yaml" 2>>"$1/gateway$2.log" &
  GATEWAY_PIDS[$2]=$!
  CLUSTER_PIDS+=($!)
}

gateway_start() {  # FOLDER
  local n
  mkdir -p "$1"
  "$CLUSTER_BUILD/pimentomoor_gateway_standin" serve --port "$GATEWAY_PORT" 2>"$1/gateway_standin.log" &
  CLUSTER_PIDS+=($!)
  cluster_wait 10 gateway_admin counters >/dev/null 2>&1 || return 1
  for n in 1 2 3; do gateway_start_daemon "$1" $n; done
  for n in 1 2 3; do cluster_wait 12 gateway_answers $n pages || return 1; done
}
