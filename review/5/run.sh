#!/usr/bin/env bash
# Plays the scenario "writer": exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
set -u
cd "$(dirname "$0")/../.."
for program in target/knapweedproxyd target/review-standin; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-standin -record "review/5/record.txt" writer
