#!/usr/bin/env bash
# Builds the daemon, as the deploy file does, and the programs of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/ ./cmd/guavarill-platform
for case in review/[0-9]*; do
  if [ -e "$case/main.go" ]; then
    go build -o "target/review-${case##*/}" "./$case"
  fi
done
