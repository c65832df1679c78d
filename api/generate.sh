#!/usr/bin/env bash
# Regenerates the committed Go code from the .proto files. Needs protoc,
# protoc-gen-go and protoc-gen-go-grpc on the PATH.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I . \
  --go_out=. --go_opt=module=github.com/guavarill/guavarill \
  --go-grpc_out=. --go-grpc_opt=module=github.com/guavarill/guavarill \
  $(find api -name '*.proto' | sort)
