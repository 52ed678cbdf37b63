#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review/world3 ./review/world3
