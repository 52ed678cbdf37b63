#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 9, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-world2 ./review/world2
