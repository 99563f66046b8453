#!/usr/bin/env bash
# Builds the stand-ins of the scripts of cases 6, 8 and 10 into target/, after the build line of deploy/system.toml.
# It needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/second"
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-second .
