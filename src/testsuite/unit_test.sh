#!/usr/bin/env bash
# Runs each unit test in a process of its own, several beside each other, and prints the output of those that fail and
# then the counts:
#
#   src/testsuite/unit_test.sh TEST_RUNNER [processes, default all cores but one]
#
# Exits with 1 when a test failed, and when a process printed no result.
set -uo pipefail
runner="$1"
processes="${2:-$(($(nproc) > 1 ? $(nproc) - 1 : 1))}"
results="$(mktemp -d)"
trap 'rm -rf "$results"' EXIT
started=$SECONDS
# Recording a full stack for each allocation takes a quarter of the time of the simulations.
export ASAN_OPTIONS="${ASAN_OPTIONS:-malloc_context_size=5}"

run_test() {  # RUNNER RESULTS GROUP.NAME
  local output status
  output="$("$1" -sg "${3%%.*}" -sn "${3#*.}" 2>&1)"
  status=$?
  if [ "$status" = 0 ] && grep -qE '^OK .* 0 ran, .* 1 ignored' <<<"$output"; then
    echo ignored >"$2/$3"
  elif [ "$status" = 0 ] && grep -qE '^OK .* 1 ran' <<<"$output"; then
    echo passed >"$2/$3"
  else
    printf 'failed\n%s (exit status %s)\n%s\n' "$3" "$status" "$output" >"$2/$3"
  fi
}
export -f run_test

tests="$("$runner" -ln)"
count="$(wc -w <<<"$tests")"
tr ' ' '\n' <<<"$tests" | grep . | xargs -P "$processes" -I{} bash -c 'run_test "$@"' _ "$runner" "$results" {}
outcomes="$(head -qn1 "$results"/* | sort | uniq -c)"
outcome_count() { awk -v name="$1" '$2 == name {n = $1} END {print n + 0}' <<<"$outcomes"; }
for file in $(grep -lx failed "$results"/*); do
  tail -n +2 "$file"
done
passed="$(outcome_count passed)"
ignored="$(outcome_count ignored)"
echo "$passed passed, $((count - passed - ignored)) failed, $ignored ignored in $((SECONDS - started)) s"
[ "$count" -gt 0 ] && [ "$((passed + ignored))" = "$count" ]
