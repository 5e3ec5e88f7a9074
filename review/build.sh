#!/usr/bin/env bash
# Builds the stand-ins of the cases, one program each, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread)
objects=()
for source in review/support/*.cc; do
  object=$out/$(basename "${source%.cc}").o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
wait
for source in review/[1-9]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case$number"
done
