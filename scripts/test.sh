#!/usr/bin/env bash
# Runs the tests with fixed seeds. Test flags are only known to packages that
# import the library that defines them, so packages are grouped by that.
# Usage: scripts/test.sh [go test flags] -- packages...
set -euo pipefail

seed="${BRAMBLEMAST_TEST_SEED:-1}"
flags=()
# All patterns to skip go into one flag, since go test takes the last -skip only.
skipped=()
while [ $# -gt 0 ] && [ "$1" != "--" ]; do
  if [ "$1" = "-skip" ]; then
    shift
    skipped+=("$1")
  else
    flags+=("$1")
  fi
  shift
done
[ $# -gt 0 ] && shift

# Tests that KNOWN-RED.txt names, one "Name: what was seen; issue" a line, are passed over
# and printed. A name that begins with "spec " is the end of a Ginkgo spec's full text.
known_red="$(dirname "$0")/../KNOWN-RED.txt"
ginkgo_flags=(-ginkgo.seed="$seed")
if [ -s "$known_red" ]; then
  echo "known to fail, passed over:"
  cat "$known_red"
  names="$(cut -d: -f1 "$known_red" | grep -v '^spec ' | paste -sd'|' || true)"
  specs="$(cut -d: -f1 "$known_red" | sed -n 's/^spec //p' | paste -sd'|')"
  if [ -n "$names" ]; then
    skipped+=("^($names)\$")
  fi
  if [ -n "$specs" ]; then
    ginkgo_flags+=(-ginkgo.skip "($specs)\$")
  fi
fi
if [ ${#skipped[@]} -gt 0 ]; then
  flags+=(-skip "$(IFS='|'; echo "${skipped[*]}")")
fi

listing='{{.ImportPath}} {{join .TestImports ","}},{{join .XTestImports ","}}'
packages="$(go list -f "$listing" "${@:-./...}")"

# group REGEX_WANTED REGEX_UNWANTED: the packages whose tests import the one
# and not the other.
group() {
  awk -v wanted="$1" -v unwanted="$2" '$2 ~ wanted && (unwanted == "" || $2 !~ unwanted) {print $1}' <<<"$packages"
}

status=0
run() {
  local names="$1"
  shift
  [ -z "$names" ] && return 0
  # shellcheck disable=SC2086
  go test ${flags[@]+"${flags[@]}"} $names "$@" || status=1
}

both="$(awk '$2 ~ /ginkgo/ && $2 ~ /rapid/ {print $1}' <<<"$packages")"
run "$both" "${ginkgo_flags[@]}" -rapid.seed="$seed" -rapid.nofailfile
run "$(group ginkgo rapid)" "${ginkgo_flags[@]}"
run "$(group rapid ginkgo)" -rapid.seed="$seed" -rapid.nofailfile
run "$(awk '$2 !~ /ginkgo|rapid/ && $2 != "," {print $1}' <<<"$packages")"
exit "$status"
