#!/usr/bin/env bash
# Builds the fuzz targets, and for each of them replays the corpus and then fuzzes for a bounded time. Exits with 1 when
# a target found a failing input:
#   src/fuzz/run.sh [seconds for each target, default 10; 0 only replays] [target...]
# The targets are built in build-asan, with the sanitizers of the unit tests, and run beside each other. Failing inputs
# are written to build-asan/findings/<target>.
set -euo pipefail
cd "$(dirname "$0")/../.."
. src/testsuite/build.sh
seconds="${1:-10}"
shift || true
targets="${*:-$(basename -s .cpp src/fuzz/*.cpp)}"
build_sanitized build-asan pimentomoor_fuzz
dictionary="$(mktemp)"
results="$(mktemp -d)"
trap 'rm -rf "$dictionary" "$results"' EXIT
cat src/fuzz/fuzz.dict platform/fuzz_corpus/names.dict >"$dictionary"

run_target() {  # TARGET: exits with 1 when the target found a failing input
  local target="$1" findings="build-asan/findings/$1" corpus new_inputs failed=0
  corpus="platform/fuzz_corpus/$target" # inputs that contain names of the platform
  [ -d "$corpus" ] || corpus="src/fuzz/corpus/$target"
  # libFuzzer adds new inputs to the first folder of its command line. The corpus is the second one, so that only a run
  # with -merge=1 changes it.
  new_inputs="$(mktemp -d)"
  mkdir -p "$findings"
  fuzz_command=(timeout "$((seconds + 120))" "build-asan/fuzz_$target" -seed=1 -timeout=5 -rss_limit_mb=1024
    -max_len=4096 -artifact_prefix="$findings/" -verbosity=0)
  printf '%s: %d kept inputs, then %d s\n' "$target" "$(find "$corpus" -type f | wc -l)" "$seconds"
  if ! "${fuzz_command[@]}" -runs=0 "$corpus"; then
    failed=1
  elif [ "$seconds" -gt 0 ] && ! "${fuzz_command[@]}" -max_total_time="$seconds" -dict="$dictionary" \
    -print_final_stats=1 "$new_inputs" "$corpus" 2>"$findings/log"; then
    cat "$findings/log"
    failed=1
  fi
  [ "$seconds" -eq 0 ] || grep -s number_of_executed_units "$findings/log" || true
  rm -rf "$new_inputs"
  return "$failed"
}

for target in $targets; do
  (run_target "$target" >"$results/$target" 2>&1 || touch "$results/$target.failed") &
done
wait
cat $(printf "$results/%s " $targets)
for target in $targets; do
  [ ! -e "$results/$target.failed" ] || { echo "fuzz: $target found a failing input, see build-asan/findings" >&2; exit 1; }
done
