# Shell functions that run a whole deployment on loopback: platform, searchers and six daemons. Sourced by demo.sh, the
# process tests and the experiment tool.
#
#   cluster_start FOLDER DEPLOYMENT_FILE [POLICY_YAML]   starts everything and waits until all daemons hold a lease
#   cluster_stop                                          ends all processes in CLUSTER_PIDS
#
# Ports: platform 20100, control of its faults 20101, control and counters of the searchers 20102. Daemon N, counted
# from 1, has HTTP on 20000 + N and its address for peers on 20110 + N. CLUSTER_PORT replaces 20000 and moves all these
# ports with it, and the searchers then begin 1000 ports above it, so that several deployments can run at a time.

CLUSTER_BUILD="${CLUSTER_BUILD:-build}"
CLUSTER_DAEMONS="${CLUSTER_DAEMONS:-6}"
CLUSTER_BASE_PORT="${CLUSTER_PORT:-20000}"
CLUSTER_PLATFORM="127.0.0.1:$((CLUSTER_BASE_PORT + 100))"
CLUSTER_CONTROL="127.0.0.1:$((CLUSTER_BASE_PORT + 101))"
CLUSTER_ADMIN="127.0.0.1:$((CLUSTER_BASE_PORT + 102))"
CLUSTER_PIDS=()

cluster_daemon_http() { echo "127.0.0.1:$((CLUSTER_BASE_PORT + $1))"; }  # N: prints the HTTP address of a daemon
# N: prints the address of a daemon for its peers
cluster_daemon_peer() { echo "127.0.0.1:$((CLUSTER_BASE_PORT + 110 + $1))"; }

cluster_create_object() {  # KEY FILE: creates an object on the platform, unless it exists
  curl -sS -o /dev/null -X PUT -H 'If-None-Match: *' --data-binary "@$2" \
    "http://$CLUSTER_PLATFORM/objects/$CLUSTER_DEPLOYMENT/$1"
}

cluster_run_load() {  # ARGUMENTS...: runs the load tool against all entries
  local entries=() n
  for n in $(seq 1 "$CLUSTER_DAEMONS"); do entries+=(--entry "$(cluster_daemon_http "$n")"); done
  "$CLUSTER_BUILD/pimentomoor_load" "${entries[@]}" "$@"
}

cluster_run_outage_command() {  # OPERATOR ARGUMENTS...: runs the operator's command "outage" against all daemons
  local daemons=() n operator="$1"
  shift
  for n in $(seq 1 "$CLUSTER_DAEMONS"); do daemons+=(--daemon "$(cluster_daemon_http "$n")"); done
  "$CLUSTER_BUILD/pimentomoor" outage --deployment "$CLUSTER_DEPLOYMENT" --platform "$CLUSTER_PLATFORM" \
    "${daemons[@]}" --operator "$operator" "$@"
}

# YAML: sets faults of the searchers, or publishes and retires versions of their indexes
control_searchers() { curl -sS -o /dev/null -X PUT --data "$1" "http://$CLUSTER_ADMIN/control"; }
# YAML: sets the faults of the platform
set_platform_faults() { curl -sS -o /dev/null -X PUT --data "$1" "http://$CLUSTER_CONTROL/faults"; }

json_field() {  # JSON KEY: prints the first number or string with this key, at any depth
  grep -o "\"$2\":[ ]*\"\?[^,}\"]*" <<<"$1" | head -1 | sed 's/.*:[ ]*"\?//'
}

cluster_write_lists() {  # FOLDER: writes the configuration lists and the index of catalogs
  cat >"$1/plans.yaml" <<LIST
plans:
  - {customer: load, plan: full}
LIST
  cat >"$1/access.yaml" <<LIST
plans:
  - {name: full, services: ["*"], queries_per_second: 20000, burst: 2000, concurrency: 5000, max_deadline_ms: 2000}
LIST
  cat >"$1/outages.yaml" <<LIST
failure_domains: []
hosts: []
LIST
  {
    echo "services:"
    for file in "$1"/catalog/*.yaml; do echo "  - $(basename "$file" .yaml)"; done
  } >"$1/index.yaml"
}

cluster_write_settings() {  # FOLDER N FAILURE_DOMAIN POLICY: writes the settings of a daemon
  cat >"$1/daemon$2.yaml" <<SETTINGS
deployment: $CLUSTER_DEPLOYMENT
host: entry-$2
failure_domain: $3
http_address: $(cluster_daemon_http "$2")
peer_address: $(cluster_daemon_peer "$2")
platform: ["$CLUSTER_PLATFORM"]
seed_peers: ["$(cluster_daemon_peer 1)", "$(cluster_daemon_peer 2)", "$(cluster_daemon_peer 3)"]
token_key: loopback-deployment-key
peer_delay_us: $CLUSTER_PEER_DELAY_US
$4
SETTINGS
}

cluster_start_daemon() {  # FOLDER N: starts a daemon with the settings of cluster_write_settings
  "$CLUSTER_BUILD/pimentomoor" serve --settings "$1/daemon$2.yaml" 2>>"$1/daemon$2.log" &
  CLUSTER_DAEMON_PIDS[$2]=$!
  CLUSTER_PIDS+=($!)
}

cluster_wait() {  # SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

# N CATALOGS: whether daemon N holds a lease, has at least this many catalogs in force, with the index, and may send to
# all upstreams that it owns
cluster_daemon_ready() {
  local status
  status="$(curl -sS "http://$(cluster_daemon_http "$1")/status" 2>/dev/null)" || return 1
  case "$status" in *'"lease":true'*'"upstreams_waiting":0}'*) ;; *) return 1 ;; esac
  [ "$(grep -o '"catalog/[^"]*":[1-9]' <<<"$status" | wc -l)" -ge "$2" ]
}

cluster_start() {  # FOLDER DEPLOYMENT_FILE [POLICY]
  local folder="$1" file="$2" policy="${3:-}" domains domain n services
  CLUSTER_DEPLOYMENT="$(sed -n 's/^deployment: *//p' "$file")"
  CLUSTER_PEER_DELAY_US="${CLUSTER_PEER_DELAY_US:-$(sed -n 's/^one_way_ms: *//p' "$file" | awk '{print int($1 * 1000)}')}"
  domains=($(sed -n 's/^failure_domains: *\[\(.*\)\]/\1/p' "$file" | tr ',' ' '))
  mkdir -p "$folder/catalog"
  if [ -n "${CLUSTER_PORT:-}" ]; then
    sed "s/^first_port:.*/first_port: $((CLUSTER_PORT + 1000))/" "$file" >"$folder/deployment.yaml"
    file="$folder/deployment.yaml"
  fi
  "$CLUSTER_BUILD/pimentomoor_standin" --platform "${CLUSTER_PLATFORM#*:}" --platform-control "${CLUSTER_CONTROL#*:}" \
    --seconds 1800 2>"$folder/platform.log" &
  CLUSTER_PIDS+=($!)
  CLUSTER_PLATFORM_PID=$!
  "$CLUSTER_BUILD/pimentomoor_standin" --searchers "$file" --admin "${CLUSTER_ADMIN#*:}" --publish "$CLUSTER_PLATFORM" \
    --catalog-folder "$folder/catalog" --seconds 1800 2>"$folder/searchers.log" &
  CLUSTER_PIDS+=($!)
  CLUSTER_SEARCHERS_PID=$!
  cluster_wait 10 curl -s -o /dev/null "http://$CLUSTER_ADMIN/counters"
  cluster_wait 10 curl -s -o /dev/null "http://$CLUSTER_PLATFORM/hosts"
  cluster_write_lists "$folder"
  cluster_create_object config/plans "$folder/plans.yaml"
  cluster_create_object config/access "$folder/access.yaml"
  cluster_create_object config/outages "$folder/outages.yaml"
  cluster_create_object catalog/index "$folder/index.yaml"
  CLUSTER_DAEMON_PIDS=()
  for n in $(seq 1 "$CLUSTER_DAEMONS"); do
    domain="${domains[$(((n - 1) % ${#domains[@]}))]}"
    cluster_write_settings "$folder" "$n" "$domain" "$policy"
    cluster_start_daemon "$folder" "$n"
  done
  services="$(ls "$folder/catalog" | wc -l)"
  for n in $(seq 1 "$CLUSTER_DAEMONS"); do
    cluster_wait 30 cluster_daemon_ready "$n" "$((services + 1))" || return 1
  done
}

cluster_stop() {
  local pid
  for pid in "${CLUSTER_PIDS[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${CLUSTER_PIDS[@]}"; do wait "$pid" 2>/dev/null; done
  CLUSTER_PIDS=()
}
