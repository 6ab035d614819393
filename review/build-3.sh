#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripts of this review. Needs the build of the deploy file for target/siskind.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3 ./review/rig3/platform
