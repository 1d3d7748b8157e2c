#!/usr/bin/env bash
# Builds the fuzz targets, and for each of them replays the corpus and then fuzzes for a bounded time. Exits with 1 when
# a target found a failing input:
#   src/fuzz/run.sh [seconds for each target, default 10; 0 only replays] [target...]
# Failing inputs are written to build-fuzz/findings/<target>.
set -euo pipefail
cd "$(dirname "$0")/../.."
seconds="${1:-10}"
shift || true
targets="${*:-$(basename -s .cpp src/fuzz/*.cpp)}"
cmake -S . -B build-fuzz -G Ninja -DPIMENTOMOOR_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++ >/dev/null
cmake --build build-fuzz -j 2 --target pimentomoor_fuzz
failed=""
dictionary="$(mktemp)"
trap 'rm -f "$dictionary"' EXIT
cat src/fuzz/fuzz.dict platform/fuzz_corpus/names.dict >"$dictionary"
for target in $targets; do
  findings="build-fuzz/findings/$target"
  corpus="platform/fuzz_corpus/$target" # inputs that contain names of the platform
  [ -d "$corpus" ] || corpus="src/fuzz/corpus/$target"
  # libFuzzer adds new inputs to the first folder of its command line. The corpus is the second one, so that only a run
  # with -merge=1 changes it.
  new_inputs="$(mktemp -d)"
  mkdir -p "$findings"
  fuzz_command=(timeout "$((seconds + 120))" "build-fuzz/fuzz_$target" -seed=1 -timeout=5 -rss_limit_mb=1024 -max_len=4096
    -artifact_prefix="$findings/" -verbosity=0)
  printf '%s: %d kept inputs, then %d s\n' "$target" "$(find "$corpus" -type f | wc -l)" "$seconds"
  if ! "${fuzz_command[@]}" -runs=0 "$corpus"; then
    failed="$failed $target(replay)"
  elif [ "$seconds" -gt 0 ] && ! "${fuzz_command[@]}" -max_total_time="$seconds" -dict="$dictionary" \
    -print_final_stats=1 "$new_inputs" "$corpus" 2>"$findings/log"; then
    cat "$findings/log"
    failed="$failed $target"
  fi
  [ "$seconds" -eq 0 ] || grep -s number_of_executed_units "$findings/log" || true
  rm -rf "$new_inputs"
done
[ -z "$failed" ] || { echo "fuzz: findings of$failed, inputs in build-fuzz/findings" >&2; exit 1; }
