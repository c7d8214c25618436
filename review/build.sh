#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin review/standin/*.go
