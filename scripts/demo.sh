#!/usr/bin/env bash
# Installs what is missing, builds, and runs the whole system once on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build
exec node scripts/demo.mjs
