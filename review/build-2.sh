#!/usr/bin/env bash
# Builds what the scripts of the cases 4 to 8 start, beside the daemon, which the build of
# the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig ./review/rig
