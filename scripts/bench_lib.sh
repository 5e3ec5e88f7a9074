# Functions for benchmark scripts, to be sourced: starts processes in the
# background and terminates them when the script exits.
# shellcheck shell=bash
logs=$(mktemp -d)
# Ends only what still runs: the id of a process that has ended may be that of
# another one by now.
cleanup() {
  for pid in $(jobs -rp); do kill "$pid" 2>/dev/null || true; done
}
trap cleanup EXIT

start() {  # name, command...
  local name=$1
  shift
  "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
}

address() {  # process name, field of its "listening" line
  local value=""
  for _ in $(seq 1 200); do
    value=$(sed -n "s/.*$2=\([0-9.:]*\).*/\1/p" "$logs/$1.out" | head -1)
    [ -n "$value" ] && break
    sleep 0.05
  done
  [ -n "$value" ] || { echo "$1 did not start (logs in $logs)" >&2; exit 1; }
  echo "$value"
}
