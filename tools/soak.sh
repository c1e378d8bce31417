#!/usr/bin/env bash
# Runs the randomized fault soak on real processes. Usage: soak.sh [--seeds N] [--seed S]
# N seeds from S on; without S from a random one, without N one seed if S is given, else five.
# Seeds that ever failed are in tests/soak/seeds.txt and are always run too.
set -uo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
count=
first=
while [ $# -gt 0 ]; do
  case "$1" in
    --seeds) count=$2; shift 2 ;;
    --seed) first=$2; shift 2 ;;
    *) echo "usage: soak.sh [--seeds N] [--seed S]" >&2; exit 2 ;;
  esac
done
if [ -z "$first" ]; then
  first=$RANDOM$RANDOM
  count=${count:-5}
fi
count=${count:-1}
mapfile -t seeds < <(sed -n 's/^\([0-9][0-9]*\).*/\1/p' tests/soak/seeds.txt; seq "$first" $((first + count - 1)))
passed=0
failed=0
for seed in "${seeds[@]}"; do
  log="$build_dir/soak-$seed.log"
  if BLUEBELLSTEP_SOAK_SEED=$seed timeout 120 "$build_dir/bluebellstep_tests" \
    "soak: promises hold under random faults" >"$log" 2>&1; then
    passed=$((passed + 1))
    rm -f "$log"
  else
    failed=$((failed + 1))
    echo "seed $seed failed, log in $log"
    grep -E "FAILED|ran [0-9]+ times|but ran|another body|CHECK" "$log" | head -5
  fi
done
echo "soak: $passed of $((passed + failed)) seeds hold"
[ "$failed" -eq 0 ]
