#!/usr/bin/env bash
# Builds the programs and runs the whole path on loopback: 3 control members, 6 entries,
# 12 fake upstreams. Sends requests one can see, then runs until Ctrl-C (or for the number
# of seconds given as the first argument), and leaves nothing behind.
set -euo pipefail
cd "$(dirname "$0")"
seconds="${1:-0}"
folder="$(mktemp -d)"
processes=()

finish() {
  trap - EXIT INT TERM
  echo "stopping"
  for p in "${processes[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
  for p in "${processes[@]}"; do wait "$p" 2>/dev/null || true; done
  rm -rf "$folder"
  echo "stopped; nothing is left behind"
}
trap finish EXIT
trap 'exit 0' INT TERM

start() { # name, command...
  local name="$1"; shift
  setsid "$@" >"$folder/$name.out" 2>"$folder/$name.log" &
  processes+=("$!")
}

echo "building"
go build -o "$folder/filberthoist-control" ./control/cmd/filberthoist-control
go build -o "$folder/filberthoist-entry" ./entry/cmd/filberthoist-entry
go build -o "$folder/filberthoist" ./cli/cmd/filberthoist
go build -o "$folder/bench" ./bench

regions=(cairo alexandria aswan)
controls=127.0.0.1:17100,127.0.0.1:17110,127.0.0.1:17120
for i in 0 1 2; do
  peers=""
  for j in 0 1 2; do
    if [ "$i" != "$j" ]; then peers="$peers${peers:+, }127.0.0.1:171${j}0"; fi
  done
  cat >"$folder/control$i.ini" <<END
[member]
name = control$i
region = ${regions[$i]}
availabilityZone = ${regions[$i]}1
[listen]
peer = 127.0.0.1:171${i}0
administration = 127.0.0.1:171${i}1
report = 127.0.0.1:171${i}2
[storage]
folder = $folder/control$i
[peers]
addresses = $peers
END
  start "control$i" "$folder/filberthoist-control" --settings "$folder/control$i.ini"
done
for i in 0 1 2 3 4 5; do
  region="${regions[$((i % 3))]}"
  cat >"$folder/entry$i.ini" <<END
[member]
name = entry$i
region = $region
availabilityZone = $region$((1 + i / 3))
[listen]
callers = 127.0.0.1:172${i}0
peer = 127.0.0.1:172${i}1
report = 127.0.0.1:172${i}2
[control]
addresses = ${controls//,/, }
END
  start "entry$i" "$folder/filberthoist-entry" --settings "$folder/entry$i.ini"
done
start upstreams "$folder/bench" upstreams --text examples/demo/text.ini

export FILBERTHOIST_CONTROL=127.0.0.1:17101,127.0.0.1:17111,127.0.0.1:17121
for _ in $(seq 50); do
  if "$folder/filberthoist" members bootstrap 2>"$folder/bootstrap.log"; then break; fi
  sleep 0.2
done
"$folder/filberthoist" apply examples/demo/text.ini --wait
"$folder/filberthoist" status
echo
echo "look-up:"
curl -s "http://127.0.0.1:17200/filberthoist/lookup?service=lampViewing" || true
echo "one request with a key:"
curl -si -H "Filberthoist-Key: example-key-landlords" http://127.0.0.1:17200/lamps/7 || true
echo "one without:"
curl -si http://127.0.0.1:17200/lamps/7 || true
echo
echo "load: 100 look-ups of lamps per second for 5 s, each answer checked"
"$folder/bench" load --lookup 127.0.0.1:17200,127.0.0.1:17210 --service lampViewing \
  --path /lamps/7 --key example-key-landlords --rate 100 --duration 5s
echo "load: 20 charges per second for 3 s"
"$folder/bench" load --lookup 127.0.0.1:17200,127.0.0.1:17210 --service billing \
  --method POST --path /charges/7 --body 12.50 --key example-key-landlords --rate 20 --duration 3s
echo
echo "running; logs are in $folder, Ctrl-C ends it"
echo "try: export FILBERTHOIST_CONTROL=$FILBERTHOIST_CONTROL"
echo "     go run ./cli/cmd/filberthoist status"
if [ "$seconds" != 0 ]; then sleep "$seconds"; exit 0; fi
while true; do sleep 1; done
