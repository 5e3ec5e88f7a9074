#!/usr/bin/env bash
# Hunts for broken rules on a site and keeps the logs of every day that breaks
# one: such a day is played again with the logs of all nodes, and the output is
# stored in journal/logs. The second play may not show the failure, since
# processor time is measured and differs from play to play; a line for each day
# says which rules the second play broke. Exits with 1 if a day of the hunt
# broke a rule, with 2 if the hunt or a second play did not run.
# usage: hunt_with_logs.sh BENCH SITE DAYS [bench option...]
#        hunt_with_logs.sh BENCH SITE ENTRY [bench option...]
# BENCH is the bench's program, SITE a site file, DAYS the length of the hunt.
# With ENTRY, the journal file of a former hunt, nothing is hunted and only the
# broken days of that entry are played. The options (--jobs, --no-cpu, --why)
# apply to the hunt and to the second plays.
set -euo pipefail
if [ $# -lt 3 ]; then
  sed -n 's/^# usage: /usage: /p' "$0" >&2
  exit 2
fi
bench=$(realpath "$1")
site=$(realpath "$2")
days=$3
former=""
[ ! -f "$days" ] || former=$(realpath "$days")
shift 3
options=("$@")
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

fail() {
  echo "hunt_with_logs.sh: $*" >&2
  exit 2
}

# Prints the journal files that are not in the list $1, one on a line.
entries_after() {
  find journal -maxdepth 1 -name '*.json' | sort | comm -13 "$1" -
}

# Prints the journal files that the command $2 left for this site since the list
# $1 was made, the newest last. Other plays may run in the same repository, so
# the arguments are compared too, which an entry holds without the folder of the
# site file.
entry_of() {
  local known=$1 command=$2 entry arguments
  shift 2
  arguments=$(printf '%s\n' "$@" | jq -Rn '[inputs]')
  entries_after "$known" | while read -r entry; do
    if jq -e --arg command "$command" --argjson arguments "$arguments" \
      --arg site "$(basename "$site")" '.cmd == $command and
        (.argv[0] | endswith("/" + $site)) and .argv[1:] == $arguments' \
      "$entry" >/dev/null; then
      echo "$entry"
    fi
  done | tail -n 1
}

# Prints the rules that the day $2 of the entry $1 broke and how often, joined
# with "_"; "fault" for a day that did not run, "gate" for one that failed the
# gate for another reason, nothing for a day that passed.
broken_rules() {
  jq -r --argjson day "$2" '.days[$day] |
    [.rules // {} | to_entries[] | select(.value > 0) | "\(.key)\(.value)"] as $rules |
    if ($rules | length) > 0 then $rules | join("_")
    elif .fault != null then "fault"
    elif .gate == false then "gate"
    else "" end' "$1"
}

# Plays the day $2 of the entry $1 again and stores its output; $3 is what the
# day broke. The name of a day with a seed is the argument list of `run`; a day
# that the hunt composed has no seed and is played from its record in journal/.
# The log's name ends with the id of the second play's entry.
play_again() {
  local entry=$1 day=$2 rules=$3 name seed play arguments
  name=$(jq -r --argjson day "$day" '.days[$day].name' "$entry")
  seed=$(jq -r --argjson day "$day" '.days[$day].seed // empty' "$entry")
  if [ -n "$seed" ]; then
    play=run
    read -ra arguments <<<"$name"
  else
    play=replay
    arguments=("$name")
  fi
  arguments+=(--log all "${options[@]}")
  find journal -maxdepth 1 -name '*.json' | sort >"$scratch/known"
  local status=0 second id=not-run again file
  "$bench" "$play" "$site" "${arguments[@]}" >"$scratch/output" 2>&1 || status=$?
  second=$(entry_of "$scratch/known" "$play" "${arguments[@]}")
  if [ -n "$second" ] && [ "$(jq '.days | length' "$second")" -gt 0 ]; then
    id=$(jq -r .id "$second")
    again=$(broken_rules "$second" 0)
    again=${again:-no rule broken}
  else
    again="did not run (status $status)"
  fi
  file="$(basename "$site" .toml)_$(tr -cs 'A-Za-z0-9\n' - <<<"${name#deploy/days/}")"
  file="journal/logs/hunt_${file}_${rules}_$id.log.gz"
  mkdir -p journal/logs
  gzip -9n <"$scratch/output" >"$file" || fail "cannot write $file"
  echo "$name: $rules; second play: $again; log in $file"
  [ "$id" != not-run ]
}

if [ -n "$former" ]; then
  entry=$former
  # A day hunted without processor time is another day with it.
  if jq -e '.argv | index("--no-cpu")' "$entry" >/dev/null &&
    [[ " ${options[*]} " != *" --no-cpu "* ]]; then
    options+=(--no-cpu)
  fi
else
  find journal -maxdepth 1 -name '*.json' | sort >"$scratch/known"
  # The status says whether the gate passed; the entry says which days broke a
  # rule, so only a missing or empty entry is a failure here.
  "$bench" hunt "$site" --days "$days" "${options[@]}" || true
  entry=$(entry_of "$scratch/known" hunt --days "$days" "${options[@]}")
  [ -n "$entry" ] || fail "the hunt left no entry in journal/"
fi
count=$(jq '.days | length' "$entry")
[ "$count" -gt 0 ] || fail "$entry has no days"

broken=0
unplayed=0
for ((i = 0; i < count; i++)); do
  rules=$(broken_rules "$entry" "$i")
  [ -n "$rules" ] || continue
  broken=$((broken + 1))
  play_again "$entry" "$i" "$rules" || unplayed=$((unplayed + 1))
done
echo "$entry: $broken of $count days broke a rule, $unplayed of them did not run again"
[ "$unplayed" = 0 ] || exit 2
[ "$broken" = 0 ] || exit 1
