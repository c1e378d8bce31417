#!/usr/bin/env bash
# Measures the overhead of an entry instance and a sidecar on this machine, with a stand-in as the model engine: time to
# the first token, processor time for each event and request, and resident memory. Prints one line for each figure with
# its target and replaces docs/FIGURES.md, except for the section "## Notes" and all after it. Exits with status 1 if a
# run fails (refused requests, broken or unfinished answers), but not if a target is missed.
# Usage: path-figures.sh [--no-write]
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
write=1
[ "${1:-}" = --no-write ] && write=0

tools/setup.sh
tools/build.sh >/dev/null
. tools/lib/processes.sh
make_keys
start_process platform "$standins" platform
write_operator_settings

# start_engine MODEL DECODE_STEP_US starts an engine and its sidecar. Model "fast" answers immediately, for the measurements
# of time to the first token and of processor time. Model "slow" generates so slowly that 1,000 streams stay open at once.
start_engine() {
  start_process "engine-$1" "$standins" engine --model "$1=v1" --max-running 4000 --max-waiting 4000 --max-kv-tokens 100000000 \
    --prefill-tokens-per-s 1000000000 --decode-step-us "$2" --decode-step-us-per-run 0 --starts-warm
  {
    process_settings "engine-$1" a
    echo "upstream: {endpoint: 127.0.0.1:$(listening_port "engine-$1" port), kind: engine}"
    echo "limits: {max_concurrency: 4000, initial_concurrency: 4000, kv_tokens: 100000000, prefill_tokens_per_s: 1000000000}"
  } >"sidecar-$1.yaml"
  start_process "sidecar-$1" "$product" sidecar --settings "sidecar-$1.yaml"
}
start_engine fast 1000
start_engine slow 200000

token=path-figures-token
cat >bundle.yaml <<YAML
generation: 1
author: ana
zones:
  - {name: a, region: south, in_service: true, serial: 1}
accounts:
  - {name: load, share: 1, priority: 0, credential_sha256: $(printf %s "$token" | sha256sum | cut -d' ' -f1), classes: [standard]}
models:
  - {name: fast, weight_version: v1}
  - {name: slow, weight_version: v1}
upstreams:
  - {name: engine-fast, zone: a, kind: engine, models: [fast], rpc: "127.0.0.1:$(listening_port sidecar-fast rpc)"}
  - {name: engine-slow, zone: a, kind: engine, models: [slow], rpc: "127.0.0.1:$(listening_port sidecar-slow rpc)"}
YAML
roll_out_first_bundle
{ process_settings entry a; echo "balancer_delay: 200ms"; } >entry.yaml
start_process entry "$product" entry --settings entry.yaml
entry=127.0.0.1:$(listening_port entry http)
direct=127.0.0.1:$(listening_port engine-fast port)
can_complete() {
  curl -sf -H "authorization: Bearer $token" -d "{\"model\":\"$1\",\"prompt\":\"short\",\"max_tokens\":1}" \
    "http://$entry/v1/completions"
}
wait_for can_complete fast
wait_for can_complete slow

# write_experiment NAME MODEL SECONDS RATE TOKENS writes NAME.yaml.
write_experiment() {
  cat >"$1.yaml" <<YAML
seed: 1
duration: $3s
model: $2
accounts:
  - {name: load, token: $token, requests_per_s: $4, prompt_bytes: 200, answer_tokens: $5}
YAML
}
# run_load NAME MODEL SECONDS RATE TOKENS TARGETS... runs an experiment and writes NAME.jsonl, NAME.summary and NAME.progress.
run_load() {
  local name=$1
  write_experiment "${@:1:5}"
  shift 5
  timeout 150 "$load_tool" run "$name.yaml" "$@" --out "$name.jsonl" >"$name.summary" 2>"$name.progress"
}
# summary_value NAME KEY [VIA] prints the value of KEY in the summary of the experiment, for requests sent via VIA.
summary_value() {
  python3 -c 'import json, sys
rows = json.loads(sys.argv[1])["summary"]
print(next(row[sys.argv[2]] for row in rows if row["via"] == sys.argv[3]))' "$(cat "$1.summary")" "$2" "${3:-entry}"
}
# check_complete NAME VIA... exits with status 1 if a request was refused or an answer is broken or unfinished.
check_complete() {
  for via in "${@:2}"; do
    for key in refused broken unfinished; do
      [ "$(summary_value "$1" "$key" "$via")" = 0 ] || { echo "FAIL: $1 via $via: expected $key to be 0; summary: $(cat "$1.summary")"; exit 1; }
    done
  done
}
rss_kb() { awk '/^VmRSS/ {print $2}' "/proc/${pid_of[$1]}/status"; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/${pid_of[$1]}/stat"; }
calculate() { awk "BEGIN { printf \"%.${2:-0}f\", $1 }"; }

rows=()
# add_figure NAME VALUE TARGET CONDITION adds a row to the table and prints it. CONDITION is an awk expression that is true
# if the target is met; it is empty for a figure without a target.
add_figure() {
  local outcome="-"
  [ -n "$4" ] && outcome=$(awk "BEGIN { print ($4) ? \"met\" : \"missed\" }")
  rows+=("| $1 | $2 | $3 | $outcome |")
  printf '%-62s %-26s target: %-18s %s\n' "$1" "$2" "$3" "$outcome"
}

for role in entry sidecar-slow; do
  kb=$(rss_kb "$role")
  add_figure "resident memory, ${role%-slow}, idle" "$(calculate "$kb/1024" 1) MB" "under 64 MB" "$kb < 65536"
done
run_load first-token fast 15 200 4 --entry "$entry" --direct "$direct"
check_complete first-token entry direct
for percentile in p50 p99; do
  via_entry_us=$(summary_value first-token "first_token_${percentile}_us")
  direct_us=$(summary_value first-token "first_token_${percentile}_us" direct)
  [ "$percentile" = p99 ] && target="under 1 ms added" condition="$via_entry_us - $direct_us < 1000" || { target="-" condition=""; }
  add_figure "first token $percentile, through entry and sidecar / direct" \
    "$(calculate "$via_entry_us/1000" 2) / $(calculate "$direct_us/1000" 2) ms, x$(calculate "$via_entry_us/$direct_us" 2), +$(calculate "($via_entry_us-$direct_us)/1000" 2) ms" \
    "$target" "$condition"
done

# measure_cpu NAME ... passes its arguments to `run_load` and sets $entry_s and $sidecar_s to the processor time that the
# entry instance and the sidecar used meanwhile, in seconds.
measure_cpu() {
  local entry_ticks sidecar_ticks hz
  hz=$(getconf CLK_TCK)
  entry_ticks=$(cpu_ticks entry)
  sidecar_ticks=$(cpu_ticks sidecar-fast)
  run_load "$@"
  check_complete "$1" entry
  entry_s=$(calculate "($(cpu_ticks entry)-$entry_ticks)/$hz" 2)
  sidecar_s=$(calculate "($(cpu_ticks sidecar-fast)-$sidecar_ticks)/$hz" 2)
}
measure_cpu events fast 10 60 1024 --entry "$entry"
events=$(summary_value events events)
for pair in "entry $entry_s" "sidecar $sidecar_s" "both $(calculate "$entry_s+$sidecar_s" 2)"; do
  read -r role seconds <<<"$pair"
  rate=$(calculate "$events/$seconds")
  add_figure "streamed events a second per core, $role" "$rate" "100000" "$rate >= 100000"
done
measure_cpu requests fast 10 500 1 --entry "$entry"
requests=$(summary_value requests requests)
for pair in "entry $entry_s" "sidecar $sidecar_s" "both $(calculate "$entry_s+$sidecar_s" 2)"; do
  read -r role seconds <<<"$pair"
  add_figure "requests a second per core, $role" "$(calculate "$requests/$seconds")" "-" ""
done

# Runs last, because the load of these streams would distort the figures above. `timeout` forwards SIGTERM to the load
# tool, so its process id is the one to terminate.
write_experiment streams slow 2 530 1024
timeout 150 "$load_tool" run streams.yaml --entry "$entry" --out streams.jsonl >streams.summary 2>streams.progress &
pids+=($!)
sleep 5
open_streams=$(tail -1 streams.progress | sed 's/.* sent, \([0-9]*\) open.*/\1/')
for role in entry sidecar-slow; do
  kb=$(rss_kb "$role")
  add_figure "resident memory, ${role%-slow}, $open_streams open streams" "$(calculate "$kb/1024" 1) MB" "under 64 MB" "$kb < 65536"
done

[ "$write" = 1 ] || exit 0
cd "$root"
notes=$(sed -n '/^## Notes/,$p' docs/FIGURES.md 2>/dev/null || true)
{
  echo "# Figures of the path"
  echo
  echo "Written by \`tools/path-figures.sh\` on $(date -u '+%Y-%m-%d %H:%M UTC') at commit $(git rev-parse --short HEAD)$(git diff --quiet HEAD -- src standins loadgen || echo ' with uncommitted changes'),"
  echo "on a machine with $(nproc) cores that runs the load tool and the stand-ins as well."
  echo
  echo "| figure | value | target | |"
  echo "|---|---|---|---|"
  printf '%s\n' "${rows[@]}"
  echo
  printf '%s\n' "${notes:-## Notes}"
} >"$work_dir/FIGURES.md"
mv "$work_dir/FIGURES.md" docs/FIGURES.md
