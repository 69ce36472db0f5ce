#!/usr/bin/env bash
# Builds the stand-ins of case 6, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin2 ./review/standin2
