#!/usr/bin/env bash
# Builds the drivers of the second review's cases, with their stand-ins, into target/review-2/.
# Needs the build of the deploy file. Usage: review/build-2.sh
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Iinclude -Isrc -I. -Itests -DSPDLOG_FMT_EXTERNAL -DDOCKPOINT_VERSION='"review"')
libs=(target/libdockpoint_platform.a target/libdockpoint_gateway.a target/libdockpoint_core.a
  -lPocoNet -lPocoJSON -lPocoFoundation -lspdlog -lfmt -lprometheus-cpp-core -lxxhash -lpthread)
g++ "${flags[@]}" -c src/emulator/memory_log.cpp -o "$out/memory_log.o"
for driver in review/[4-8]/driver.cpp; do
  [ -e "$driver" ] || continue
  number=$(basename "$(dirname "$driver")")
  g++ "${flags[@]}" -Ireview "$driver" "$out/memory_log.o" "${libs[@]}" -o "$out/case-$number" &
done
for job in $(jobs -p); do
  wait "$job"
done
