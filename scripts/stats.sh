#!/usr/bin/env bash
# Prints how much of the Go code is tests, and how much of the rest is routing,
# limits, retries, membership, state and recovery.
set -euo pipefail

count() { xargs -r cat | wc -l; }

code="$(git ls-files '*.go' | grep -v -e '_test\.go$' -e '\.pb\.go$' | count)"
tests="$(git ls-files '*_test.go' | count)"
core="$(git ls-files 'pkg/**/*.go' | grep -E '^pkg/(query|policy|limit|budget|admission|latency|catalog|rendezvous|membership|configsync|publish|claim|keyspace|directory|fanout|fleet|loadshed|owner|quarantine|quota|route)/' |
  grep -v -e '_test\.go$' -e '\.pb\.go$' | count)"

echo "Go code: $code lines, tests: $tests lines"
awk -v code="$code" -v tests="$tests" -v core="$core" 'BEGIN {
  printf "tests are %.1f%% of all code\n", 100 * tests / (code + tests)
  printf "routing, limits, retries, membership, state and recovery are %.1f%% of the code without tests (wanted: 25%% or more)\n", 100 * core / code
}'
