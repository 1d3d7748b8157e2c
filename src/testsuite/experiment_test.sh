#!/usr/bin/env bash
# Tests of experiment.sh that start no deployment: summaries and plots of fixed rows, and refusals of invalid input.
#
#   src/testsuite/experiment_test.sh
set -uo pipefail
cd "$(dirname "$0")/../.."
. src/testsuite/process_helpers.sh

FOLDER="$(mktemp -d)"
trap 'rm -rf "$FOLDER"' EXIT
HEAD="deployment,scenario,variant,pair,p99_ms,sheds"

# ARGUMENTS...: runs the tool on the definitions in FOLDER
experiment() { EXPERIMENT_DEFINITIONS="$FOLDER" src/testsuite/experiment.sh "$@" >"$FOLDER/out" 2>"$FOLDER/err"; }
# MESSAGE ARGUMENTS...: whether the command exits with 2, prints nothing on standard output, and prints the message on
# standard error
refused() {
  experiment "${@:2}"
  [ $? = 2 ] && [ ! -s "$FOLDER/out" ] && contains "$(cat "$FOLDER/err")" "$1"
}
refused_rows() {  # MESSAGE ROWS...: whether `table` and `plot` refuse the rows, and `plot` creates no folder
  printf '%s\n' "${@:2}" >"$FOLDER/bad.csv"
  refused "$1" table "$FOLDER/bad.csv" && refused "$1" plot "$FOLDER/bad.csv" "$FOLDER/none" p99_ms &&
    [ ! -e "$FOLDER/none" ]
}

# Guards against a wrong median, a missing row, and values that are ordered as text and not as numbers.
test_table() {
  printf '%s\n' "$HEAD" town,calm,naive,1,9.5,0 town,calm,policy,1,8,1 town,calm,naive,2,100,0 town,calm,policy,2,4,2 \
    town,calm,naive,3,20,0 town,slow,policy,1,3,0 >"$FOLDER/rows.csv"
  cat >"$FOLDER/expected" <<'TABLE'
| deployment | scenario | variant | runs | p99_ms | sheds |
|---|---|---|---|---|---|
| town | calm | naive | 3 | 20 (9.5 to 100) | 0 |
| town | calm | policy | 2 | 6 (4 to 8) | 1.5 (1 to 2) |
| town | slow | policy | 1 | 3 | 0 |
TABLE
  experiment table "$FOLDER/rows.csv"
  check "the table has median and range of each figure" cmp "$FOLDER/out" "$FOLDER/expected"
  check "the rows of docs/measurements.md give its tables" published_tables
}
published_tables() {  # whether docs/measurements.md has each line of the tables that the rows of docs/plots give
  local rows
  for rows in docs/plots/*.csv; do
    experiment table "$rows" && ! grep -vxFf docs/measurements.md "$FOLDER/out" || return 1
  done
}

# Guards against plots without one of the scenarios, and against plots that fail on a variant without rows or on a
# figure that is 0 everywhere.
test_plot() {
  experiment plot "$FOLDER/rows.csv" "$FOLDER/plots" p99_ms
  check "a plot is drawn without a message" same "$?$(cat "$FOLDER/err")" 0
  check "the plot is SVG" contains "$(head -2 "$FOLDER/plots/town-p99_ms.svg")" "<svg"
  check "the plot names both scenarios" contains "$(tr -d '\n' <"$FOLDER/plots/town-p99_ms.svg")" ">calm<.*>slow<"
  printf '%s\n' "$HEAD" town,calm,naive,1,9.5,0 town,calm,policy,1,8,0 >"$FOLDER/zero.csv"
  experiment plot "$FOLDER/zero.csv" "$FOLDER/plots" sheds
  check "a figure that is 0 everywhere is drawn without a message" same "$?$(cat "$FOLDER/err")" 0
}

# Guards against invalid rows that are skipped silently or counted as 0.
test_bad_rows() {
  local good=town,calm,naive,1,9.5,0
  check "rows without a head are refused" refused_rows "bad.csv:1: the first line" "$good"
  check "an empty file is refused" refused_rows "no rows" "$HEAD"
  check "a short row is refused" refused_rows "bad.csv:3: 5 fields in place of 6" "$HEAD" "$good" town,calm,naive,2,9.5
  check "a missing number is refused" \
    refused_rows 'bad.csv:2: "" is not a number for p99_ms' "$HEAD" town,calm,naive,1,,0
  check "text in place of a number is refused" refused_rows '"nan" is not a number' "$HEAD" town,calm,naive,1,nan,0
  check "the same run twice is refused" refused_rows "bad.csv:3: a second row of town calm" "$HEAD" "$good" "$good"
  check "pair 0 is refused" refused_rows '"0" is not the number of a pair' "$HEAD" town,calm,naive,0,9.5,0
  check "a file that does not exist is refused" refused "cannot read" table "$FOLDER/missing.csv"
  check "an unknown figure is refused" refused 'no column "p50_ms"' plot "$FOLDER/rows.csv" "$FOLDER" p50_ms
}

# Guards against runs with other settings than intended, because errors in arguments or definitions are ignored.
test_bad_arguments() {
  local definition=src/testsuite/experiments/gateway.experiment
  cp "$definition" "$FOLDER/good.experiment"
  sed 's/^scenarios: calm/scenarios: calmly/' "$definition" >"$FOLDER/scenario.experiment"
  sed 's/^pairs:/pair:/' "$definition" >"$FOLDER/key.experiment"
  sed '/^rate:/d' "$definition" >"$FOLDER/rate.experiment"
  check "the definitions in the repository are valid" contains "$(src/testsuite/experiment.sh list)" "^gateway "
  check "a wrong definition is refused by list" refused "key.experiment:6: " list
  check "an unknown experiment is refused" refused 'no experiment "other"' run other
  check "a path as a name is refused" refused 'no experiment "../good"' run ../good
  check "an unknown scenario is refused" refused 'scenarios "calmly" is not one of' run scenario
  check "an unknown key is refused with its line" refused "key.experiment:6: " run key
  check "a missing key is refused" refused 'rate "" is not a number' run rate
  check "a number of pairs that is none is refused" refused 'PAIRS "x" is not' run good -n x
  check "an unknown option is refused" refused usage run good -x 1
  check "an unknown command is refused" refused usage draw
  mkdir "$FOLDER/other"
  cp "$FOLDER/rows.csv" "$FOLDER/other"
  check "a folder with rows of another experiment is refused" refused "has other columns" run good -o "$FOLDER/other"
  check "the refused folder keeps its rows" cmp "$FOLDER/rows.csv" "$FOLDER/other/rows.csv"
}

# Guards against rows that are measured again, lost, or mixed with rows of another commit when a run is continued. No
# deployment starts, because all rows exist already.
test_continue() {
  local run="$FOLDER/run" variant program commit changed
  mkdir -p "$run" "$FOLDER/build"
  for program in pimentomoor pimentomoor_gateway_standin; do
    printf '#!/bin/sh\nexit 1\n' >"$FOLDER/build/$program"
    chmod +x "$FOLDER/build/$program"
  done
  sed 's/^scenarios: .*/scenarios: calm/; s/^pairs: .*/pairs: 1/' src/testsuite/experiments/gateway.experiment \
    >"$FOLDER/short.experiment"
  printf '%s%s\n' deployment,scenario,variant,pair,answered,within_objective,coverage,p50_ms,p99_ms,p99_9_ms \
    ,extra_sends_per_request,connections_per_request,wrong >"$run/rows.csv"
  for variant in naive policy; do echo "gateway,calm,$variant,1,1,1,1,5,9,12,0,0.1,0" >>"$run/rows.csv"; done
  cp "$run/rows.csv" "$FOLDER/kept.csv"
  printf 'gateway,calm,naive,2,1,1' >>"$run/rows.csv"
  cp "$run/rows.csv" "$FOLDER/cut.csv"
  check "rows of an unknown commit are not continued" refused "are of commit unknown" run short -o "$run"
  check "refused rows stay as they are" cmp "$run/rows.csv" "$FOLDER/cut.csv"
  commit="$(git rev-parse --short HEAD 2>/dev/null || echo unknown)"
  changed="$(git status --porcelain -- src platform CMakeLists.txt 2>/dev/null)"
  echo "commit: $commit${changed:+-changed}" >"$run/manifest.txt"
  CLUSTER_BUILD="$FOLDER/build" experiment run short -o "$run"
  check "a run with all rows ends with success" same "$?$(cat "$FOLDER/err")" 0
  check "the whole rows are kept, the cut one is dropped" cmp "$run/rows.csv" "$FOLDER/kept.csv"
  check "table and plots are written" test -s "$run/table.md" -a -s "$run/gateway-p99_ms.svg"
  check "the manifest names command and seeds" contains "$(tr '\n' ' ' <"$run/manifest.txt")" \
    "command: src/testsuite/experiment.sh run short -n 1 seeds: 1 to 1"
}

for test in test_table test_plot test_bad_rows test_bad_arguments test_continue; do
  echo "$test ($SECONDS s)"
  "$test"
done
echo "$PASSED passed, $FAILED failed in $SECONDS s"
[ "$FAILED" = 0 ]
