#!/usr/bin/env bash
# Builds and runs the benchmarks behind docs/CAPACITY.md and prints the tables of that page: slopes by size, and what they
# give per role at the size of section 1.2 of the design page. Seeds are fixed in the benchmarks. Takes under three
# minutes besides the build. JOBS sets the jobs of the build, MIN_TIME the seconds of each of five runs of a benchmark;
# the runs are spread over the whole time, because other load on the machine comes and goes. The JSON results stay in the
# build folder as capacity.json.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
results="$build_dir/capacity.json"

timeout 600 tools/build.sh --target bluebellstep_bench >"$build_dir/capacity-build.log" 2>&1 || {
  tail -20 "$build_dir/capacity-build.log"
  exit 1
}

filter='^(memory_|bundle_|heartbeat_|add_upstreams|write_answer|read_engine|choose_for|push_and_pop|claim_step)'
timeout 170 "$build_dir/bluebellstep_bench" --benchmark_filter="$filter" --benchmark_min_time="${MIN_TIME:-0.1}" \
  --benchmark_repetitions=5 --benchmark_enable_random_interleaving=true --benchmark_format=json >"$results" 2>"$build_dir/capacity.log" || {
  tail -5 "$build_dir/capacity.log"
  exit 1
}

changed=$(git status --porcelain --untracked-files=no -- src bench CMakeLists.txt)
echo "Run on $(date -u +%F), commit $(git rev-parse --short HEAD)${changed:+ with local changes}, $(nproc) cores."
echo
awk -f tools/capacity.awk "$results"
