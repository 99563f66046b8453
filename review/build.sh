#!/usr/bin/env bash
# Builds the stand-ins of all scripts into review/bin. It needs Go alone, and no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go build -o ../bin/standin .
