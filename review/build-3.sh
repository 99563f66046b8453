#!/usr/bin/env bash
# Builds the stand-ins of the third review, after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/third"
GOWORK=off go build -buildvcs=false -o ../../target/review-third .
