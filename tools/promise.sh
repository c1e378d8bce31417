#!/usr/bin/env bash
# Builds, then runs the tests of promise N of section 1.3 of docs/design.md (1 to 11, or "all"). The last line printed for
# each promise summarizes the number of cases run, the number of violations and the result. Exit status: 0 if the promise
# holds, 1 if it is violated or the build fails, 2 for wrong arguments, 3 if it is not proved yet (a test is missing or no
# cases are counted). With "all", 1 takes precedence over 3, and 3 over 0.
set -uo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
tests="$build_dir/bluebellstep_tests"
test_timeout_s=120

# Prints the titles of the tests that exercise the mechanism behind a promise, and of those that show that the checks fail
# without that mechanism.
test_titles_of() {
  case "$1" in
    1) printf '%s\n' "only the complete block asked for is accepted" "each check of the frame is needed" \
      "generations rise" ;;
    2) printf '%s\n' "seeds differ by account, model and weight version" \
      "lookups find only the same account, version and prefix" "only the complete block asked for is accepted" \
      "each check of the frame is needed" "streamed answers are whole under faults" \
      "each rule of the streams is needed" ;;
    3) printf '%s\n' "requests that the upstream must not take are refused as not run" \
      "seeds differ by account, model and weight version" ;;
    4) printf '%s\n' "slow start is the least of its three limits" "each cold sign restarts slow start" \
      "an upstream gets no more load than it bears" ;;
    5) printf '%s\n' "bundles and zone notices spread in time under random faults" \
      "no request starts directly after a pause" "no request starts directly after the start" ;;
    6) printf '%s\n' "streamed answers are whole under faults" "stream seeds that failed pass now" \
      "each rule of the streams is needed" ;;
    7 | 8) printf '%s\n' "orders run at most once under faults" "seeds that failed pass now" \
      "each rule of the orders is needed" ;;
    9) printf '%s\n' "requests that the upstream must not take are refused as not run" ;;
    10) printf '%s\n' "a shutdown takes its course" "each phase accepts its kinds of work" ;;
    11) printf '%s\n' "bundles and zone notices spread in time under random faults" \
      "each rule of the roll-out is needed" ;;
  esac
}

# Prints the titles of the tests of a promise that run real processes.
process_test_titles_of() {
  case "$1" in
    5) printf '%s\n' "process: a zone notice takes effect everywhere while the platform is down" ;;
    6) printf '%s\n' "process: an answer is whole after its sidecar was paused" \
      "process: an answer is whole after its sidecar was killed" \
      "process: an answer is whole when the engine's stream breaks" \
      "process: an answer is whole when the engine's stream goes silent" ;;
    7) printf '%s\n' "process: requests go on while the platform is down" ;;
    8) printf '%s\n' "process: an order whose answer was lost never runs again" \
      "process: a restarted order sidecar does not run an order that was under way" \
      "process: the same key at two entry instances at the same time runs once" ;;
    10) printf '%s\n' "process: SIGTERM to an entry instance lets its streams end whole" \
      "process: SIGTERM to a sidecar lets its streams end whole" \
      "process: a second SIGTERM ends a process at once with code 3" ;;
    11) printf '%s\n' "process: a new generation is in force everywhere and never reverts" \
      "process: requests go on while the platform is down" ;;
  esac
}

# Prints the number of cases that the randomized tests of a promise run, read from a constant in the test's source. Prints
# nothing for promises without a randomized test.
case_count_of() {
  local source pattern unit=seeds
  case "$1" in
    1 | 2) source=src/cache/block_frame_test.cc pattern="kReadings = " unit=cases ;;
    6) source=src/streams/stream_model_test.cc pattern="kSeeds = " ;;
    7 | 8) source=src/orders/order_model_test.cc pattern="kSeeds = " ;;
    5 | 11) source=src/rollout/rollout_simulation_test.cc pattern="seed <= " ;;
    *) return ;;
  esac
  echo "$(sed -n "s/.*$pattern\([0-9']*\).*/\1/p" "$source" | head -1 | tr -d "'") $unit"
}

scenarios_of() { find tests/scenarios -name "$(printf 'p%02d_*.yaml' "$1")" -printf '%f\n' | sed 's/\.yaml$//' | sort; }

# Runs one test case; the remaining arguments are passed to the test program. Prints the output if the test fails. Updates
# `violations`, `missing` and `scenario_seeds` of the caller.
run_test() {
  local output status
  output=$(timeout "$test_timeout_s" "$tests" "$@" 2>/dev/null)
  status=$?
  if grep -q 'No test cases matched' <<<"$output"; then
    echo "missing test: expected a test case with the title \"$1\", found none"
    missing=1
  elif [ "$status" -ne 0 ]; then
    echo "$output"
    violations=$((violations + 1))
  fi
  scenario_seeds=$((scenario_seeds + $(sed -n 's/^scenario .*: \([0-9]*\) seeds,.*/\1/p' <<<"$output" | head -1 | grep . || echo 0)))
}

check_promise() {
  local number=$1 name case_summary verdict code
  local violations=0 missing=0 scenario_seeds=0 process_cases=0 scenarios
  while IFS= read -r name; do
    run_test "${name//,/\\,}"
  done < <(test_titles_of "$number")
  while IFS= read -r name; do
    run_test "${name//,/\\,}"
    process_cases=$((process_cases + 1))
  done < <(process_test_titles_of "$number")
  mapfile -t scenarios < <(scenarios_of "$number")
  for name in "${scenarios[@]}"; do
    run_test "scenario files hold" -c "$name"
  done
  if grep -qsx "promise: $number" KNOWN-RED.txt; then
    echo "KNOWN-RED.txt lists a known fault of promise $number; counted as a violation"
    violations=$((violations + 1))
  fi
  case_summary=$(case_count_of "$number")
  [ "$process_cases" -eq 0 ] || case_summary="${case_summary:+$case_summary, }$process_cases process cases"
  [ "$scenario_seeds" -eq 0 ] || case_summary="${case_summary:+$case_summary, }$scenario_seeds scenario seeds"
  if [ "$violations" -gt 0 ]; then
    verdict=violated code=1
  elif [ "$missing" -eq 1 ] || [ -z "$case_summary" ]; then
    verdict="not proved yet" code=3
  else
    verdict=holds code=0
    [ "$process_cases" -gt 0 ] || verdict="holds (decision logic only)"
  fi
  echo "promise $number: ${case_summary:-no cases}, $violations violations: $verdict"
  return "$code"
}

case "${1:-}" in
  [1-9] | 10 | 11) numbers=("$1") ;;
  all) numbers=({1..11}) ;;
  *)
    echo "usage: tools/promise.sh N|all (N from 1 to 11)" >&2
    exit 2
    ;;
esac
if ! build_output=$(tools/build.sh 2>&1); then
  echo "$build_output" | tail -20
  exit 1
fi
worst_code=0
for number in "${numbers[@]}"; do
  check_promise "$number"
  code=$?
  if [ "$code" -eq 1 ] || [ "$worst_code" -eq 0 ]; then
    worst_code=$code
  fi
done
exit "$worst_code"
