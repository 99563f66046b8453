#!/usr/bin/env bash
# Regenerates the committed code from wire.proto; needs protoc and the two plugins on PATH.
set -euo pipefail
cd "$(dirname "$0")"
protoc --go_out=. --go_opt=paths=source_relative \
  --connect-go_out=. --connect-go_opt=paths=source_relative wire.proto
