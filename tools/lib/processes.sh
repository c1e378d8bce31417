# Shell functions that start bluebellstep and the stand-ins on this machine. Scripts source this file at the root of the
# work tree. Sourcing it changes the current directory to a temporary folder, `$work_dir`. When the shell exits, all
# processes started by `start_process` are terminated, `$work_dir` with the logs is copied to $DEMO_LOGS if that is set,
# and `$work_dir` is removed.

build_dir=${BUILD_DIR:-build}
product=$PWD/$build_dir/bluebellstep
standins=$PWD/$build_dir/bluebellstep-standins
load_tool=$PWD/$build_dir/bluebellstep-load
work_dir=$(mktemp -d)
pids=()
declare -A pid_of
stop_processes() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  [ -n "${DEMO_LOGS:-}" ] && cp -r "$work_dir" "$DEMO_LOGS"
  rm -rf "$work_dir"
}
trap stop_processes EXIT
cd "$work_dir"

# Starts a process and waits until it has printed the line with its ports: start_process NAME COMMAND [ARGUMENT...]
# Standard output goes to NAME.out, standard error to NAME.log. Exits the shell with status 1 if the process ends or 10 s pass
# before the line is printed.
start_process() {
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
  echo "$name: expected a line \"listening ...\" within 10 s, found none. Last lines of its log:"
  tail -5 "$name.log"
  exit 1
}
# Prints a port of a process: listening_port NAME KIND, where KIND is port, http or rpc.
listening_port() { sed -n "s/^listening.*\b$2=\([0-9]*\).*/\1/p" "$1.out"; }

# Creates temporary keys: a certificate authority, one certificate for all processes, and the key pairs of two operators.
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

# Writes operator.yaml. Requires the keys from `make_keys` and a running process named "platform".
write_operator_settings() {
  cat >operator.yaml <<YAML
platform: {endpoint: 127.0.0.1:$(listening_port platform port)}
operator_keys:
  ana: $(public_key ana.pub)
  ben: $(public_key ben.pub)
YAML
}

# Prints the settings that all roles have in common: process_settings NAME ZONE
process_settings() {
  cat <<YAML
name: $1
zone: $2
region: south
http_listen: 127.0.0.1:0
rpc_listen: 127.0.0.1:0
tls: {certificate: $work_dir/peer.pem, private_key: $work_dir/peer.key, authority: $work_dir/authority.pem}
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

# Repeats a command until it succeeds. Exits the shell after 200 failed attempts, which take at least 10 s.
wait_for() {
  for _ in $(seq 200); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  echo "expected this command to succeed, but it failed 200 times in a row: $*"
  exit 1
}
