#!/usr/bin/env bash
# Installs what is missing and builds. Usage: scripts/build.sh [FOLDER] [CMAKE OPTION ...]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
folder=${1:-build}
shift || true
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
ninja -C "$folder"
