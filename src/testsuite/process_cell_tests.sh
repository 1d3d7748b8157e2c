# Failure tests of several cells in one deployment. Sourced by process_test.sh.

replace_object() {  # KEY FILE: writes the next version of an object on the platform
  local url="http://$CLUSTER_PLATFORM/objects/$CLUSTER_DEPLOYMENT/$1" etag
  etag="$(curl -sS -o /dev/null -D - "$url" | tr -d '\r' | sed -n 's/^[Ee][Tt]ag: *//p')"
  curl -sS -o /dev/null -X PUT -H "If-Match: $etag" --data-binary "@$2" "$url"
}

daemon_status() { curl -sS "http://$(cluster_daemon_http "$1")/status"; }  # N: prints the status of daemon N
post_http_status() {  # N PATH BODY: prints the HTTP status that daemon N answers to a POST
  curl -sS -m 5 -o /dev/null -w '%{http_code}' -X POST --data "$3" "http://$(cluster_daemon_http "$1")$2"
}
# N SERVICE: prints the HTTP status that daemon N answers to a query
query_http_status() {
  post_http_status "$1" /v1/query "{\"customer\": \"load\", \"service\": \"$2\", \"text\": \"cells\"}"
}
query_gets_http_status() { same "$(query_http_status "$1" "$2")" "$3"; }  # N SERVICE STATUS
run_cell_load() {  # FIRST LAST ARGUMENTS...: runs the load tool against daemons FIRST to LAST, which are one cell
  local entries=() n first="$1" last="$2"
  shift 2
  for n in $(seq "$first" "$last"); do entries+=(--entry "$(cluster_daemon_http "$n")"); done
  "$CLUSTER_BUILD/pimentomoor_load" "${entries[@]}" --deployment "$DEPLOYMENT" --json "$@"
}
# N: whether daemon N lists another cell with at least three members
lists_all_cells() { contains "$(daemon_status "$1")" '"other_cells":\[{.*"members":\[{.*{.*{.*}\]}\]'; }
query_by_directory() {  # N SERVICE: asks daemon N for entries and queries one of them; succeeds with a complete answer
  "$CLUSTER_BUILD/pimentomoor" query --daemon "$(cluster_daemon_http "$1")" --customer load --service "$2" probe \
    >/dev/null
}
has_no_outage() { contains "$(daemon_status "$1")" '"failure_domains":\[\]'; }

one_takes_host_list_from_member() {  # FIRST LAST: whether one of these daemons got the host list from another one
  local n
  for n in $(seq "$1" "$2"); do
    contains "$(daemon_status "$n")" '"host_list":{"source":"entry-' && return 0
  done
  return 1
}

# Guards against a service that no cell or two cells serve, against host list messages within a cell that are dropped
# because they don't name the cell, against a configuration that counts as accepted though one cell hasn't accepted it,
# and against a cell that loses coverage or changes its view when all daemons of another cell fail. Daemons 4 to 6 move
# to cell south.
test_two_cells() {
  local n answer report epoch
  for n in 4 5 6; do kill -TERM "${CLUSTER_DAEMON_PIDS[$n]}"; done
  for n in 4 5 6; do wait "${CLUSTER_DAEMON_PIDS[$n]}" 2>/dev/null; done
  sed 's/^  - contratos$/  - {service: contratos, cell: south}/' "$FOLDER/index.yaml" >"$FOLDER/index_cells.yaml"
  replace_object catalog/index "$FOLDER/index_cells.yaml"
  check "the default cell gives up the service" cluster_wait 10 query_gets_http_status 1 contratos 421
  for n in 4 5 6; do
    echo "cell: south" >>"$FOLDER/daemon$n.yaml"
    cluster_start_daemon "$FOLDER" "$n"
  done
  for n in 4 5 6; do check "daemon $n of the new cell is ready" cluster_wait 20 cluster_daemon_ready "$n" 2; done
  for n in 1 4; do check "daemon $n knows the other cell" cluster_wait 10 lists_all_cells "$n"; done
  for n in 1 4; do
    check "the cell of daemon $n shares the host list" cluster_wait 10 one_takes_host_list_from_member "$n" "$((n + 2))"
  done

  run_cell_load 4 6 --rate 50 --seconds 4 --seed 31 --service contratos >/dev/null  # cold upstreams ramp up for 2.5 s
  report="$(run_cell_load 4 6 --rate 50 --seconds 3 --seed 32 --service contratos)"
  check "queries through the right cell are right" is_zero "$(json_field "$report" wrong)"
  check "queries through the right cell are complete" at_least "$(json_field "$report" coverage)" 1
  check "a query in the wrong cell gets 421" query_gets_http_status 2 contratos 421
  answer="$(query 2 "wrong cell" contratos)"
  check "it is refused as not run" contains "$answer" '"outcome":"not_run"'
  check "the reason names the cell and whom to ask" contains "$answer" "cell 'south': ask /v1/entries?service=contratos"
  check "an operation token in the wrong cell gets 421" same \
    "$(post_http_status 5 /v1/operations '{"customer": "load", "service": "partes"}')" 421
  answer="$(curl -sS "http://$(cluster_daemon_http 1)/v1/entries?service=contratos&failure_domain=pampa-sur-b")"
  check "the directory puts the caller's failure domain first" contains "$answer" \
    "^{\"entries\":\[{\"address\":\"$(cluster_daemon_http 5)\""
  check "a query by the directory of the other cell is complete" query_by_directory 1 contratos

  # The command gets the address of one daemon and finds the others in both cells.
  answer="$("$CLUSTER_BUILD/pimentomoor" outage add --failure-domain pampa-sur-c --operator process-test \
    --deployment "$CLUSTER_DEPLOYMENT" --platform "$CLUSTER_PLATFORM" --daemon "$(cluster_daemon_http 1)" 2>&1)"
  for n in main south; do check "the outage is accepted in cell $n" contains "$answer" "accepted in cell $n"; done
  for n in 1 2 4 5; do
    check "daemon $n follows the outage" cluster_wait "$FEW_SECONDS" has_outage_in_force "$n" pampa-sur-c
  done
  outage remove --failure-domain pampa-sur-c >/dev/null
  for n in 1 2 3 4 5 6; do check "daemon $n sees the end of the outage" cluster_wait 10 has_no_outage "$n"; done
  for n in 1 2 3; do check "daemon $n is ready again" cluster_wait 20 cluster_daemon_ready "$n" 52; done

  run_cell_load 1 3 --rate 50 --seconds 4 --seed 33 --service remates-01 >/dev/null
  epoch="$(json_field "$(daemon_status 1)" epoch)"
  for n in 4 5 6; do kill -KILL "${CLUSTER_DAEMON_PIDS[$n]}"; done
  for n in 4 5 6; do wait "${CLUSTER_DAEMON_PIDS[$n]}" 2>/dev/null; done
  report="$(run_cell_load 1 3 --rate 50 --seconds 8 --seed 34 --service remates-01)"
  check "the other cell keeps its coverage" at_least "$(json_field "$report" coverage)" 1
  check "the other cell keeps its view" same "$(json_field "$(daemon_status 1)" epoch)" "$epoch"

  replace_object catalog/index "$FOLDER/index.yaml"
  for n in 4 5 6; do
    sed -i '/^cell: /d' "$FOLDER/daemon$n.yaml"
    cluster_start_daemon "$FOLDER" "$n"
  done
  check "all daemons serve as one cell again" wait_all_ready
}

CELL_TESTS="test_two_cells"
