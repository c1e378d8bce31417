#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exit status: 1 the rule was broken, 0 it held, 2 it could not run.
set -u
export PYTHONDONTWRITEBYTECODE=1 TROUBLE="${TROUBLE:-1}"
exec python3 "$(dirname "$0")/case.py"
