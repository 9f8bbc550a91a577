#!/usr/bin/env bash
# Checks formatting and runs the linter. Usage: scripts/lint.sh
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
mapfile -t all < <(git ls-files 'include/*.hpp' 'src/*.[ch]pp' 'apps/*.cpp' 'platform/*.[ch]pp' 'tests/*.[ch]pp')
scripts/check-words.sh
clang-format --dry-run -Werror "${all[@]}"
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
sed -i 's/ -fpch-preprocess//g' build-lint/compile_commands.json
git ls-files 'src/*.cpp' 'apps/*.cpp' 'platform/*.cpp' | xargs -P "$(nproc)" -n 4 clang-tidy -p build-lint --quiet
