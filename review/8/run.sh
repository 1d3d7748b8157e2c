#!/usr/bin/env bash
# After one crash of a zone's searchers, a query that ran there is refused at all daemons.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pimentomoor ] && [ -x target/review-2/cases-2 ] || {
  echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
}
exec target/review-2/cases-2 popular-query review/8
