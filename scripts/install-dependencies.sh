#!/usr/bin/env bash
# Installs what the build needs and unpacks the msgpack-c headers beside Boost 1.81.
#
# Debian's libmsgpack-cxx-dev depends on Boost 1.74, which conflicts with libboost1.81-dev. The
# headers themselves work with 1.81, so they are unpacked into .deps/ instead of being installed.
set -euo pipefail
cd "$(dirname "$0")/.."

packages=(g++ cmake ninja-build ccache libpoco-dev libspdlog-dev libfmt-dev libboost1.81-dev
  libboost-test1.81-dev prometheus-cpp-dev libxxhash-dev clang-format clang-tidy curl nodejs)
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

if [ ! -f .deps/usr/include/msgpack.hpp ]; then
  mkdir -p .deps/download
  if ! (cd .deps/download && apt-get download -q libmsgpack-cxx-dev); then
    ${sudo:-} apt-get update -q
    (cd .deps/download && apt-get download -q libmsgpack-cxx-dev)
  fi
  dpkg-deb -x .deps/download/libmsgpack-cxx-dev_*.deb .deps
  rm -rf .deps/download
fi
