#!/usr/bin/env bash
# Runs every native fuzz target for the given time, then the stateful tests
# with many checks and a fresh seed, which rapid prints on a failure.
set -euo pipefail

fuzztime="${1:-30s}"
checks="${BRAMBLEMAST_FUZZ_CHECKS:-5000}"

grep -rln --include='*_test.go' '^func Fuzz' . | xargs -r -n1 dirname | sort -u | while read -r directory; do
  for target in $(grep -hoE '^func Fuzz[A-Za-z0-9_]+' "$directory"/*_test.go | sed 's/^func //'); do
    echo "fuzz $directory $target"
    go test -run '^$' -fuzz "^${target}\$" -fuzztime "$fuzztime" "$directory"
  done
done

for package in $(go list -f '{{.ImportPath}} {{join .TestImports ","}},{{join .XTestImports ","}}' ./... | awk '$2 ~ /rapid/ {print $1}'); do
  echo "stateful $package"
  go test -count=1 -timeout 2h "$package" -rapid.checks="$checks"
done
