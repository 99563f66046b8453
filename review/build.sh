#!/usr/bin/env bash
# Builds the stand-ins of all scripts into the program review/standin. It needs Go alone, and no network.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go build -o standin .
