# Shell functions that start bluebellstep and the stand-ins on this machine. To be sourced by scripts that run at the root
# of the work tree. Afterwards the shell is in a temporary folder `$work`, which is removed at exit together with all
# processes that `start` started. Logs are copied to $DEMO_LOGS if that is set.

build_dir=${BUILD_DIR:-build}
product=$PWD/$build_dir/bluebellstep
standins=$PWD/$build_dir/bluebellstep-standins
load_tool=$PWD/$build_dir/bluebellstep-load
work=$(mktemp -d)
pids=()
declare -A pid_of
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  [ -n "${DEMO_LOGS:-}" ] && cp -r "$work" "$DEMO_LOGS"
  rm -rf "$work"
}
trap stop_all EXIT
cd "$work"

# Starts a process and waits for the line that names its ports.
start() {
  local name=$1
  shift
  "$@" >"$name.out" 2>"$name.log" &
  pids+=($!)
  pid_of[$name]=$!
  for _ in $(seq 200); do
    grep -q '^listening' "$name.out" && return 0
    kill -0 "${pids[-1]}" 2>/dev/null || break
    sleep 0.05
  done
  echo "$name did not start:"
  tail -5 "$name.log"
  exit 1
}
port() { sed -n "s/^listening.*\b$2=\([0-9]*\).*/\1/p" "$1.out"; }

# Throw-away keys: one certificate for all processes, and two operators.
make_keys() {
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -days 2 -subj /CN=demo-authority \
    -keyout authority.key -out authority.pem 2>/dev/null
  openssl req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -subj /CN=peer.bluebellstep \
    -keyout peer.key -out peer.csr 2>/dev/null
  printf 'subjectAltName=DNS:peer.bluebellstep\n' >peer.ext
  openssl x509 -req -in peer.csr -CA authority.pem -CAkey authority.key -CAcreateserial -days 2 -extfile peer.ext \
    -out peer.pem 2>/dev/null
  "$product" bundle keygen --out ana.key >ana.pub
  "$product" bundle keygen --out ben.key >ben.pub
}
public_key() { grep -oE '[A-Za-z0-9+/]{43}=' "$1"; }

# Writes operator.yaml; needs the keys and a running `platform`.
write_operator_settings() {
  cat >operator.yaml <<YAML
platform: {endpoint: 127.0.0.1:$(port platform port)}
operator_keys:
  ana: $(public_key ana.pub)
  ben: $(public_key ben.pub)
YAML
}

# Prints the settings that all roles have: process_settings NAME ZONE
process_settings() {
  cat <<YAML
name: $1
zone: $2
region: south
http_listen: 127.0.0.1:0
rpc_listen: 127.0.0.1:0
tls: {certificate: $work/peer.pem, private_key: $work/peer.key, authority: $work/authority.pem}
YAML
  cat operator.yaml
}

# Signs, signs off and rolls out bundle.yaml, which must be generation 1.
roll_out_first_bundle() {
  "$product" bundle sign bundle.yaml --key ana.key --settings operator.yaml --out bundle.signed >sign.out
  local digest
  digest=$(grep -oE '[0-9a-f]{64}' sign.out | head -1)
  "$product" bundle propose bundle.signed --settings operator.yaml >/dev/null
  "$product" bundle sign-off 1 --settings operator.yaml --operator ben --key ben.key --digest "$digest" >/dev/null
  "$product" bundle roll-out 1 --settings operator.yaml >/dev/null
}

wait_for() {
  for _ in $(seq 200); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  echo "gave up waiting for: $*"
  exit 1
}
