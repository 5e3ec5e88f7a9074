#!/usr/bin/env bash
# Runs all benchmarks. Their results are recorded in docs/measurements.md.
# usage: bench.sh [build]
set -euo pipefail
build=${1:-build}
./scripts/bench_requests.sh "$build"
for bench in "$build"/tests/*_bench; do
  if [ -x "$bench" ]; then "$bench"; fi
done
