#!/usr/bin/env bash
# Installs what the build needs from Debian's packages; nothing is downloaded otherwise.
set -euo pipefail
cd "$(dirname "$0")/.."

packages=(g++ cmake ninja-build ccache libpoco-dev libspdlog-dev libfmt-dev libboost1.81-dev
  libboost-test1.81-dev nlohmann-json3-dev prometheus-cpp-dev libxxhash-dev clang-format clang-tidy curl nodejs)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' && continue
  # Node.js may be present without a Debian package.
  [ "$package" = nodejs ] && command -v node >/dev/null && continue
  missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  sudo=""
  [ "$(id -u)" = 0 ] || sudo=sudo
  $sudo apt-get update -q
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -q -y --no-install-recommends "${missing[@]}"
fi
