#!/usr/bin/env bash
# Runs cases of the two reviews under review/ on the present code: builds the program as the deploy file says and the
# stand-ins of the cases, and plays each case in a scratch folder, where the placeholders that the template of the
# settings has gained since the reviews are filled in with values of a small deployment.
#
#   src/testsuite/review_test.sh [CASE ...]      default 1 to 9
#
# Case 10 is a day of the users' bench: FLEETBENCH names the program, SITE the site file. RUNS is the number of runs of
# each case, one after the other, default 1. KEEP names a folder for the output and the record of each run. Prints a
# line for each run, and exits with 1 when a rule was broken, and with 2 when a case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
cases=("$@")
[ "$#" -gt 0 ] || cases=(1 2 3 4 5 6 7 8 9)
for number in "${cases[@]}"; do
  if [ ! -e "review/$number/claim.txt" ]; then
    echo "review_test.sh: no case '$number' under review/" >&2
    exit 2
  fi
  if [ "$number" = 10 ] && { [ ! -x "${FLEETBENCH:-}" ] || [ ! -r "${SITE:-}" ]; }; then
    echo "review_test.sh: case 10 needs FLEETBENCH, the users' bench, and SITE, a site file" >&2
    exit 2
  fi
done

build_output="$(mktemp)"
scratch="$(mktemp -d)"
trap 'rm -rf "$build_output" "$scratch"' EXIT
build="$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
if ! { bash -c "$build" && review/build.sh && review/build-2.sh; } >"$build_output" 2>&1; then
  tail -n 20 "$build_output" >&2
  exit 2
fi

# Fills in the placeholders that the cases don't know, and leaves out the sections of settings that a small deployment
# doesn't have.
fill_new_placeholders() {
  sed -E -e '/^\{\{#bounds\.[a-z-]+\}\}/,/^\{\{\/bounds\.[a-z-]+\}\}/d' \
    -e 's/\{\{limits\.memory-mb\}\}/260/' -e 's/\{\{limits\.max-fds\}\}/4100/'
}

run_processes() {  # CASE: runs it with real processes in a copy of what it reads
  local folder="$scratch/run"
  mkdir -p "$folder/deploy"
  cp -r review "$folder/review"
  ln -s "$PWD/target" "$folder/target"
  cp deploy/system.toml "$folder/deploy/"
  fill_new_placeholders <deploy/gateway.yaml.tmpl >"$folder/deploy/gateway.yaml.tmpl"
  "$folder/review/$1/run.sh" >"$folder/output" 2>&1
}

# Plays the day of case 10 with the seeds on which it broke its rule. The bench tells so in its report only.
run_bench_day() {
  local seed
  mkdir -p "$scratch/run"
  for seed in 3 5 9; do
    "$FLEETBENCH" run "$SITE" review/10/day.toml --seed "$seed" --why "review/10, seed $seed" \
      >>"$scratch/run/output" 2>&1 || return 2
  done
  [ "$(grep -c '^snapshot ' "$scratch/run/output")" = 3 ] || return 2
  ! grep -q '^rules broken:' "$scratch/run/output"
}

worst=0
for number in "${cases[@]}"; do
  for run in $(seq "${RUNS:-1}"); do
    rm -rf "$scratch/run"
    if [ "$number" = 10 ]; then run_bench_day; else run_processes "$number"; fi
    status=$?
    case "$status" in
      0) result="the rule held" ;;
      1) result="the rule was BROKEN" ;;
      *) result="could not run: $(tail -n 1 "$scratch/run/output")" status=2 ;;
    esac
    echo "review/$number, run $run: $result"
    if [ -n "${KEEP:-}" ]; then
      mkdir -p "$KEEP"
      cp "$scratch/run/output" "$KEEP/$number-$run.log"
      cp "$scratch/run/review/$number/record.txt" "$KEEP/$number-$run.record" 2>/dev/null
    fi
    [ "$status" -le "$worst" ] || worst="$status"
  done
done
exit "$worst"
