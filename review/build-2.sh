#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. It needs Go only, and no network after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2/stage ./review/stage/platform
