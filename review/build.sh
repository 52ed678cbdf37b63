#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the review. The program itself is built by the line of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -c -tags review -o target/review/world ./review/world
