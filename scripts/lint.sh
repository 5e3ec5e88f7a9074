#!/usr/bin/env bash
# Runs clang-tidy on all sources. Skips a source that has already passed with
# the same content, included project headers and clang-tidy configuration.
# usage: lint.sh [build] [jobs]
set -euo pipefail
build=${1:-build}
jobs=${2:-3}
cache=${XDG_CACHE_HOME:-$HOME/.cache}/mangospread-tidy
mkdir -p "$cache"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# nlohmann::json::dump() throws on invalid UTF-8, which external input may
# contain.
if git grep -n '\.dump()' -- 'src/*.cc' 'platform/*.cc'; then
  echo "error: use base::DumpJson instead of dump()"
  exit 1
fi

# Writes one line per source: its path, then the project headers that it
# includes according to the dependencies recorded by the compiler.
root=$(pwd)
ninja -C "$build" -t deps | awk -v root="$root/" '
  function flush() { if (source != "") print source headers }
  /^[^ ].*: #deps/ { flush(); source = ""; headers = ""; next }
  /^ / {
    path = $1
    if (index(path, root) == 1) path = substr(path, length(root) + 1)
    while (sub(/^\.\.\//, "", path)) {}
    if (path !~ /^(include|src|platform|standin|tests)\//) next
    if (path ~ /\.cc$/) source = path; else headers = headers " " path
  }
  END { flush() }' | sort -u >"$work/deps"

check_one() {  # build, cache, line of deps
  local build=$1 cache=$2 line=$3 source key
  source=${line%% *}
  # shellcheck disable=SC2086
  key=$(cat .clang-tidy $line | sha256sum | cut -c1-40)
  [ -e "$cache/$key" ] && return 0
  if clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option \
    -p "$build" "$source" 2>/dev/null; then
    touch "$cache/$key"
  else
    echo "clang-tidy failed: $source"
    return 1
  fi
}
export -f check_one

git ls-files -co --exclude-standard '*.cc' | sort -u >"$work/sources"
while read -r source; do
  [ -e "$source" ] || continue
  line=$(grep -m1 "^$source\( \|$\)" "$work/deps" || echo "$source")
  printf '%s\n' "$line"
done <"$work/sources" |
  xargs -P "$jobs" -d '\n' -n1 bash -c 'check_one "$1" "$2" "$3"' _ \
    "$build" "$cache"
echo "clang-tidy: all sources clean"
