# Scenarios of the gateway (`pimentomoor gateway`). Three daemons and the stand-in of their platform get 2 s of load to
# warm up, and then the scenarios one after the other. After each scenario, 2 s pass in which the daemons' measurements
# of their searchers return to normal. Sourced by experiment.sh.
#
# The load has the routes pages (a gather of 8 shards, half of the requests), fetch and order (one searcher each). Each
# service has 2 searchers with 3 slots and 4 ms of work. The objective is 200 ms, the timeout 1 s. Latencies are in
# milliseconds, from the intended start of the request.

GATEWAY_DEPLOYMENTS="gateway"
GATEWAY_SCENARIOS="calm pauses slow lost killed overload"
GATEWAY_FIGURES="answered within_objective coverage p50_ms p99_ms p99_9_ms extra_sends_per_request
  connections_per_request wrong"
# Other ports than those of gateway_test.sh, so that both can run on one machine.
GATEWAY_PORT="${GATEWAY_PORT:-24000}"
# 1.5 times the rate that keeps 2 searchers of 3 slots busy with work of 40 ms for each request.
GATEWAY_OVERLOAD_RATE=225
GATEWAY_OVERLOAD_WORK_MS=40
GATEWAY_DECAY_SECONDS=2

gateway_run() {  # SEED SECONDS RATE [ARGUMENTS...]: runs a load and prints its report
  gateway_load --seed "$1" --seconds "$2" --rate "$3" "${@:4}" 2>>"$WORK_FOLDER/load.log"
}

gateway_start_variant() {  # DEPLOYMENT VARIANT SEED: starts the daemons with the variant's settings and warms them up
  GATEWAY_SETTINGS="naive: $([ "$2" = naive ] && echo true || echo false)
admission: {naive: $([ "$2" = naive ] && echo true || echo false)}"
  gateway_start "$WORK_FOLDER" && gateway_run "$3" 2 "$EXPERIMENT_RATE" >/dev/null
}

# Pauses each searcher for 250 ms every 6 s, one searcher at a time. Ends when the time of the run is over, also when
# nothing kills its process.
pause_searchers_in_turn() {
  local end=$((SECONDS + EXPERIMENT_SECONDS)) service replica
  while [ "$SECONDS" -lt "$end" ]; do
    for service in fetch order pages-{0..7}; do
      for replica in a b; do
        set_searcher_fault "$service-$replica" pause 0 250
        sleep 0.28  # with about 20 ms for the call, 20 searchers take 6 s
      done
    done
  done
}

gateway_scenario() {  # NAME SEED: prints the report of the load
  local load
  case "$1" in
    calm) gateway_run "$2" "$EXPERIMENT_SECONDS" "$EXPERIMENT_RATE" ;;
    pauses)
      pause_searchers_in_turn &
      load=$!
      gateway_run "$2" "$EXPERIMENT_SECONDS" "$EXPERIMENT_RATE"
      kill "$load" 2>/dev/null
      wait "$load" 2>/dev/null
      ;;
    slow)  # one searcher takes 20 times as long
      set_searcher_fault pages-0-a slow 0 80
      gateway_run "$2" "$EXPERIMENT_SECONDS" "$EXPERIMENT_RATE"
      ;;
    lost)  # one searcher loses one of five answers
      set_searcher_fault pages-0-a lose 1000000 0 5
      gateway_run "$2" "$EXPERIMENT_SECONDS" "$EXPERIMENT_RATE"
      ;;
    killed)  # a daemon is killed after a quarter of the run, and started again after another quarter
      gateway_run "$2" "$EXPERIMENT_SECONDS" "$EXPERIMENT_RATE" &
      load=$!
      sleep $((EXPERIMENT_SECONDS / 4))
      kill_gateway 3
      sleep $((EXPERIMENT_SECONDS / 4))
      gateway_start_daemon "$WORK_FOLDER" 3
      wait "$load"
      ;;
    overload)
      set_searcher_fault pages- slow 0 "$GATEWAY_OVERLOAD_WORK_MS"
      gateway_run "$2" "$EXPERIMENT_SECONDS" "$GATEWAY_OVERLOAD_RATE" --route pages
      ;;
  esac
  set_searcher_fault "" none
  sleep "$GATEWAY_DECAY_SECONDS"
}
