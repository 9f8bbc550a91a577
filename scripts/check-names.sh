#!/usr/bin/env bash
# Fails if two headers define a class of the same name in the same namespace: the linker would take one
# of them for both. Usage: scripts/check-names.sh
set -euo pipefail
cd "$(dirname "$0")/.."
twice=$(git ls-files 'include/*.hpp' 'src/*.hpp' 'platform/*.hpp' | xargs awk '
  FNR == 1 { space = "" }
  space == "" && /^namespace [a-z:]+ \{/ { space = $2 }
  /^(class|struct) [A-Za-z]+ *(:|\{|final|$)/ { print space "::" $2 }' | sed 's/:*$//' | sort | uniq -d)
if [ -n "$twice" ]; then
  echo "defined in more than one header: $twice" >&2
  exit 1
fi
echo "no class is defined in two headers"
