#!/usr/bin/env bash
# Builds and runs the benchmarks behind docs/CAPACITY.md and prints the tables of that page: the cost of each benchmark as
# a function of its size, and the resource needs of each role that follow from it at the system size of section 1.2 of
# docs/design.md. The benchmarks use fixed seeds. Takes under three minutes plus the build. JOBS sets the number of build
# jobs, MIN_TIME the duration in seconds of each of the five repetitions of a benchmark. The repetitions of all benchmarks
# are interleaved in random order, because other load on the machine varies over time. The JSON results stay in the build
# folder as capacity.json.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
results="$build_dir/capacity.json"

timeout 600 tools/build.sh --target bluebellstep_bench >"$build_dir/capacity-build.log" 2>&1 || {
  tail -20 "$build_dir/capacity-build.log"
  exit 1
}

benchmark_filter='^(memory_|bundle_|heartbeat_|add_upstreams|write_answer|read_engine|choose_for|push_and_pop|claim_step)'
timeout 170 "$build_dir/bluebellstep_bench" --benchmark_filter="$benchmark_filter" --benchmark_min_time="${MIN_TIME:-0.1}" \
  --benchmark_repetitions=5 --benchmark_enable_random_interleaving=true --benchmark_format=json >"$results" 2>"$build_dir/capacity.log" || {
  tail -5 "$build_dir/capacity.log"
  exit 1
}

local_changes=$(git status --porcelain --untracked-files=no -- src bench CMakeLists.txt)
echo "Run on $(date -u +%F), commit $(git rev-parse --short HEAD)${local_changes:+ with local changes}, $(nproc) cores."
echo
awk -f tools/capacity.awk "$results"
