#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The deployed program comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-2/ ./review/standin-2
