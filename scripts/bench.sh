#!/usr/bin/env bash
# Runs all benchmarks. Figures go to docs/measurements.md.
set -euo pipefail
build=${1:-build}
./scripts/bench_requests.sh "$build"
for bench in "$build"/tests/*_bench; do
  if [ -x "$bench" ]; then "$bench"; fi
done
