#!/usr/bin/env bash
# Fails if a word of the platform's interfaces stands outside platform/, its tests and deploy/.
# Usage: scripts/check-words.sh
set -euo pipefail
cd "$(dirname "$0")/.."
words='Attempt-Id|Token-Usage|Prompt-Prefix|Deadline-Ms|Target-Instance|Not-Executed|Instance-Load'
words+='|Response-Signature|Wait-Ms|log-append|log-read|log-newest|log-join|log-owners|keyed\.'
words+='|sinceRevision|nextToken|dead_lettered|/v1/lots|/v1/items|/v1/resolve|/v1/readyz|routeList'
words+='|pathPrefix|kvCacheTokens|ttlMinMs|coldRemainingMs'
if git ls-files include src apps tests ":!tests/platform" | xargs grep -nE "$words"; then
  echo "words of the platform belong to platform/" >&2
  exit 1
fi
echo "no word of the platform outside platform/"
