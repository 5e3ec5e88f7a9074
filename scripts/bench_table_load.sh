#!/usr/bin/env bash
# Measures the reads and transactions per second at the table: without load,
# under requests without an idempotency key, and under requests with a key each.
# usage: bench_table_load.sh [build] [nodes] [duration ms] [rates]
set -euo pipefail
build=${1:-build}
nodes=${2:-6}
duration=${3:-10000}
rates=${4:-"100 500 1000"}
# shellcheck source=scripts/bench_lib.sh
source "$(dirname "$0")/bench_lib.sh"

start table "$build/mangospread-standin" table --delay-ms 4
start vms "$build/mangospread-standin" vm-list
vms=""
for i in $(seq 1 "$nodes"); do
  start "worker-$i" "$build/mangospread-standin" worker
  vms+="${vms:+,}{\"name\":\"vm-$i\",\"address\":\"$(address "worker-$i" http)\",\"data_center\":\"dc-a\",\"pool\":\"p\",\"state\":\"live\"}"
done
curl -fsS -o /dev/null -X PUT "http://$(address vms http)/standin/vms" \
  -d "{\"vms\":[$vms]}"
seeds=""
servers=""
for i in $(seq 1 "$nodes"); do
  start "node-$i" "$build/mangospread" serve --node "n$i" --data-center dc-a \
    --http-listen 127.0.0.1:0 --rpc-listen 127.0.0.1:0 --seeds "$seeds" \
    --table "$(address table http)" --vm-list "$(address vms http)" \
    --log-level warning
  [ -n "$seeds" ] || seeds=$(address "node-$i" rpc)
  servers+="${servers:+,}$(address "node-$i" http)"
done
first=${servers%%,*}
for _ in $(seq 1 300); do
  curl -fsS "http://$first/healthz" >/dev/null 2>&1 && break
  sleep 0.1
done
curl -fsS -o /dev/null -X PUT "http://$first/v1/resources/service/s" \
  -d '{"team":"bench","pool":"p","timeout_ms":4000}'
# Workers move to their proposed owners after the start.
sleep 8

table_counters() {  # prints reads and transactions
  curl -fsS "http://$(address table http)/standin/record" |
    jq -r '"\(.reads) \(.transactions)"'
}
now() { date +%s.%N; }
measure() {  # name, command...
  local name=$1 before after started ended result
  shift
  before=$(table_counters)
  started=$(now)
  result=$("$@")
  ended=$(now)
  after=$(table_counters)
  awk -v name="$name" -v a="$before" -v b="$after" -v s="$started" -v e="$ended" \
    'BEGIN { split(a, x); split(b, y); t = e - s
      printf "%s reads/s=%.1f transactions/s=%.1f ", name, (y[1]-x[1])/t, (y[2]-x[2])/t }'
  echo "$result"
}

# Each measured interval includes the load command's warm-up of 1 s.
measure rest sleep "$(echo "$duration / 1000" | bc)"
for rate in $rates; do
  for mode in "" --idempotency-keys; do
    # shellcheck disable=SC2086
    measure "${mode:-unkeyed} rate=$rate" "$build/mangospread" load \
      --server "$servers" --target /svc/s/x --method POST --body-bytes 1000 \
      --rate "$rate" --concurrency 48 --duration-ms "$duration" $mode
  done
done
