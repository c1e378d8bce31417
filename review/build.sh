#!/usr/bin/env bash
# Builds what the scripts start beside the product: the stand-ins are Python 3 and need the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py */case.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
