#!/usr/bin/env bash
# Runs the whole system on this machine, with stand-ins for the external systems, and checks a streamed prompt, the same
# prompt after its blocks were evicted, and an order that is sent twice. Exit status: 0 if all checks pass, else 1.
# Usage: demo.sh [--keep]      --keep leaves all processes running until Enter or Ctrl-C is pressed.
set -euo pipefail
cd "$(dirname "$0")/.."
keep=0
[ "${1:-}" = --keep ] && keep=1

tools/setup.sh
tools/build.sh >/dev/null
. tools/lib/processes.sh
make_keys

start_process platform "$standins" platform
for i in 1 2; do
  start_process "engine-$i" "$standins" engine --model manual=v1 --cache-blocks 16 --prefill-tokens-per-s 20000 \
    --decode-step-us 5000 --starts-warm
  start_process "order-server-$i" "$standins" orders
done
start_process store "$standins" store --memory-bytes 64000000 --memory-link-bytes-per-s 200000000 \
  --disk-bytes 256000000 --disk-link-bytes-per-s 50000000

write_operator_settings
for i in 1 2; do
  zone=$([ "$i" = 1 ] && echo a || echo b)
  {
    process_settings "engine-$i" "$zone"
    echo "upstream: {endpoint: 127.0.0.1:$(listening_port "engine-$i" port), kind: engine}"
    echo "limits: {max_concurrency: 8, kv_tokens: 200000, prefill_tokens_per_s: 20000}"
  } >"sidecar-engine-$i.yaml"
  start_process "sidecar-engine-$i" "$product" sidecar --settings "sidecar-engine-$i.yaml"
  {
    process_settings "order-server-$i" "$zone"
    echo "upstream: {endpoint: 127.0.0.1:$(listening_port "order-server-$i" port), kind: service}"
    echo "limits: {max_concurrency: 16}"
  } >"sidecar-order-server-$i.yaml"
  start_process "sidecar-order-server-$i" "$product" sidecar --settings "sidecar-order-server-$i.yaml"
done

token=demo-token
cat >bundle.yaml <<YAML
generation: 1
author: ana
zones:
  - {name: a, region: south, in_service: true, serial: 1}
  - {name: b, region: south, in_service: true, serial: 1}
accounts:
  - {name: namsan, share: 1, priority: 0, credential_sha256: $(printf %s "$token" | sha256sum | cut -d' ' -f1), classes: [standard]}
models:
  - {name: manual, weight_version: v1}
upstreams:
  - {name: engine-1, zone: a, kind: engine, models: [manual], rpc: "127.0.0.1:$(listening_port sidecar-engine-1 rpc)"}
  - {name: engine-2, zone: b, kind: engine, models: [manual], rpc: "127.0.0.1:$(listening_port sidecar-engine-2 rpc)"}
  - {name: order-server-1, zone: a, kind: service, service: parts, rpc: "127.0.0.1:$(listening_port sidecar-order-server-1 rpc)"}
  - {name: order-server-2, zone: b, kind: service, service: parts, rpc: "127.0.0.1:$(listening_port sidecar-order-server-2 rpc)"}
services:
  - name: parts
    order_tables: [{effective_ms: 0, upstreams: [order-server-1, order-server-2]}]
    idempotent_paths: [/stock]
    non_idempotent_paths: [/orders]
stores:
  - {name: store, zone: a, endpoint: "127.0.0.1:$(listening_port store port)", memory_link_bytes_per_s: 200MB, disk_link_bytes_per_s: 50MB}
YAML
roll_out_first_bundle

for i in 1 2; do
  { process_settings "entry-$i" a; echo "balancer_delay: 200ms"; } >"entry-$i.yaml"
  [ "$i" = 2 ] && echo "peers: [127.0.0.1:$(listening_port entry-1 rpc)]" >>"entry-$i.yaml"
  start_process "entry-$i" "$product" entry --settings "entry-$i.yaml"
done
entry=http://127.0.0.1:$(listening_port entry-1 http)
other_entry=http://127.0.0.1:$(listening_port entry-2 http)
auth="authorization: Bearer $token"

wait_for curl -sf "$entry/readyz"
wait_for curl -sf "$other_entry/readyz"
can_complete() { curl -sf -H "$auth" -d '{"model":"manual","prompt":"short","max_tokens":1}' "$1/v1/completions"; }
wait_for can_complete "$entry"
wait_for can_complete "$other_entry"

failed=0
check() {
  if [ "$2" = 1 ]; then echo "ok    $1"; else echo "FAIL  $1"; failed=1; fi
}
last_number() { grep -oE "\"$1\":[0-9]+" "$2" | tail -1 | grep -oE '[0-9]+$' || echo -1; }

# Each prompt fills 10 blocks. Sending further prompts after "manual" evicts its blocks from the engines' memory.
make_prompt() { for i in $(seq 1000); do printf '%s step %05d: set stave %d into the ring.    ' "$1" "$i" "$i"; done | head -c 41000; }
write_request() { printf '{"model":"manual","prompt":"%s","max_tokens":40,"stream":true}' "$(make_prompt "$1")" >"$1.json"; }
send_prompt() {
  curl -sN -H "$auth" -H 'content-type: application/json' -d "@$1.json" -o "$2" -w '%{time_starttransfer}' "$3/v1/completions"
}
write_request manual
first_token_s=$(send_prompt manual first.sse "$entry")
check "prompt, first time: first token after ${first_token_s} s, $(last_number recomputed_blocks first.sse) blocks recomputed, $(grep -c '^data: {' first.sse) events" \
  "$([ "$(last_number recomputed_blocks first.sse)" = 10 ] && [ "$(last_number completion_tokens first.sse)" = 40 ] && grep -q '^data: \[DONE\]' first.sse && echo 1 || echo 0)"

stored_bytes() {
  curl -s "http://127.0.0.1:$(listening_port store port)/status" | sed 's/.*"memory"//' | grep -oE '"used":[0-9]+' | grep -oE '[0-9]+'
}
all_blocks_stored() { [ "$(stored_bytes)" -ge 655360 ]; }
wait_for all_blocks_stored
for filler in one two three four five six; do
  write_request "$filler"
  send_prompt "$filler" filler.sse "$entry" >/dev/null
done
repeated_first_token_s=$(send_prompt manual again.sse "$other_entry")
check "same prompt after eviction, by the other entry instance: first token after ${repeated_first_token_s} s, $(last_number reused_blocks again.sse) blocks reused, $(last_number fetched_blocks again.sse) fetched, $(last_number recomputed_blocks again.sse) recomputed" \
  "$([ "$(last_number recomputed_blocks again.sse)" = 0 ] && [ "$(last_number fetched_blocks again.sse)" -gt 0 ] && echo 1 || echo 0)"
answer_texts() { grep -oE '"text":"[^"]*"' "$1"; }
check "both answers are the same text" "$([ "$(answer_texts first.sse)" = "$(answer_texts again.sse)" ] && echo 1 || echo 0)"

# A sidecar refuses idempotency keys in the first seconds after its start, because an earlier incarnation may have run
# orders with these keys. The order is therefore retried with new keys until it is accepted.
key="$(date +%s%3N)-order-4711"
send_order() { curl -s -H "$auth" -H "idempotency-key: $key" -d '{"kit":"barrel-210"}' -D "$1.head" -o "$1.body" "$2/v1/services/parts/orders"; }
send_order order-1 "$entry"
for _ in $(seq 100); do
  grep -q 'owner_restarted' order-1.body || break
  sleep 0.1
  key="$(date +%s%3N)-order-4711"
  send_order order-1 "$entry"
done
send_order order-2 "$other_entry"
executions=0
for i in 1 2; do
  executions_of_server=$(curl -s "http://127.0.0.1:$(listening_port "order-server-$i" port)/executions/$key" | grep -oE '"executions":[0-9]+' | grep -oE '[0-9]+$')
  executions=$((executions + executions_of_server))
done
check "order: $(tr -d '\n' <order-1.body)" "$(grep -q '"execution":1' order-1.body && echo 1 || echo 0)"
check "same order by the other entry instance: same answer, $executions execution(s)" \
  "$([ "$executions" = 1 ] && cmp -s order-1.body order-2.body && grep -qi 'x-replayed: true' order-2.head && echo 1 || echo 0)"

if [ "$keep" = 1 ]; then
  echo
  echo "entry instances: $entry $other_entry     bundle and keys: $work_dir"
  echo "try: curl -N -H '$auth' -d '{\"model\":\"manual\",\"prompt\":\"How wide is the stove clearance?\",\"max_tokens\":20,\"stream\":true}' $entry/v1/completions"
  if [ -t 0 ]; then
    read -r -p "Press Enter to stop. " || true
  else
    echo "Running. Send SIGTERM or SIGINT to stop."
    while sleep 1; do :; done
  fi
fi
exit "$failed"
