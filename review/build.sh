#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/, with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.cpp; do
  [ -e "$case" ] || continue
  name="$(basename "$(dirname "$case")")"
  g++ -std=c++20 -O1 -pthread -o "target/review/case-$name" "$case"
done
