#!/usr/bin/env bash
# Runs case 10 against target/mangospread; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mangospread ] && [ -x target/review-2/case10 ] || exit 2
exec target/review-2/case10
