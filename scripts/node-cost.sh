#!/usr/bin/env bash
# Measures what a sub-request costs a running node, at fan-outs of 4, 25 and
# 220: processor time, allocations and bytes, from the node's own metrics, and
# the line through the three points. Loopback only; ends by itself.
# Usage: scripts/node-cost.sh [SECONDS PER FAN-OUT]
set -euo pipefail
cd "$(dirname "$0")/.."

seconds="${1:-10}"
# Sub-requests a second, the same at each fan-out.
rate="${BRAMBLEMAST_COST_RATE:-4400}"
directory="$(mktemp -d)"
processes=()
cleanup() {
  for process in "${processes[@]}"; do kill "$process" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$directory"
}
trap cleanup EXIT

for parts in 4 25 220; do
  cat >"$directory/fanout$parts.yaml" <<TEMPLATE
tenant: cost
name: fanout$parts
service: fanout$parts
class: interactive
deadline: 2s
limit: 20
policies: {hedge: {policy: none}, stop: {policy: all}, admission: {policy: unlimited}}
TEMPLATE
done

bin/bramblemast-lab standin run examples/deployments/fanout.yaml --log-level error --addresses "$directory/addresses.json" \
  --store 127.0.0.1:19500 --machine-list 127.0.0.1:19600 &
processes+=($!)
templates="$directory/fanout4.yaml,$directory/fanout25.yaml,$directory/fanout220.yaml"
bin/bramblemastd --name cost --zone oslo --region norway --listen-callers 127.0.0.1:19480 --listen-operators 127.0.0.1:19481 \
  --listen-peers 127.0.0.1:19482 --store http://127.0.0.1:19500 --machine-list http://127.0.0.1:19600/targets \
  --set templates.files="$templates" --set log.level=error --set backends.probe_interval=10s &
processes+=($!)
until curl -sf -o /dev/null http://127.0.0.1:19480/readyz; do sleep 0.2; done
sleep 5 # the first probes of all servers

# sample prints processor seconds, allocations, allocated bytes and sub-requests.
sample() {
  curl -s http://127.0.0.1:19481/metrics | awk '
    /^process_cpu_seconds_total/ {cpu = $2}
    /^go_memstats_mallocs_total/ {mallocs = $2}
    /^go_memstats_alloc_bytes_total/ {bytes = $2}
    /^bramblemast_subrequests_total/ {subrequests += $2}
    END {printf "%.6f %.0f %.0f %.0f\n", cpu, mallocs, bytes, subrequests}'
}

for parts in 4 25 220; do
  queries="$(awk -v rate="$rate" -v parts="$parts" 'BEGIN {print rate / parts}')"
  bin/bramblemast-lab load --target 127.0.0.1:19480 --template "cost/fanout$parts" --rate "$queries" --duration 2s --arrivals constant --limit 20 >/dev/null 2>&1
  before="$(sample)"
  bin/bramblemast-lab load --target 127.0.0.1:19480 --template "cost/fanout$parts" --rate "$queries" --duration "${seconds}s" \
    --arrivals constant --limit 20 --output json >"$directory/load$parts.json" 2>/dev/null
  after="$(sample)"
  echo "$parts $queries $seconds $before $after"
done | awk '
  {
    parts = $1; queries = $2 * $3; sub_requests = $11 - $7
    cpu = ($8 - $4) * 1e6 / queries
    printf "fan-out %3d: %6.0f sub-requests/s, for each sub-request %5.1f us of processor time, %5.1f allocations, %6.0f bytes; %4.1f sub-requests for each query\n",
      parts, sub_requests / $3, ($8 - $4) * 1e6 / sub_requests, ($9 - $5) / sub_requests, ($10 - $6) / sub_requests, sub_requests / queries
    n++; sx += parts; sy += cpu; sxx += parts * parts; sxy += parts * cpu
  }
  END {
    slope = (n * sxy - sx * sy) / (n * sxx - sx * sx)
    printf "line: %.0f us for each query and %.1f us for each sub-request\n", (sy - slope * sx) / n, slope
  }'
