#!/usr/bin/env bash
# Builds the fuzz targets, replays the corpus, then fuzzes each target for a bounded time. Fails on any finding:
#   src/fuzz/run.sh [seconds for each target, default 10; 0 only replays] [target...]
# Inputs that a run found are written to build-fuzz/findings/<target>.
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
  corpus="platform/fuzz_corpus/$target" # inputs that spell names of the platform
  [ -d "$corpus" ] || corpus="src/fuzz/corpus/$target"
  found="$(mktemp -d)" # libFuzzer adds new inputs to the first folder; the kept corpus changes only by -merge=1
  mkdir -p "$findings"
  run=(timeout "$((seconds + 120))" "build-fuzz/fuzz_$target" -seed=1 -timeout=5 -rss_limit_mb=1024 -max_len=4096
    -artifact_prefix="$findings/" -verbosity=0)
  printf '%s: %d kept inputs, then %d s\n' "$target" "$(find "$corpus" -type f | wc -l)" "$seconds"
  if ! "${run[@]}" -runs=0 "$corpus"; then
    failed="$failed $target(replay)"
  elif [ "$seconds" -gt 0 ] && ! "${run[@]}" -max_total_time="$seconds" -dict="$dictionary" \
    -print_final_stats=1 "$found" "$corpus" 2>"$findings/log"; then
    cat "$findings/log"
    failed="$failed $target"
  fi
  [ "$seconds" -eq 0 ] || grep -s number_of_executed_units "$findings/log" || true
  rm -rf "$found"
done
[ -z "$failed" ] || { echo "fuzz: findings of$failed, inputs in build-fuzz/findings" >&2; exit 1; }
