#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 to 15 start. They are Python programs without dependencies, so this only checks
# that they compile. The gateways are those of the build of the deploy file (target/bluebellstep).
set -euo pipefail
cd "$(dirname "$0")"
for file in common-3/*.py 1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
[ -x ../target/bluebellstep ] || echo "target/bluebellstep is missing: build the deploy file first" >&2
