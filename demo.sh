#!/usr/bin/env bash
# Builds pimentomoor and runs a whole deployment on loopback: six daemons, and stand-ins for the platform and the
# searchers. Prints entries, an answer, an operation, a status table and the report of a short load. Then runs three
# gateway daemons with the stand-in of their platform, and prints entries, an answer and the report of a load. Stops all
# processes at the end.
#
#   ./demo.sh
set -euo pipefail
cd "$(dirname "$0")"
if ! command -v cmake >/dev/null || ! pkg-config --exists libh2o-evloop 2>/dev/null; then
  grep -v '^#' packages.txt | xargs apt-get install -y -q
fi
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target pimentomoor pimentomoor_standin pimentomoor_load pimentomoor_gateway_standin
. src/testsuite/cluster.sh
. src/testsuite/gateway_cluster.sh
deployment=src/testsuite/deployments/quiroga.yaml
trap cluster_stop EXIT
rm -rf .demo
cluster_start .demo "$deployment"
entry="$(cluster_daemon_http 1)"
echo; echo "== where to connect: GET /v1/entries"
curl -sS "http://$entry/v1/entries?customer=load"
echo; echo "== one query over the nine shards of contratos: POST /v1/query"
curl -sS -X POST "http://$entry/v1/query" \
  -d '{"customer": "load", "service": "contratos", "text": "bull 17 pedigree", "limit": 2, "deadline_ms": 500}'
echo; echo "== one operation, sent twice with the same token through different entries"
token="$(curl -sS -X POST "http://$entry/v1/operations" -d '{"customer": "load", "service": "partes"}' |
  sed 's/.*"token":"\([^"]*\)".*/\1/')"
curl -sS -X POST --data 'payment line 4711' "http://$(cluster_daemon_http 2)/v1/operations/$token"
curl -sS -X POST --data 'payment line 4711' "http://$(cluster_daemon_http 3)/v1/operations/$token"
echo; echo "== status"
build/pimentomoor status $(for n in 1 2 3 4 5 6; do echo "--daemon $(cluster_daemon_http $n)"; done)
echo; echo "== 5 s of load, 200 queries/s over all services, each answer checked"
build/pimentomoor_load --entry "$entry" --deployment "$deployment" --rate 200 --seconds 5 \
  --searchers-admin "$CLUSTER_ADMIN"
cluster_stop
gateway_start .demo
echo; echo "== gateway, where to connect: GET /api/resolve"
gateway_resolve 1
echo; echo "== gateway, the ten greatest records of eight shards: GET /pages"
gateway_get 1 pages?q=bull -D - | head -c 700 | tr -c '[:print:]\n' '.'
echo; echo "== gateway, 5 s of load, 200 requests/s over three routes, each answer checked"
gateway_load --rate 200 --seconds 5
