#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
number=$(basename "$PWD")
timeout -k 2 110 ../../target/review/case"$number" ../../target/mangospread \
  record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
