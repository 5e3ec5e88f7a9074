#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 11 to 15 into target/review-3.
# Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
${CXX:-g++} -std=c++20 -O1 -c review/support-3/world.cc -o target/review-3/world.o
for source in review/1[1-5]/case.cc; do
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++20 -O1 "$source" target/review-3/world.o -pthread \
    -o "target/review-3/case-$number"
done
