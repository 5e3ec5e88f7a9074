#!/usr/bin/env bash
# Measures the cost of the control plane without load for different numbers of
# nodes and workers: processor time, memory and table requests. Also prints the
# counters of two proxies, with the bytes in each direction, before and after
# the measurement: one in front of the first worker, one in front of the peer
# address of the first node. docs/CAPACITY.md uses the differences between two
# lines as the cost of each additional node or worker.
# usage: bench_capacity.sh [build] [seconds per measurement]
set -euo pipefail
build=${1:-build}
seconds=${2:-15}

measure() {  # nodes, workers
  local nodes=$1 workers=$2 logs pids=() vms="" i
  logs=$(mktemp -d)
  start_process() {  # name, command...
    local name=$1
    shift
    "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
    pids+=($!)
  }
  address() {  # process name, field of its "listening" line
    local value=""
    for _ in $(seq 1 100); do
      value=$(sed -n "s/.*$2=\([0-9.:]*\).*/\1/p" "$logs/$1.out" | head -1)
      [ -n "$value" ] && break
      sleep 0.05
    done
    echo "$value"
  }
  start_process table "$build/mangospread-standin" table
  start_process vms "$build/mangospread-standin" vm-list
  for i in $(seq 1 "$workers"); do
    start_process "w$i" "$build/mangospread-standin" worker
  done
  start_process wproxy "$build/mangospread-standin" proxy --target "$(address w1 http)"
  for i in $(seq 1 "$workers"); do
    local target
    target=$(address "w$i" http)
    [ "$i" = 1 ] && target=$(address wproxy proxy)
    vms+="${vms:+,}{\"name\":\"vm-$i\",\"address\":\"$target\",\"data_center\":\"dc-$((i % 3))\",\"rack\":\"r$((i / 6))\",\"pool\":\"p\",\"state\":\"live\"}"
  done
  curl -fsS -o /dev/null -X PUT "http://$(address vms http)/standin/vms" -d "{\"vms\":[$vms]}"
  # The target is replaced once the first node has announced its address.
  start_process rproxy "$build/mangospread-standin" proxy --target 127.0.0.1:9
  local seeds="" rpc
  for i in $(seq 1 "$nodes"); do
    local advertise=()
    [ "$i" = 1 ] && advertise=(--rpc-advertise "$(address rproxy proxy)")
    start_process "n$i" "$build/mangospread" serve --node "n$i" --data-center "dc-$((i % 3))" \
      --http-listen 127.0.0.1:0 --rpc-listen 127.0.0.1:0 --seeds "$seeds" "${advertise[@]}" \
      --table "$(address table http)" --vm-list "$(address vms http)" --log-level warning
    rpc=$(address "n$i" rpc)
    if [ "$i" = 1 ]; then
      curl -fsS -o /dev/null -X PUT "http://$(address rproxy control)/standin/target" \
        -d "$rpc"
      rpc=$(address rproxy proxy)
      seeds=$rpc
    fi
  done
  for _ in $(seq 1 200); do
    local owned=0
    for i in $(seq 1 "$nodes"); do
      owned=$((owned + $(curl -fsS "http://$(address "n$i" http)/metrics" 2>/dev/null | awk '$1=="mangospread_owned_workers"{print int($2)}' || echo 0)))
    done
    [ "$owned" = "$workers" ] && break
    sleep 0.2
  done
  sleep 5
  sample() {  # prints the counters, one line for each source
    local cpu=0 rss=0 i metrics
    for i in $(seq 1 "$nodes"); do
      metrics=$(curl -fsS "http://$(address "n$i" http)/metrics")
      cpu=$(echo "$cpu + $(awk '$1=="mangospread_process_cpu_seconds_total"{print $2}' <<<"$metrics")" | bc)
      rss=$(echo "$rss + $(awk '$1=="mangospread_process_resident_bytes"{printf "%d", $2}' <<<"$metrics")" | bc)
    done
    echo "$cpu $rss"
    curl -fsS "http://$(address table http)/standin/record" | jq -r '"\(.reads) \(.transactions)"'
    curl -fsS "http://$(address wproxy control)/standin/record" | jq -c .
    curl -fsS "http://$(address rproxy control)/standin/record" | jq -c .
  }
  mapfile -t before < <(sample)
  sleep "$seconds"
  mapfile -t after < <(sample)
  bytes() { jq -n --argjson a "$1" --argjson b "$2" '[$b, $a] | map([.. | numbers] | add) | .[0] - .[1]' ; }
  awk -v n="$nodes" -v w="$workers" -v s="$seconds" -v a="${before[0]}" -v b="${after[0]}" -v ta="${before[1]}" -v tb="${after[1]}" 'BEGIN {
    split(a, x); split(b, y); split(ta, p); split(tb, q)
    printf "nodes=%d workers=%d cpu_all_nodes=%.3f%% of a core rss_per_node=%.1f MiB table_reads/s=%.1f table_transactions/s=%.2f\n",
      n, w, (y[1]-x[1])/s*100, y[2]/n/1048576, (q[1]-p[1])/s, (q[2]-p[2])/s }'
  echo "  worker link ${before[2]} -> ${after[2]} in ${seconds} s"
  echo "  node link ${before[3]} -> ${after[3]} in ${seconds} s"
  local pid
  for pid in $(jobs -rp); do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}

for cluster_size in "1 1" "1 20" "1 60" "1 120" "3 60" "6 60"; do
  # shellcheck disable=SC2086
  measure $cluster_size
done
