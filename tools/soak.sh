#!/usr/bin/env bash
# Runs the soak tests on real processes under random faults and planned changes. Usage: soak.sh [--seeds N] [--seed S]
# Runs N consecutive seeds, the first of which is S. S defaults to a random seed. N defaults to 1 if S is given, else to 5.
# Seeds that failed in earlier runs are listed in tests/soak/seeds.txt and are always run as well.
set -uo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
seed_count=
first_seed=
while [ $# -gt 0 ]; do
  case "$1" in
    --seeds) seed_count=$2; shift 2 ;;
    --seed) first_seed=$2; shift 2 ;;
    *) echo "usage: soak.sh [--seeds N] [--seed S]" >&2; exit 2 ;;
  esac
done
if [ -z "$first_seed" ]; then
  first_seed=$RANDOM$RANDOM
  seed_count=${seed_count:-5}
fi
seed_count=${seed_count:-1}
mapfile -t seeds < <(sed -n 's/^\([0-9][0-9]*\).*/\1/p' tests/soak/seeds.txt; seq "$first_seed" $((first_seed + seed_count - 1)))
passed=0
failed=0
for seed in "${seeds[@]}"; do
  log="$build_dir/soak-$seed.log"
  if BLUEBELLSTEP_SOAK_SEED=$seed timeout 120 "$build_dir/bluebellstep_tests" \
    "soak: *" >"$log" 2>&1; then
    passed=$((passed + 1))
    rm -f "$log"
  else
    failed=$((failed + 1))
    echo "seed $seed failed; log in $log"
    grep -E "FAILED|ran [0-9]+ times|but ran|another body|no answer|cut off|exited with|CHECK" "$log" | head -5
  fi
done
echo "soak: $passed of $((passed + failed)) seeds hold"
[ "$failed" -eq 0 ]
