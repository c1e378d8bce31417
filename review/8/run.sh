#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
[ -x build-review-2/case-8 ] && [ -x target/bluebellstep ] || { echo "not built"; exit 2; }
build-review-2/case-8 target/bluebellstep "$folder" review/8/record.txt
code=$?
[ "$code" -le 2 ] || code=2
[ -z "${KEEP_LOGS:-}" ] || cp -r "$folder" "$KEEP_LOGS"
tail -1 review/8/record.txt
exit "$code"
