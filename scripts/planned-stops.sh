#!/usr/bin/env bash
# Stops nodes as planned, one after the other, while callers go on asking all
# of them, and prints how the requests ended. One that was cut off has the
# outcome unknown. A connection that was refused is none: nothing was sent on
# it. Loopback only; ends by itself. Usage: scripts/planned-stops.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."

seconds="${1:-120}"
directory="$(mktemp -d)"
declare -A node_of
platform=""
cleanup() {
  for process in "${node_of[@]}" $platform; do kill -9 "$process" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$directory"
}
trap cleanup EXIT

zones=(oslo bergen trondheim)
templates="$(printf '%s,' examples/valgsok/*.yaml)"
start_node() {
  local index="$1"
  bin/bramblemastd --name "node-$index" --zone "${zones[$index]}" --region norway \
    --listen-callers "127.0.0.1:1948$index" --listen-operators "127.0.0.1:1958$index" --listen-peers "127.0.0.1:1968$index" \
    --seed 127.0.0.1:19680,127.0.0.1:19681,127.0.0.1:19682 --store http://127.0.0.1:19500 \
    --machine-list http://127.0.0.1:19600/targets --set templates.files="${templates%,}" --set log.level=warn \
    2>>"$directory/node-$index.log" &
  node_of[$index]=$!
}
wait_ready() { until curl -sf -o /dev/null "http://127.0.0.1:1948$1/readyz"; do sleep 0.05; done; }

bin/bramblemast-lab standin run --preset valgsok --log-level error --addresses "$directory/addresses.json" \
  --store 127.0.0.1:19500 --machine-list 127.0.0.1:19600 &
platform=$!
for index in 0 1 2; do start_node "$index"; done
for index in 0 1 2; do wait_ready "$index"; done
sleep 2

bin/bramblemast-lab load --target 127.0.0.1:19480 --target 127.0.0.1:19481 --target 127.0.0.1:19482 \
  --template valgsok/full-tally --template valgsok/ticker --rate 200 --duration "${seconds}s" --output json \
  --check examples/valgsok/full-tally.yaml --preset valgsok >"$directory/load.json" 2>"$directory/load.log" &
load=$!
sleep 1
bad_exits=0
done_stops=0
while kill -0 "$load" 2>/dev/null; do
  index=$((done_stops % 3))
  kill -TERM "${node_of[$index]}"
  wait "${node_of[$index]}" || bad_exits=$((bad_exits + 1))
  done_stops=$((done_stops + 1))
  start_node "$index"
  wait_ready "$index"
done
echo "planned stops: $done_stops, with an exit code other than 0: $bad_exits"
wait "$load"
grep -o '"outcome": *"[a-z_]*"\|"reason": *"[a-z_]*"\|"count": *[0-9]*' "$directory/load.json" | awk -F'"' '
  /outcome/ {outcome = $4; reason = ""}
  /reason/ {reason = " " $4}
  /count/ && outcome != "" {split($0, part, ":"); count[outcome reason] += part[2]; outcome = ""}
  END {for (key in count) printf "requests that ended %s: %d\n", key, count[key]}' | sort
cat "$directory"/node-*.log | grep -c '"@level":"error"' | sed 's/^/error lines in the logs of nodes: /' || true
cp "$directory/load.json" "${BRAMBLEMAST_OUTPUT:-/dev/null}"
