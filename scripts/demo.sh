#!/usr/bin/env bash
# Demonstrates the program on this machine. Starts three nodes in three data
# centres with stand-ins for the table, the VM list and two workers, and shows a
# service, a job, requests, a watch and a graceful stop. Then starts two managed
# nodes with the platform's stand-in and shows a submission.
# usage: demo.sh [build]
set -euo pipefail
build=${1:-build}
logs=$(mktemp -d)
declare -A pids=()

# Ends only what still runs: the id of a process that has ended may be that of
# another one by now.
cleanup() {
  for pid in $(jobs -rp); do kill "$pid" 2>/dev/null || true; done
}
trap cleanup EXIT

standin() {  # name, arguments...
  local name=$1
  shift
  "$build/mangospread-standin" "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
  pids[$name]=$!
}

node() {  # name, data centre, ip
  "$build/mangospread" serve --node "$1" --data-center "$2" \
    --http-listen "$3:18080" --rpc-listen "$3:18081" \
    --seeds 127.0.0.1:18081,127.0.0.2:18081,127.0.0.3:18081 \
    --table 127.0.0.1:18000 --vm-list 127.0.0.1:18001 \
    >"$logs/$1.out" 2>"$logs/$1.log" &
  pids[$1]=$!
}

wait_for() {  # description, command...
  local description=$1
  shift
  for _ in $(seq 1 200); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "timed out waiting for: $description (logs in $logs)" >&2
  exit 1
}

echo "== starting stand-ins and three nodes (logs in $logs)"
standin table table --listen 127.0.0.1:18000
standin vm-list vm-list --listen 127.0.0.1:18001
standin worker-1 worker --listen 127.0.0.1:18101
standin worker-2 worker --listen 127.0.0.1:18102
wait_for "VM list" curl -fsS -X PUT http://127.0.0.1:18001/standin/vms -d '{"vms":[
  {"name":"vm-1","address":"127.0.0.1:18101","data_center":"dc-a","rack":"r1","pool":"counter","state":"live"},
  {"name":"vm-2","address":"127.0.0.1:18102","data_center":"dc-b","rack":"r2","pool":"counter","state":"live"}]}'
node node-a dc-a 127.0.0.1
node node-b dc-b 127.0.0.2
node node-c dc-c 127.0.0.3
for ip in 127.0.0.1 127.0.0.2 127.0.0.3; do
  wait_for "node at $ip" curl -fsS "http://$ip:18080/healthz"
done

echo "== watching changes at node-b"
curl -sN http://127.0.0.2:18080/v1/watch >"$logs/watch.out" &
pids[watch]=$!

echo "== creating a service and a job at node-a"
curl -fsS -X PUT http://127.0.0.1:18080/v1/resources/service/coverage \
  -d '{"team":"branches","pool":"counter","timeout_ms":2000}'
curl -fsS -X PUT http://127.0.0.1:18080/v1/resources/job/reconcile \
  -d '{"team":"night","tasks":4,"run_time_ms":500}'

echo "== requests through every node"
for ip in 127.0.0.1 127.0.0.2 127.0.0.3; do
  wait_for "a successful request at $ip" \
    curl -fsS "http://$ip:18080/svc/coverage/plan/7"
  curl -sS -D - -o /dev/null "http://$ip:18080/svc/coverage/plan/7" |
    grep -E 'HTTP|Mangospread-Outcome'
done

echo "== configuration in force"
curl -fsS http://127.0.0.3:18080/v1/status/config
echo "== changes reported by the watch"
grep -v heartbeat "$logs/watch.out"

echo "== graceful stop"
for name in node-a node-b node-c; do
  kill -TERM "${pids[$name]}"
done
for name in node-a node-b node-c; do
  status=0
  wait "${pids[$name]}" || status=$?
  unset "pids[$name]"
  echo "$name exit status $status"
  [ "$status" = 0 ]
done
echo "== starting the platform's stand-in and two managed nodes"
standin site site --listen 127.0.0.1:18200
for i in 1 2; do
  cat >"$logs/managed-$i.toml" <<SETTINGS
node = "managed-$i"
ip = "127.0.0.$i"
zone = "dc"
port-range = [18201, 18201]
[listen]
front = "127.0.0.$i:18202"
ready = "127.0.0.$i:18203"
[platform]
addr = "127.0.0.1:18200"
SETTINGS
  "$build/mangospread" serve --managed --settings "$logs/managed-$i.toml" \
    >"$logs/managed-$i.out" 2>"$logs/managed-$i.log" &
  pids[managed-$i]=$!
done
for i in 1 2; do
  wait_for "managed-$i" curl -fsS "http://127.0.0.$i:18203/mangospread/ready"
done
submission=http://127.0.0.1:18202/jobs/00000000000000aa
curl -fsS -H 'Host: jobs.example' "$submission" \
  -d '{"spec":"300","steps":[{"count":4,"cpu":1000,"mem-mb":10,"estimate-ms":300}]}'
wait_for "completion of the submission" sh -c \
  "curl -fsS -H 'Host: jobs.example' $submission | grep -q complete"
curl -fsS -H 'Host: jobs.example' "${submission/127.0.0.1/127.0.0.2}"
sleep 0.5
cat "$logs"/managed-*.out | "$build/mangospread" explain-log 00000000000000aa

echo "== done"
