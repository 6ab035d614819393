#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/cases
