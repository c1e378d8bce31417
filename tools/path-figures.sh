#!/usr/bin/env bash
# Measures what an entry instance and a sidecar add to the path, on this machine with a model engine stand-in: first-token
# time, processor time for each event and request, and resident memory. Prints one line for each figure with its target
# and replaces the table in docs/FIGURES.md; the part from "## Notes" on is kept. Exits 1 only if a run itself failed
# (refusals, broken or unfinished answers), not if a target is missed.
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
start platform "$standins" platform
write_operator_settings

# "fast" answers at once; "slow" keeps 1,000 streams open.
engine() {
  start "engine-$1" "$standins" engine --model "$1=v1" --max-running 4000 --max-waiting 4000 --max-kv-tokens 100000000 \
    --prefill-tokens-per-s 1000000000 --decode-step-us "$2" --decode-step-us-per-run 0 --starts-warm
  {
    process_settings "engine-$1" a
    echo "upstream: {endpoint: 127.0.0.1:$(port "engine-$1" port), kind: engine}"
    echo "limits: {max_concurrency: 4000, initial_concurrency: 4000, kv_tokens: 100000000, prefill_tokens_per_s: 1000000000}"
  } >"sidecar-$1.yaml"
  start "sidecar-$1" "$product" sidecar --settings "sidecar-$1.yaml"
}
engine fast 1000
engine slow 200000

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
  - {name: engine-fast, zone: a, kind: engine, models: [fast], rpc: "127.0.0.1:$(port sidecar-fast rpc)"}
  - {name: engine-slow, zone: a, kind: engine, models: [slow], rpc: "127.0.0.1:$(port sidecar-slow rpc)"}
YAML
roll_out_first_bundle
{ process_settings entry a; echo "balancer_delay: 200ms"; } >entry.yaml
start entry "$product" entry --settings entry.yaml
entry=127.0.0.1:$(port entry http)
direct=127.0.0.1:$(port engine-fast port)
answers() {
  curl -sf -H "authorization: Bearer $token" -d "{\"model\":\"$1\",\"prompt\":\"short\",\"max_tokens\":1}" \
    "http://$entry/v1/completions"
}
wait_for answers fast
wait_for answers slow

# experiment NAME MODEL SECONDS RATE TOKENS writes NAME.yaml.
experiment() {
  cat >"$1.yaml" <<YAML
seed: 1
duration: $3s
model: $2
accounts:
  - {name: load, token: $token, requests_per_s: $4, prompt_bytes: 200, answer_tokens: $5}
YAML
}
# load NAME MODEL SECONDS RATE TOKENS TARGETS... runs an experiment and writes NAME.jsonl, NAME.summary and NAME.progress.
load() {
  local name=$1
  experiment "${@:1:5}"
  shift 5
  timeout 150 "$load_tool" run "$name.yaml" "$@" --out "$name.jsonl" >"$name.summary" 2>"$name.progress"
}
# value NAME KEY [VIA] prints a figure of the summary line.
value() {
  python3 -c 'import json, sys
rows = json.loads(sys.argv[1])["summary"]
print(next(row[sys.argv[2]] for row in rows if row["via"] == sys.argv[3]))' "$(cat "$1.summary")" "$2" "${3:-entry}"
}
check_whole() {
  for via in "${@:2}"; do
    for key in refused broken unfinished; do
      [ "$(value "$1" "$key" "$via")" = 0 ] || { echo "FAIL: $1 via $via: $(cat "$1.summary")"; exit 1; }
    done
  done
}
rss_kb() { awk '/^VmRSS/ {print $2}' "/proc/${pid_of[$1]}/status"; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/${pid_of[$1]}/stat"; }
calc() { awk "BEGIN { printf \"%.${2:-0}f\", $1 }"; }

rows=()
# figure NAME VALUE TARGET HOLDS (an awk condition, or empty without a target)
figure() {
  local state="-"
  [ -n "$4" ] && state=$(awk "BEGIN { print ($4) ? \"met\" : \"missed\" }")
  rows+=("| $1 | $2 | $3 | $state |")
  printf '%-62s %-26s target: %-18s %s\n' "$1" "$2" "$3" "$state"
}

for role in entry sidecar-slow; do
  kb=$(rss_kb "$role")
  figure "resident memory, ${role%-slow}, idle" "$(calc "$kb/1024" 1) MB" "under 64 MB" "$kb < 65536"
done
load first-token fast 15 200 4 --entry "$entry" --direct "$direct"
check_whole first-token entry direct
for rank in p50 p99; do
  through=$(value first-token "first_token_${rank}_us")
  alone=$(value first-token "first_token_${rank}_us" direct)
  [ "$rank" = p99 ] && target="under 1 ms added" condition="$through - $alone < 1000" || { target="-" condition=""; }
  figure "first token $rank, through entry and sidecar / direct" \
    "$(calc "$through/1000" 2) / $(calc "$alone/1000" 2) ms, x$(calc "$through/$alone" 2), +$(calc "($through-$alone)/1000" 2) ms" \
    "$target" "$condition"
done

# measure NAME ... runs `load` and sets $entry_s and $sidecar_s to the processor seconds used.
measure() {
  local e s hz
  hz=$(getconf CLK_TCK)
  e=$(cpu_ticks entry)
  s=$(cpu_ticks sidecar-fast)
  load "$@"
  check_whole "$1" entry
  entry_s=$(calc "($(cpu_ticks entry)-$e)/$hz" 2)
  sidecar_s=$(calc "($(cpu_ticks sidecar-fast)-$s)/$hz" 2)
}
measure events fast 10 60 1024 --entry "$entry"
events=$(value events events)
for pair in "entry $entry_s" "sidecar $sidecar_s" "both $(calc "$entry_s+$sidecar_s" 2)"; do
  read -r role seconds <<<"$pair"
  rate=$(calc "$events/$seconds")
  figure "streamed events a second per core, $role" "$rate" "100000" "$rate >= 100000"
done
measure requests fast 10 500 1 --entry "$entry"
requests=$(value requests requests)
for pair in "entry $entry_s" "sidecar $sidecar_s" "both $(calc "$entry_s+$sidecar_s" 2)"; do
  read -r role seconds <<<"$pair"
  figure "requests a second per core, $role" "$(calc "$requests/$seconds")" "-" ""
done

# Last, since these streams would load the machine for the figures above. The time-out passes its own end on to the load tool.
experiment streams slow 2 530 1024
timeout 150 "$load_tool" run streams.yaml --entry "$entry" --out streams.jsonl >streams.summary 2>streams.progress &
pids+=($!)
sleep 5
open=$(tail -1 streams.progress | sed 's/.* sent, \([0-9]*\) open.*/\1/')
for role in entry sidecar-slow; do
  kb=$(rss_kb "$role")
  figure "resident memory, ${role%-slow}, $open open streams" "$(calc "$kb/1024" 1) MB" "under 64 MB" "$kb < 65536"
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
} >"$work/FIGURES.md"
mv "$work/FIGURES.md" docs/FIGURES.md
