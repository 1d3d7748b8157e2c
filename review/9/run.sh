#!/usr/bin/env bash
# Two cells of daemons, whose seeds name none of the other cell, both act as the home of one tenant.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pimentomoor ] && [ -x target/review-2/cases-2 ] || {
  echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
}
exec target/review-2/cases-2 two-cells review/9
