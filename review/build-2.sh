#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/ ./review/stand-2
