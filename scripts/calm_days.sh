#!/usr/bin/env bash
# Plays a day on a range of seeds and prints the mean, the tenth percentile and
# the minimum of the worths. Plays without a worth are listed and make the script
# fail.
# usage: calm_days.sh BENCH SITE_FILE DAY_FILE [FIRST_SEED [COUNT [PARALLEL]]]
# BENCH is the path of the bench's program; LOG_DIR keeps the logs.
set -euo pipefail
if [ $# -lt 3 ]; then
  sed -n 's/^# usage: /usage: /p' "$0" >&2
  exit 2
fi
bench=$1
site=$2
day=$3
first=${4:-90700}
count=${5:-40}
parallel=${6:-2}
logs=${LOG_DIR:-$(mktemp -d)}
mkdir -p "$logs"

play() {
  "$1" run "$2" "$3" --seed "$4" --jobs 1 --no-cpu --why "calm_days $4" \
    > "$5/$4.log" 2>&1 < /dev/null || true
}
export -f play
seq "$first" $((first + count - 1)) |
  xargs -P "$parallel" -I{} bash -c 'play "$@"' _ \
    "$bench" "$site" "$day" {} "$logs"

for ((seed = first; seed < first + count; seed++)); do
  worth=$(sed -nE 's/^worth ([0-9.]+).*/\1/p' "$logs/$seed.log" | head -n 1)
  echo "${worth:-none} $seed"
done | sort -n > "$logs/worths"
grep '^none' "$logs/worths" | sed 's/^none/no worth: seed/' || true
grep -v '^none' "$logs/worths" | awk '
  { sum += $1; worth[NR] = $1; seed[NR] = $2 }
  END {
    if (NR == 0) { print "no play has a worth"; exit }
    tenth = int((NR + 9) / 10)
    printf "plays %d mean %.3f tenth percentile %.3f minimum %.3f (seed %d)\n",
           NR, sum / NR, worth[tenth], worth[1], seed[1]
  }'
echo "logs in $logs"
! grep -q '^none' "$logs/worths"
