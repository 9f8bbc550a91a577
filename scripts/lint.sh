#!/usr/bin/env bash
# Checks formatting and runs the linter. Usage: scripts/lint.sh
#
# The linter reads one unified source a folder, or a few: most of its time goes into headers, which it
# then reads once a unified source in place of once a file. The static analyzer takes the files that a
# source whose name begins with UnifiedSource includes as if they stood in it.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
mapfile -t all < <(git ls-files 'include/*.hpp' 'src/*.[ch]pp' 'apps/*.cpp' 'platform/*.[ch]pp' 'tests/*.[ch]pp')
scripts/check-words.sh
scripts/check-names.sh
clang-format --dry-run -Werror "${all[@]}"
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null

unified=build-lint/unified
rm -rf "$unified"
mkdir -p "$unified"
# Longer folders are split, so that the largest one does not run alone at the end.
max_lines=1500
previous=
git ls-files 'src/*.cpp' 'platform/*.cpp' | while read -r source; do
  folder=$(dirname "$source")
  length=$(wc -l <"$source")
  if [ "$folder" != "$previous" ]; then
    part=1
    lines=0
  elif ((lines + length > max_lines)); then
    part=$((part + 1))
    lines=0
  fi
  previous=$folder
  lines=$((lines + length))
  echo "#include \"$PWD/$source\"  // NOLINT(bugprone-suspicious-include)" >>"$unified/UnifiedSource-${folder//\//-}-$part.cpp"
done
# Programs have a main each, and stand alone.
git ls-files 'apps/*.cpp' | while read -r source; do
  echo "#include \"$PWD/$source\"  // NOLINT(bugprone-suspicious-include)" >"$unified/UnifiedSource-$(basename "$source")"
done
flags=(-std=c++20 -Iinclude -Isrc -I. -Iplatform -DDOCKPOINT_VERSION='"lint"' -DSPDLOG_FMT_EXTERNAL
  -DSPDLOG_COMPILED_LIB -DPOCO_NO_AUTOMATIC_LIBS -Wall -Wextra -Wpedantic -Wshadow)
# The largest first, so that none is left to run alone at the end.
find "$unified" -name '*.cpp' -printf '%s %p\n' | sort -rn | cut -d' ' -f2 |
  xargs -P "$(nproc)" -I{} clang-tidy --quiet {} -- "${flags[@]}"
# One check looks at the main file alone.
git grep -lE '^ *using [A-Za-z_:]+::[A-Za-z_]+;' -- 'src/*.cpp' 'apps/*.cpp' 'platform/*.cpp' |
  xargs -P "$(nproc)" -I{} clang-tidy --quiet --checks=-*,misc-unused-using-decls {} -- "${flags[@]}"
