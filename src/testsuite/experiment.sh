#!/usr/bin/env bash
# Runs the experiments of src/testsuite/experiments, which compare the naive variant of the software with the variant
# that uses all policies, and draws their figures:
#
#   src/testsuite/experiment.sh list
#   src/testsuite/experiment.sh run NAME [-n PAIRS] [-o FOLDER]   default folder: build/experiments/NAME
#   src/testsuite/experiment.sh table CSV                         Markdown table, median and range
#   src/testsuite/experiment.sh plot CSV [FOLDER [FIGURE...]]     one SVG for each deployment and figure; default: all
#                                                                 figures, in the folder of the CSV
#
# `run` writes rows.csv, manifest.txt, table.md and the plots. A pair is a run of each variant, one after the other, with
# the same seed, which is the number of the pair. A run that was interrupted keeps its rows, and the same command
# continues it. Exit code 2 means wrong usage or a wrong file.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 1
. src/testsuite/cluster.sh
. src/testsuite/experiment_query.sh
. src/testsuite/experiment_gateway.sh
. src/testsuite/gateway_cluster.sh

DEFINITIONS="${EXPERIMENT_DEFINITIONS:-src/testsuite/experiments}"
KEYS="about path deployments scenarios variants pairs seconds rate plot"

refuse() {  # MESSAGE: exits with 2, for wrong usage or a wrong file
  echo "experiment: $1" >&2
  exit 2
}
fail() {  # MESSAGE: exits with 1
  echo "experiment: $1" >&2
  exit 1
}
is_positive_number() { [[ "$1" =~ ^[1-9][0-9]{0,5}$ ]]; }  # at most 999999
require_known() {  # SOURCE KEY "WORDS" "KNOWN WORDS": refuses a value without words or with an unknown one
  local word
  [ -n "$3" ] || refuse "$1: $2 is missing or empty"
  for word in $3; do
    [[ " $(echo $4) " == *" $word "* ]] || refuse "$1: $2 \"$word\" is not one of: $(echo $4)"
  done
}

# NAME: reads and checks the definition of an experiment into the global associative array DEFINITION, and sets FIGURES
# to the figures of its path.
read_definition() {
  local file="$DEFINITIONS/$1.experiment" line key number=0
  [[ "$1" =~ ^[a-z0-9-]+$ ]] && [ -f "$file" ] || refuse "no experiment \"$1\"; see: experiment.sh list"
  declare -gA DEFINITION=()
  while IFS= read -r line || [ -n "$line" ]; do
    number=$((number + 1))
    key="${line%%:*}"
    [[ " $KEYS " == *" $key "* && "$line" == *": "* ]] ||
      refuse "$file:$number: \"$line\" does not begin with one of: $KEYS"
    [ -z "${DEFINITION[$key]:-}" ] || refuse "$file:$number: a second $key"
    DEFINITION[$key]="${line#*: }"
  done <"$file"
  require_known "$file" path "${DEFINITION[path]:-}" "query gateway"
  local upper="${DEFINITION[path]^^}" known
  known="${upper}_FIGURES"
  FIGURES="$(echo ${!known})"
  require_known "$file" plot "${DEFINITION[plot]:-}" "$FIGURES"
  known="${upper}_DEPLOYMENTS"
  require_known "$file" deployments "${DEFINITION[deployments]:-}" "${!known}"
  known="${upper}_SCENARIOS"
  require_known "$file" scenarios "${DEFINITION[scenarios]:-}" "${!known}"
  require_known "$file" variants "${DEFINITION[variants]:-}" "naive policy"
  for key in pairs seconds rate; do
    is_positive_number "${DEFINITION[$key]:-}" ||
      refuse "$file: $key \"${DEFINITION[$key]:-}\" is not a number from 1 to 999999"
  done
}

list_experiments() {
  local file name lines=""
  for file in "$DEFINITIONS"/*.experiment; do
    name="$(basename "$file" .experiment)"
    read_definition "$name"
    lines+="$(printf '%-20s %s; pairs: %s' "$name" "${DEFINITION[about]:-}" "${DEFINITION[pairs]}")"$'\n'
  done
  printf '%s' "$lines"
}

table() {  # CSV: prints the summary
  [ -r "$1" ] || refuse "cannot read \"$1\""
  awk -f src/testsuite/summarize.awk "$1" || exit 2
}

largest_value() {  # FILE: of the values that summarize.awk printed for a plot
  awk '{ for (i = 2; i <= 7; ++i) if ($i + 0 > max) max = $i + 0 } END { print max + 0 }' "$1"
}

plot() {  # CSV [FOLDER [FIGURE...]]: draws the figures of each deployment
  local csv="$1" folder="${2:-$(dirname "$1")}" figure deployment data figures
  table "$csv" >/dev/null
  figures="${*:3}"
  [ -n "$figures" ] || figures="$(head -1 "$csv" | cut -d, -f5- | tr ',' ' ')"
  command -v gnuplot >/dev/null || fail "gnuplot is missing; install the packages of packages.txt"
  mkdir -p "$folder" || fail "cannot create folder \"$folder\""
  data="$(mktemp)"
  for figure in $figures; do
    for deployment in $(tail -n +2 "$csv" | cut -d, -f1 | sort -u); do
      awk -v deployment="$deployment" -v figure="$figure" -f src/testsuite/summarize.awk "$csv" >"$data" || exit 2
      gnuplot -e "input='$data'; output_file='$folder/$deployment-$figure.svg'" \
        -e "heading='$deployment, $figure, median and range'" -e "greatest=$(largest_value "$data")" \
        src/testsuite/plot.gnuplot || fail "gnuplot could not draw $figure of $deployment"
    done
  done
  rm -f "$data"
}

# Prints the commit of the working tree, with "-changed" when its sources differ from the commit.
source_commit() {
  local changed
  changed="$(git status --porcelain -- src platform CMakeLists.txt 2>/dev/null)"
  echo "$(git rev-parse --short HEAD 2>/dev/null || echo unknown)${changed:+-changed}"
}

write_manifest() {  # FOLDER PAIRS: appends the conditions of this start
  local key
  {
    echo "experiment: $NAME"
    echo "commit: $(source_commit)"
    echo "date: $(date -u +%Y-%m-%dT%H:%M:%SZ)"
    echo "cores: $(nproc)"
    echo "load average at start: $(cut -d' ' -f1-3 /proc/loadavg)"
    echo "command: src/testsuite/experiment.sh run $NAME -n $2"
    echo "seeds: 1 to $2"
    for key in $KEYS; do echo "$key: ${DEFINITION[$key]}"; done | sed 's/^/  /'
  } >>"$1/manifest.txt"
}

append_row() {  # DEPLOYMENT SCENARIO VARIANT PAIR REPORT: appends the figures of a report to the rows
  local key value line="$1,$2,$3,$4"
  for key in $FIGURES; do
    value="$(json_field "$5" "$key")"
    if [ -z "$value" ]; then
      tail -n 3 "$WORK_FOLDER"/*.log >&2
      fail "no $key in the report of $1 $2 $3, pair $4; the rows before it are kept"
    fi
    line="$line,$value"
  done
  echo "$line" >>"$ROWS"
  echo "$line"
}

run_variant() {  # DEPLOYMENT VARIANT PAIR: runs the scenarios that have no row yet
  local scenario missing=""
  for scenario in ${DEFINITION[scenarios]}; do
    grep -q "^$1,$scenario,$2,$3," "$ROWS" || missing="$missing $scenario"
  done
  [ -n "$missing" ] || return
  rm -rf "${WORK_FOLDER:?}"/*
  if ! "$START" "$1" "$2" "$3"; then
    tail -n 3 "$WORK_FOLDER"/*.log >&2
    fail "deployment $1 did not start; is another run using its ports? The rows before are kept"
  fi
  for scenario in $missing; do
    # A command substitution would wait for the daemons that a scenario starts, and lose their process ids.
    "${DEFINITION[path]}_scenario" "$scenario" "$3" >"$WORK_FOLDER/report"
    append_row "$1" "$scenario" "$2" "$3" "$(cat "$WORK_FOLDER/report")"
  done
  cluster_stop
}

run_experiment() {  # FOLDER PAIRS: runs or continues the experiment NAME
  local pair deployment variant program header before
  mkdir -p "$1" || fail "cannot create folder \"$1\""
  ROWS="$1/rows.csv"
  START=query_start
  [ "${DEFINITION[path]}" = gateway ] && START=gateway_start_variant
  header="deployment,scenario,variant,pair,${FIGURES// /,}"
  if [ -s "$ROWS" ]; then
    [ "$(head -1 "$ROWS")" = "$header" ] || refuse "$ROWS has other columns than experiment $NAME"
    before="$(sed -n 's/^commit: //p' "$1/manifest.txt" 2>/dev/null | tail -1)"
    [ "$before" = "$(source_commit)" ] ||
      refuse "the rows in $1 are of commit ${before:-unknown}, this is $(source_commit); give another folder with -o"
    [ -z "$(tail -c 1 "$ROWS")" ] || sed -i '$d' "$ROWS"  # removes an incomplete last row
    [ "$(wc -l <"$ROWS")" = 1 ] || table "$ROWS" >/dev/null
  fi
  command -v gnuplot >/dev/null || fail "gnuplot is missing; install the packages of packages.txt"
  for program in pimentomoor pimentomoor_gateway_standin pimentomoor_standin pimentomoor_load; do
    case "${DEFINITION[path]} $program" in
      "gateway pimentomoor_standin" | "gateway pimentomoor_load" | "query pimentomoor_gateway_standin") ;;
      *) [ -x "$CLUSTER_BUILD/$program" ] || fail "$CLUSTER_BUILD/$program is missing; build it first" ;;
    esac
  done
  write_manifest "$1" "$2"
  [ -s "$ROWS" ] || echo "$header" >"$ROWS"
  EXPERIMENT_SECONDS="${DEFINITION[seconds]}"
  EXPERIMENT_RATE="${DEFINITION[rate]}"
  WORK_FOLDER="$(mktemp -d)"
  trap 'cluster_stop 2>/dev/null; rm -rf "$WORK_FOLDER"' EXIT
  for pair in $(seq 1 "$2"); do
    for deployment in ${DEFINITION[deployments]}; do
      for variant in ${DEFINITION[variants]}; do run_variant "$deployment" "$variant" "$pair"; done
    done
  done
  table "$ROWS" >"$1/table.md"
  plot "$ROWS" "$1" ${DEFINITION[plot]}
  echo "load average at end: $(cut -d' ' -f1-3 /proc/loadavg)" >>"$1/manifest.txt"
  echo "rows, manifest, table and plots are in $1"
}

usage() {
  refuse "usage: experiment.sh list | run NAME [-n PAIRS] [-o FOLDER] | table CSV | plot CSV [FOLDER [FIGURE...]]"
}

[ $# -ge 1 ] || usage
command="$1"
shift
case "$command" in
  list)
    [ $# = 0 ] || usage
    list_experiments
    ;;
  run)
    [ $# -ge 1 ] || usage
    NAME="$1"
    shift
    read_definition "$NAME"
    pairs="${DEFINITION[pairs]}"
    folder="$CLUSTER_BUILD/experiments/$NAME"
    while getopts ":n:o:" option; do
      case "$option" in
        n) pairs="$OPTARG" ;;
        o) folder="$OPTARG" ;;
        *) usage ;;
      esac
    done
    [ $# -lt "$OPTIND" ] || usage
    is_positive_number "$pairs" || refuse "PAIRS \"$pairs\" is not a number from 1 to 999999"
    run_experiment "$folder" "$pairs"
    ;;
  table)
    [ $# = 1 ] || usage
    table "$1"
    ;;
  plot)
    [ $# -ge 1 ] || usage
    plot "$@"
    ;;
  *) usage ;;
esac
