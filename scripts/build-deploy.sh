#!/usr/bin/env bash
# Builds as the deploy file says, in a folder of its own and with warnings as errors, and asks the
# program to refuse a settings file. Usage: scripts/build-deploy.sh
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
cmake -S . -B build-deploy -G Ninja -DCMAKE_BUILD_TYPE=Release -DDOCKPOINT_PLATFORM_ONLY=ON \
  -DDOCKPOINT_WERROR=ON >/dev/null
ninja -C build-deploy dockpoint-platform
build-deploy/dockpoint-platform --help
status=0
build-deploy/dockpoint-platform --settings deploy/system.toml --check || status=$?
[ "$status" = 3 ]
