#!/usr/bin/env bash
# Measures requests sent directly to an endpoint, through the node that owns the
# worker, and through a node that forwards them to that owner. Each round
# measures all three without a rate, at 10,000 and at 3,000 requests per second.
# Prints one line with a JSON object per measurement, the owner's requests per
# second of processor time, and the memory of the nodes.
# usage: bench_requests.sh [build] [duration ms] [rounds]
set -euo pipefail
build=${1:-build}
duration=${2:-5000}
rounds=${3:-3}
# shellcheck source=scripts/bench_lib.sh
source "$(dirname "$0")/bench_lib.sh"
wait_for() {  # command line
  for _ in $(seq 1 300); do
    if eval "$1" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "timed out waiting for: $1 (logs in $logs)" >&2
  exit 1
}
metric() {  # http address, name
  curl -fsS "http://$1/metrics" | awk -v n="mangospread_$2" '$1==n {print $2}'
}

start table "$build/mangospread-standin" table --listen 127.0.0.1:19000
start vms "$build/mangospread-standin" vm-list --listen 127.0.0.1:19001
start endpoint "$build/mangospread-standin" worker --listen 127.0.0.1:19100 --fence 0
start worker-1 "$build/mangospread-standin" worker --listen 127.0.0.1:19101
start worker-2 "$build/mangospread-standin" worker --listen 127.0.0.1:19102
wait_for "curl -fsS -X PUT http://127.0.0.1:19001/standin/vms -d '{\"vms\":[
  {\"name\":\"vm-1\",\"address\":\"127.0.0.1:19101\",\"data_center\":\"dc-a\",\"pool\":\"a\",\"state\":\"live\"},
  {\"name\":\"vm-2\",\"address\":\"127.0.0.1:19102\",\"data_center\":\"dc-a\",\"pool\":\"b\",\"state\":\"live\"}]}'"
declare -A http=([node-a]=127.0.0.1:19080 [node-b]=127.0.0.2:19080)
for node in node-a node-b; do
  ip=${http[$node]%:*}
  start "$node" "$build/mangospread" serve --node "$node" --data-center dc-a \
    --http-listen "$ip:19080" --rpc-listen "$ip:19081" \
    --seeds 127.0.0.1:19081,127.0.0.2:19081 \
    --table 127.0.0.1:19000 --vm-list 127.0.0.1:19001
done
for node in node-a node-b; do
  wait_for "curl -fsS http://${http[$node]}/healthz"
done
curl -fsS -o /dev/null -X PUT "http://${http[node-a]}/v1/resources/service/a" \
  -d '{"team":"bench","pool":"a"}'
owner=""
find_owner() {
  for node in node-a node-b; do
    if curl -fsS "http://${http[$node]}/v1/status/workers" | grep -q vm-1; then
      owner=$node
    fi
  done
  [ -n "$owner" ]
}
# Ownership moves after the start: the first owner hands workers over to a node
# that is placed better.
sleep 4
for _ in $(seq 1 100); do find_owner && break; sleep 0.1; done
[ -n "$owner" ]
forwarder=node-a
[ "$owner" = node-a ] && forwarder=node-b

run() {  # name, address, target, options...
  local name=$1 address=$2 target=$3
  shift 3
  printf '%s ' "$name"
  "$build/mangospread" load --server "$address" --target "$target" \
    --duration-ms "$duration" "$@"
}

for round in $(seq 1 "$rounds"); do
  echo "round $round"
  run direct-max 127.0.0.1:19100 /x
  before=$(metric "${http[$owner]}" process_cpu_seconds_total)
  result=$(run owner-max "${http[$owner]}" /svc/a/x)
  after=$(metric "${http[$owner]}" process_cpu_seconds_total)
  echo "$result"
  # The load command also sends requests during its warm-up of 1 s, which its
  # duration does not include.
  echo "$result" | sed 's/^[^ ]* //' | jq -r --argjson cpu "$(echo "$after - $before" | bc)" \
    --argjson ms "$duration" '"owner cpu: \($cpu) s, requests per core second: \(.requests_per_second * ($ms + 1000) / 1000 / $cpu)"'
  run forward-max "${http[$forwarder]}" /svc/a/x
  run direct-10k 127.0.0.1:19100 /x --rate 10000
  run owner-10k "${http[$owner]}" /svc/a/x --rate 10000
  run forward-10k "${http[$forwarder]}" /svc/a/x --rate 10000
  run direct-3k 127.0.0.1:19100 /x --rate 3000
  run owner-3k "${http[$owner]}" /svc/a/x --rate 3000
  run forward-3k "${http[$forwarder]}" /svc/a/x --rate 3000
done
for node in node-a node-b; do
  echo "$node resident bytes: $(metric "${http[$node]}" process_resident_bytes)"
done
