#!/usr/bin/env bash
# Runs a command that uses the tests' fixed ports; runs of several checkouts on one machine take turns.
# Usage: scripts/with-test-ports.sh COMMAND...
set -euo pipefail
exec flock "${TMPDIR:-/tmp}/dockpoint-test-ports.lock" "$@"
