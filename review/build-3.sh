#!/usr/bin/env bash
# Builds the stand-in that the scripts of the third review start, into target/review-3. The
# programs of the system are built by the line in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/standin-3 review/standin-3/*.go
