#!/usr/bin/env bash
# Plays the case "stream-run-and-refused" with the deployed program; TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/knapweedproxyd
standin=target/review-2/standin-2
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
  echo "build the program and run review/build-2.sh first" >&2
  exit 2
fi
exec "$standin" stream-run-and-refused "$program" review/7/record.txt
