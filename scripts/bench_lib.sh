# Starts processes for a benchmark and ends them with the script; sourced.
# shellcheck shell=bash
logs=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
}
trap cleanup EXIT

start() {  # name, command...
  local name=$1
  shift
  "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
  pids+=($!)
}

address() {  # process name, field of its "listening" line
  local text=""
  for _ in $(seq 1 200); do
    text=$(sed -n "s/.*$2=\([0-9.:]*\).*/\1/p" "$logs/$1.out" | head -1)
    [ -n "$text" ] && break
    sleep 0.05
  done
  [ -n "$text" ] || { echo "$1 did not start (logs in $logs)" >&2; exit 1; }
  echo "$text"
}
