#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The deployed program is built by the line of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-standin ./review/standin
