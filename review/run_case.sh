# Sourced by the run.sh of each case: starts three daemons with the command of deploy/system.toml and settings from its
# template, runs a case of target/review/standin against them, and ends them. TROUBLE=0 leaves the disruption out.
#
#   run_case CASE FOLDER
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2

DAEMONS=()
SETTINGS_FOLDER=""

end_case() {
  local pid
  for pid in "${DAEMONS[@]}"; do kill -9 "$pid" 2>/dev/null; done
  for pid in "${DAEMONS[@]}"; do wait "$pid" 2>/dev/null; done
  [ -z "$SETTINGS_FOLDER" ] || rm -rf "$SETTINGS_FOLDER"
}

# N PORT: prints the template of the settings, filled in for daemon N as the platform does
fill_template() {
  local ip="127.0.0.$1" zone=zone-a
  [ "$1" = 2 ] && zone=zone-b
  sed -e 's/{{node|json}}/"front-'"$1"'"/' -e 's/{{zone|json}}/"'"$zone"'"/' \
    -e "s/{{listen.front}}/$ip:$(($2 + 100))/" -e "s/{{listen.ready}}/$ip:$(($2 + 101))/" \
    -e "s/{{listen.directory}}/$ip:$(($2 + 103))/" -e "s/{{ip}}/$ip/" \
    -e "s/{{internal-ports.0}}/$(($2 + 104))/" -e "s/{{platform.address}}/127.0.0.1:$2/" \
    -e 's/{{#seeds}}.*{{\/seeds}}/"127.0.0.1:'"$(($2 + 102))"'","127.0.0.2:'"$(($2 + 102))"'","127.0.0.3:'"$(($2 + 102))"'"/' \
    -e 's/{{limits.cpu-share}}/0.25/' -e 's/{{limits.cores}}/1/' -e 's/{{bounds.grace-s}}/6/' \
    -e 's/{{bounds.drain-ms}}/3000/' -e 's/{{bounds.retry-ratio}}/0.2/' -e 's/{{bounds.retry-allowance}}/52/' \
    -e 's/{{bounds.retry-window-s}}/10/' -e 's/{{bounds.warmup-factor}}/1.5/' -e 's/{{bounds.cold-slack}}/5/' \
    deploy/gateway.yaml.tmpl
}

run_case() {
  local port run n
  trap end_case EXIT
  [ -x target/review/standin ] || { echo "build first: the command of deploy/system.toml, then review/build.sh"; exit 2; }
  port="$(target/review/standin ports)" || exit 2
  run="$(sed -n 's/^run = "\(.*\)"/\1/p' deploy/system.toml)"
  SETTINGS_FOLDER="$(mktemp -d)"
  for n in 1 2 3; do
    fill_template "$n" "$port" >"$SETTINGS_FOLDER/$n.yaml"
    if grep -q '{{' "$SETTINGS_FOLDER/$n.yaml"; then echo "the template has a new placeholder"; exit 2; fi
    # shellcheck disable=SC2086
    env -i PATH="$PATH" HOME="$HOME" LANG="${LANG:-C.UTF-8}" PIMENTOMOOR_SETTINGS="$SETTINGS_FOLDER/$n.yaml" \
      $run 2>"$SETTINGS_FOLDER/$n.log" >&2 &
    DAEMONS+=($!)
  done
  timeout 115 target/review/standin "$1" "${TROUBLE:-1}" "$port" "$2/record.txt" "${DAEMONS[@]}"
  local status=$?
  if [ -n "${KEEP_LOGS:-}" ]; then cp "$SETTINGS_FOLDER"/*.log "$KEEP_LOGS"; fi
  case "$status" in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
}
