#!/usr/bin/env bash
# Starts the stand-in of the users' platform and two gateways, and checks that orders and streamed prompts pass through
# the gateways, also when an engine cuts a stream or an answer is lost. Exit status: 0 if all checks pass, else 1.
# Usage: gateway-demo.sh
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
tools/build.sh --target bluebellstep bluebellstep-standins
source tools/lib/processes.sh
listening_port() { grep -oE " $2=[0-9]+" "$1.out" | head -1 | grep -oE '[0-9]+$'; }
free_port() { python3 -c 'import socket; s = socket.socket(); s.bind(("127.0.0.1", 0)); print(s.getsockname()[1])'; }

start_process fleet "$standins" fleet --ip 127.0.0.1 --port 0
for name in g1 g2; do
  declare "$name=$(free_port)"
  cat >"$name.yaml" <<EOF
name: $name
zone: a
callers: 127.0.0.1:${!name}
ready: 127.0.0.1:$(free_port)
peers: 127.0.0.1:$(free_port)
metrics: 127.0.0.1:$(free_port)
store: 127.0.0.1:$(listening_port fleet port)
EOF
  start_process "$name" "$product" gateway --settings "$name.yaml"
done
send_request() { curl -s -H 'credential: key-1' -H "request-id: $2" -H 'deadline-ms: 4000' -H 'model: clerk' -d kit "http://127.0.0.1:$1/$3/x"; }
gateways_configured() { [ "$(send_request "$g1" "warm-$RANDOM" orders)" != no_configuration ] && [ "$(send_request "$g2" "warm-$RANDOM" orders)" != no_configuration ]; }
for _ in $(seq 50); do gateways_configured && break; sleep 0.1; done

failed=0
check() {
  if [ "$2" = "$3" ]; then echo "ok    $1: $2"; else echo "FAIL  $1: $2, expected $3"; failed=1; fi
}
check "order by the first gateway" "$(send_request "$g1" o1 orders)" "answer to o1 kit"
check "order by the second gateway" "$(send_request "$g2" o2 orders)" "answer to o2 kit"
check "events of a stream" "$(send_request "$g1" p1 prompts | grep -c '^data: ')" 10
curl -s -d '{"cut_streams":1}' "http://127.0.0.1:$(listening_port fleet port)/faults" >/dev/null
check "events of a stream that its engine cut" "$(send_request "$g1" p2 prompts | grep -c '^data: ')" 10
curl -s -d '{"lose_answers":1}' "http://127.0.0.1:$(listening_port fleet port)/faults" >/dev/null
send_request "$g1" o3 orders >/dev/null
check "runs of an order whose answer was lost" \
  "$(curl -s "http://127.0.0.1:$(listening_port fleet port)/runs" | grep -oE '"o3":[0-9]+')" '"o3":1'
exit "$failed"
