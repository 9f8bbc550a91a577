#!/usr/bin/env bash
# Builds with a sanitizer and runs the unit tests and one system test with it.
# Usage: scripts/sanitize.sh address,undefined|thread
set -euo pipefail
cd "$(dirname "$0")/.."
sanitizer=$1
folder=build-${sanitizer%%,*}
scripts/install-dependencies.sh
# Only what is run, with little optimization and several sources at once: the builds would take longer
# than the tests.
cmake -S . -B "$folder" -G Ninja -DDOCKPOINT_SANITIZE="$sanitizer" -DCMAKE_UNITY_BUILD=ON \
  -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O1 -g1" >/dev/null
ninja -C "$folder" dockpoint-tests dockpointd dockpoint-emulator
export TSAN_OPTIONS="halt_on_error=1:suppressions=$PWD/scripts/tsan-suppressions.txt"
export ASAN_OPTIONS="detect_leaks=0"
export UBSAN_OPTIONS="halt_on_error=1:print_stacktrace=1"
scripts/run-unit-tests.sh "$folder" --report_level=short
(cd tests/system && npm ci --no-audit --no-fund --silent)
scripts/with-test-ports.sh env DOCKPOINT_BINARIES="$PWD/$folder" \
  node --test --test-reporter=spec tests/system/openai_client.test.mjs
