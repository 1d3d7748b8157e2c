# Scenarios of the query tier (`pimentomoor serve`). Six daemons and their stand-ins get 3 s of load, which warms up the
# upstreams and fills the latency windows, and then the scenarios one after the other. Sourced by experiment.sh.
#
# Latencies are in milliseconds, from the intended start of the query. The scenario "domain" takes 10 s.

QUERY_DEPLOYMENTS="quiroga department"
QUERY_SCENARIOS="calm stragglers cold domain slow lost snapshot platform crash overload"
QUERY_FIGURES="p50_ms p99_ms p99_9_ms coverage complete_share sub_queries_per_useful sheds overload_violations wrong"
# 1.5 times the rate that keeps 2 searchers of 3 slots busy with 8 ms searches of one shard.
OVERLOAD_RATE=1125
WARM_UP_SECONDS=3

query_start() {  # DEPLOYMENT VARIANT SEED: starts the deployment with the variant's settings and warms it up
  FILE="src/testsuite/deployments/$1.yaml"
  cluster_start "$WORK_FOLDER" "$FILE" "$(policy_setting "$2" "$1")" && run_load "$3" "$WARM_UP_SECONDS" >/dev/null
}

# VARIANT DEPLOYMENT: prints the policy setting. A low tail latency has priority in the deployment quiroga, a high
# coverage in department.
policy_setting() {
  local coverage_first=false
  [ "$2" = department ] && coverage_first=true
  if [ "$1" = naive ]; then
    printf 'policy: {naive: true, coverage_first: %s}' "$coverage_first"
  else
    printf 'policy: {coverage_first: %s}' "$coverage_first"
  fi
}

outage() { cluster_run_outage_command experiment "$@" >/dev/null 2>&1; }  # ARGUMENTS...: runs the operator's command

run_load() {  # SEED SECONDS [ARGUMENTS...]: runs a load and prints its report
  local seed="$1" seconds="$2"
  shift 2
  cluster_run_load --deployment "$FILE" --rate "$EXPERIMENT_RATE" --seconds "$seconds" --seed "$seed" \
    --deadline-ms 500 --unique-texts 1000000 --searchers-admin "$CLUSTER_ADMIN" --json "$@"
}

# Warms up the upstreams of the service with many shards. A load on this service alone would otherwise mostly show the
# ramp of cold upstreams.
warm_up_sharded_service() { run_load 99 "$WARM_UP_SECONDS" --service "$(sharded_service)" >/dev/null; }

sharded_service() { if [ "$CLUSTER_DEPLOYMENT" = quiroga ]; then echo contratos; else echo gazette-archive; fi; }
sharded_upstream() {  # POSITION: prints the address of an upstream of that service, counted from 1
  grep -o '"[0-9.]*:[0-9]*"' "$WORK_FOLDER/catalog/$(sharded_service).yaml" | sort -u | sed -n "$1p" | tr -d '"'
}

query_scenario() {  # NAME SEED: prints the report of the load
  local first_domain
  case "$1" in slow | lost | snapshot | crash) warm_up_sharded_service ;; esac
  case "$1" in
    calm) run_load "$2" "$EXPERIMENT_SECONDS" ;;
    stragglers)
      control_searchers '{fault: straggler, probability: 0.01, factor: 20}'
      run_load "$2" "$EXPERIMENT_SECONDS"
      control_searchers '{fault: straggler, probability: 0, factor: 1}'
      ;;
    cold)
      control_searchers '{fault: cold}'
      run_load "$2" "$EXPERIMENT_SECONDS"
      ;;
    domain)
      first_domain="$(sed -n 's/^failure_domains: *\[\([^,]*\),.*/\1/p' "$FILE")"
      (sleep 1 && outage add --failure-domain "$first_domain" && sleep 3 &&
        outage remove --failure-domain "$first_domain") &
      run_load "$2" 10
      wait $!
      ;;
    slow)
      control_searchers "{upstream: '$(sharded_upstream 1)', fault: slow, factor: 20}"
      run_load "$2" "$EXPERIMENT_SECONDS" --service "$(sharded_service)"
      control_searchers "{upstream: '$(sharded_upstream 1)', fault: slow, factor: 1}"
      ;;
    lost)
      (sleep 1 && control_searchers "{upstream: '$(sharded_upstream 2)', fault: stop}") &
      run_load "$2" "$EXPERIMENT_SECONDS" --service "$(sharded_service)"
      wait $!
      control_searchers "{upstream: '$(sharded_upstream 2)', fault: start}"
      ;;
    snapshot) # publishes a new index version with another number of shards
      (sleep 1 && control_searchers "{service: $(sharded_service), fault: publish, version: 2}" && sleep 1 &&
        control_searchers "{service: $(sharded_service), fault: retire, version: 1}") &
      run_load "$2" "$EXPERIMENT_SECONDS" --service "$(sharded_service)"
      wait $!
      ;;
    platform)
      set_platform_faults 'outage: refuse'
      run_load "$2" "$EXPERIMENT_SECONDS"
      set_platform_faults 'outage: none'
      sleep 1
      ;;
    crash)
      (for n in 1 2 3 4 5 6; do
        sleep 0.3
        curl -sS -m 5 -o /dev/null -X POST "http://$(cluster_daemon_http "$n")/v1/query" \
          -d "{\"customer\": \"load\", \"service\": \"$(sharded_service)\", \"text\": \"crash! $2\", \"deadline_ms\": 500}"
      done) &
      run_load "$2" "$EXPERIMENT_SECONDS" --service "$(sharded_service)"
      wait $!
      ;;
    overload) EXPERIMENT_RATE="$OVERLOAD_RATE" run_load "$2" "$EXPERIMENT_SECONDS" --service "$(unsharded_service)" ;;
  esac
}

# Prints the name of a service with one shard.
unsharded_service() { basename "$(ls "$WORK_FOLDER"/catalog/*.yaml | grep -E 'remates|observance' | head -1)" .yaml; }
