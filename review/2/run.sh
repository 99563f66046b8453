#!/usr/bin/env bash
# Runs the case of this folder; review/build.sh and the build of the deploy file come first. Exit status: 1
# if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../standin ] || { echo "review/build.sh was not run"; exit 2; }
exec ../standin staleorder "$PWD/../.." "$PWD/record.txt"
