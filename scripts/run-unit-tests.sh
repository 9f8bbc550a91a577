#!/usr/bin/env bash
# Runs the unit tests of a build folder, except those in KNOWN-RED.txt: first the suites that open no
# sockets, as many at once as there are cores, then all others in one process, since they use fixed ports.
# Usage: scripts/run-unit-tests.sh FOLDER [ARGUMENTS OF THE TEST PROGRAM...]
set -uo pipefail
cd "$(dirname "$0")/.."
export TEST_PROGRAM=$1/dockpoint-tests
shift
. scripts/known-red.sh

suites_in() {
  local folder
  for folder in "$@"; do
    grep -hoP 'BOOST_(AUTO|FIXTURE)_TEST_SUITE\(\s*\K\w+' tests/"$folder"/*_test.cpp
  done | sort -u
}
without_sockets=(admission batch core docs emulator log membership routing simulation streaming)
mapfile -t others < <(find tests -mindepth 2 -maxdepth 2 -name '*_test.cpp' -printf '%h\n' | sort -u |
  sed 's|^tests/||' | grep -vxF "$(printf '%s\n' "${without_sockets[@]}")")
mapfile -t suites < <(comm -23 <(suites_in "${without_sockets[@]}") <(suites_in "${others[@]}"))

# Prints the output of a suite as a whole, so that outputs do not mix.
run_suite() {
  local output status
  output=$("$TEST_PROGRAM" --run_test="$1" "${@:2}" 2>&1)
  status=$?
  printf '== suite %s\n%s\n' "$1" "$output"
  return "$status"
}
export -f run_suite
failures=0
printf '%s\n' "${suites[@]}" |
  xargs -P "$(nproc)" -I{} bash -c 'run_suite "$@"' run_suite {} "${without_known_red[@]}" "$@" ||
  failures=$((failures + 1))
echo "== suites that open sockets"
scripts/with-test-ports.sh "$TEST_PROGRAM" "${suites[@]/#/--run_test=!}" "${without_known_red[@]}" "$@" ||
  failures=$((failures + 1))
[ "$failures" = 0 ]
