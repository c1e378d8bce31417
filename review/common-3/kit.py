"""Stand-ins of the platform, its servers and its clients, and a launcher of gateways.

Everything listens on loopback addresses and on ports that the system chooses. The store, the model servers and the
plain servers do what the users' pages say, and no more.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
IP = "127.0.0.1"
STARTED = time.monotonic()
HEARTBEAT_MS = 1200


class CannotRun(Exception):
    """The case could not run; nothing was shown."""


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (now(), text))
        self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((IP, 0))
        return probe.getsockname()[1]


def free_ports(count):
    """Distinct ports that are free for TCP and UDP."""
    held = []
    ports = []
    while len(ports) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tcp.bind((IP, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind((IP, port))
            ports.append(port)
        except OSError:
            pass
        held += [tcp, udp]
    for sock in held:
        sock.close()
    return ports


# HTTP


async def read_head(reader):
    """Returns the start line and the fields (lower-case names), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Request:
    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        self.fields = fields
        self.body = body


class HttpServer:
    """Serves one request at a time on each connection. `handle(request, writer)` writes the answer."""

    def __init__(self, handle):
        self.handle = handle
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, IP, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                work = asyncio.ensure_future(self.handle(Request(method, target, head[1], body), writer))
                # A server drops a request when its connection closes.
                closed = asyncio.ensure_future(wait_closed(reader))
                await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    return
                closed.cancel()
                work.result()
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def wait_closed(reader):
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


def answer(writer, status, body=b"", fields=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
        fields = list(fields) + [("Content-Type", "application/json")]
    head = "HTTP/1.1 %d x\r\n" % status
    for name, value in fields:
        head += "%s: %s\r\n" % (name, value)
    writer.write((head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body)


# The platform's store


class Store:
    """Objects by kind and name, with revisions and watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)

    async def start(self):
        await self.http.start()
        return self

    async def put(self, kind, name, spec):
        """A write of the operator or of a server; returns when it is acknowledged."""
        self.revision += 1
        known = self.kinds.setdefault(kind, {}).get(name)
        created = known["metadata"]["created"] if known else self.revision
        self.kinds[kind][name] = {
            "metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                         "deleting": False},
            "spec": spec, "status": known["status"] if known else None}
        await self.publish(kind, self.kinds[kind][name], False)
        self.record("store: %s/%s written" % (kind, name))

    async def remove(self, kind, name):
        self.revision += 1
        known = self.kinds[kind].pop(name)
        gone = dict(known, metadata=dict(known["metadata"], revision=self.revision))
        await self.publish(kind, gone, True)
        self.record("store: %s/%s removed" % (kind, name))

    async def publish(self, kind, obj, removed):
        self.events.append((self.revision, kind, obj, removed))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def handle(self, request, writer):
        parts = [part for part in request.path.split("/") if part]
        if len(parts) < 2 or parts[0] != "objects":
            answer(writer, 404)
            return
        kind = parts[1]
        if len(parts) == 2 and request.method == "GET":
            if "watch" in request.query:
                await self.watch(kind, request, writer)
            else:
                items = [item for _, item in sorted(self.kinds.get(kind, {}).items())]
                after = request.query.get("after", "")
                items = [item for item in items if item["metadata"]["name"] > after]
                answer(writer, 200, {"items": items[:500], "has_more": len(items) > 500,
                                     "current_rev": self.revision})
            return
        if len(parts) == 2 and request.method == "POST":
            body = json.loads(request.body)
            name = body["metadata"]["name"]
            if name in self.kinds.get(kind, {}):
                answer(writer, 409, self.kinds[kind][name])
                return
            await self.put(kind, name, body.get("spec"))
            answer(writer, 201, self.kinds[kind][name])
            return
        known = self.kinds.get(kind, {}).get(parts[2])
        if known is None:
            answer(writer, 404)
        elif request.method == "GET":
            answer(writer, 200, known)
        else:
            body = json.loads(request.body) if request.body else {}
            named = body.get("metadata", {}).get("revision", request.query.get("revision"))
            if named is not None and int(named) != known["metadata"]["revision"]:
                answer(writer, 409, known)
            elif request.method == "DELETE":
                await self.remove(kind, parts[2])
                answer(writer, 200, known)
            else:
                if known["spec"] != body.get("spec"):
                    await self.put(kind, parts[2], body.get("spec"))
                answer(writer, 200, self.kinds[kind][parts[2]])

    async def watch(self, kind, request, writer):
        since = int(request.query["watch"])
        until = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000

        def news():
            return [{"object": obj, "removed": removed}
                    for revision, of_kind, obj, removed in self.events if of_kind == kind and revision > since]

        while not news() and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        answer(writer, 200, {"events": news(), "current_rev": self.revision})


# Servers


class PlainServer:
    """Runs a request in `work_s` and answers with a body of its own."""

    def __init__(self, record, store, service, name, zone, slots=6, work_s=0.01):
        self.record, self.store, self.service, self.name, self.zone = record, store, service, name, zone
        self.slots, self.work_s = slots, work_s
        self.http = HttpServer(self.handle)
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, request id, fields)

    async def start(self):
        await self.http.start()
        await self.write_entry("ready")
        return self

    def entry(self, state):
        self.seq += 1
        return {"service": self.service, "address": "%s:%d" % (IP, self.http.port), "zone": self.zone,
                "version": "1", "slots": self.slots, "state": state, "cold_left_ms": 0, "seq": self.seq,
                "born": self.born}

    async def write_entry(self, state):
        await self.store.put("servers", self.name, self.entry(state))

    async def handle(self, request, writer):
        request_id = request.fields.get("request-id", "")
        if request.fields.get("expect-instance", self.name) != self.name:
            answer(writer, 421, b"", [("Request-Id", request_id), ("Instance-Id", self.name)])
            return
        self.runs.append((now(), request_id, request.fields))
        self.record("server %s runs %s" % (self.name, request_id))
        await asyncio.sleep(self.work_s)
        self.reply(request, writer)

    def reply(self, request, writer):
        request_id = request.fields.get("request-id", "")
        answer(writer, 200, ("answer to %s" % request_id).encode(),
               [("Request-Id", request_id), ("Server-Seal", "seal.%s.%s" % (self.name, request_id)),
                ("Keep-Alive", "timeout=10")])


class ModelServer(PlainServer):
    """A model server: keeps the parts of prompts under their salt, and answers with a stream of events."""

    def __init__(self, *args, model="model-1", weights=1, **options):
        super().__init__(*args, **options)
        self.model, self.weights = model, weights
        self.parts = {}  # (salt, id): (tokens, tenant, weights)
        self.used = []  # (time, request id, tenant, tenant that made the part, part id, salt, weights)
        self.epoch = 7
        self.events = []
        self.orders = []  # (time, holder, fence, version, status)
        self.order_seq = 0
        self.fence = 0
        self.busy = False

    def entry(self, state):
        return dict(super().entry(state), stage="both",
                    models=[{"name": self.model, "version": self.weights, "adapters": []}])

    def stated(self, body):
        return dict(body, born=self.born, clock_ms=int(time.time() * 1000))

    async def handle(self, request, writer):
        if request.path == "/report":
            answer(writer, 200, self.stated({
                "stage": "both", "models": [{"name": self.model, "version": self.weights, "adapters": []}],
                "busy": self.busy, "seq": self.order_seq, "queued": 0, "running": 0, "kv_used": 0,
                "kv_total": 70000, "handles": 0, "state": "ready", "next": 0, "runs": []}))
        elif request.path == "/kv-events":
            await self.answer_events(request, writer)
        elif request.path == "/kv-list":
            held = [[salt, part, value[0], self.model] for (salt, part), value in self.parts.items()]
            answer(writer, 200, self.stated({"epoch": self.epoch, "next": len(self.events) + 1, "held": held}))
        elif request.path == "/order":
            await self.take_order(request, writer)
        else:
            await self.run(request, writer)

    async def answer_events(self, request, writer):
        since = int(request.query.get("since", "1"))
        until = time.monotonic() + min(1000, int(request.fields.get("wait-ms", "0"))) / 1000
        while since > len(self.events) and time.monotonic() < until:
            await asyncio.sleep(0.02)
        following = len(self.events) + 1
        events = [] if since > following else self.events[max(0, since - 1):]
        answer(writer, 200, self.stated({"epoch": self.epoch, "next": following, "lost": since > following,
                                         "events": events}))

    def hold(self, salt, part, tokens, tenant, weights):
        if (salt, part) not in self.parts:
            self.parts[(salt, part)] = (tokens, tenant, weights)
            self.events.append([len(self.events) + 1, "+", salt, part, tokens, self.model])

    async def take_order(self, request, writer):
        body = json.loads(request.body)
        status = 202
        if request.fields.get("expect-instance", self.name) != self.name:
            status = 421
        elif body["fence"] < self.fence:
            status = 412
        elif self.busy or body.get("expect", self.order_seq) != self.order_seq:
            status = 409
        elif body["version"] == self.weights:
            status = 200
        self.record("server %s: order of %s, fence %s, version %s: %d" %
                    (self.name, body["holder"], body["fence"], body["version"], status))
        self.orders.append((now(), body["holder"], body["fence"], body["version"], status))
        if status in (200, 202):
            self.fence = max(self.fence, body["fence"])
        if status == 202:
            self.order_seq += 1
            self.busy = True
            asyncio.ensure_future(self.load(body["version"]))
        answer(writer, status, self.stated({}))

    async def load(self, version):
        await asyncio.sleep(0.8)
        self.weights = version
        self.parts.clear()
        self.busy = False
        self.epoch += 1
        self.events.clear()
        await self.write_entry("ready")

    async def run(self, request, writer):
        fields = request.fields
        request_id = fields.get("request-id", "")
        if (fields.get("expect-instance", self.name) != self.name or
                int(fields.get("expect-version", self.weights)) != self.weights):
            answer(writer, 421, b"", [("Request-Id", request_id), ("Instance-Id", self.name),
                                      ("Weight-Versions", self.weights)])
            return
        salt, tenant = fields.get("cache-salt", ""), fields.get("tenant", "")
        self.runs.append((now(), request_id, fields))
        self.record("server %s runs %s of tenant %s under salt %s" % (self.name, request_id, tenant, salt))
        whole = True
        for part in [item for item in fields.get("prompt-prefix", "").split(",") if item]:
            part_id, _, tokens = part.partition(":")
            if whole and (salt, part_id) in self.parts:
                _, maker, weights = self.parts[(salt, part_id)]
                self.used.append((now(), request_id, tenant, maker, part_id, salt, weights))
                self.record("server %s: %s of tenant %s uses part %s that tenant %s made" %
                            (self.name, request_id, tenant, part_id, maker))
                continue
            whole = False
            self.hold(salt, part_id, int(tokens), tenant, self.weights)
        await asyncio.sleep(self.work_s)
        head = ("HTTP/1.1 200 x\r\nRequest-Id: %s\r\nServer-Seal: seal.%s.%s\r\nContent-Type: text/event-stream\r\n"
                "Weight-Versions: %d\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n" %
                (request_id, self.name, request_id, self.weights))
        first = int(fields.get("last-event-id", "0")) + 1
        body = b""
        for number in range(first, 5):
            event = ("id: %d\ndata: %s.%d\n\n" % (number, request_id, number)).encode()
            body += b"%x\r\n%s\r\n" % (len(event), event)
        writer.write(head.encode() + body + b"0\r\n\r\n")


async def heartbeats(servers):
    """Servers write their entries at each heartbeat; only `seq` changes."""
    while True:
        await asyncio.sleep(HEARTBEAT_MS / 1000)
        for server in servers:
            known = server.store.kinds["servers"].get(server.name)
            if known is not None:
                server.seq += 1
                known["spec"]["seq"] = server.seq


# Gateways


class Gateway:
    """A process of the deploy file's role, with the settings that its template gives a small deployment."""

    def __init__(self, record, folder, name, zone, store_port, first_peers=()):
        self.record, self.folder, self.name, self.zone = record, folder, name, zone
        self.store_port = store_port
        self.callers, self.ready, self.peers, self.metrics = free_ports(4)
        self.first_peers = list(first_peers)
        self.process = None

    def write_settings(self):
        path = os.path.join(self.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write("""name: %s
zone: %s
callers: %s:%d
ready: %s:%d
peers: %s:%d
metrics: %s:%d
store: %s:%d
first_peers: [%s]
link_mbps: 1000
memory_mb: 260
bounds:
  stop_limit: 8s
  registration_interval: %dms
  lease_term: 3000ms
  engines_check_fences: true
  version_limit: 10000ms
  repeat_ratio: 0.2
  repeat_extra: 58
  repeat_window: 10s
  cold_overage: 1.5
  cold_slack: 5
""" % (self.name, self.zone, IP, self.callers, IP, self.ready, IP, self.peers, IP, self.metrics, IP, self.store_port,
       ", ".join("%s:%d" % (IP, port) for port in self.first_peers), HEARTBEAT_MS))
        return path

    async def start(self):
        program = os.environ.get("GATEWAY_PROGRAM", os.path.join(ROOT, "target", "bluebellstep"))
        if not os.access(program, os.X_OK):
            raise CannotRun("target/bluebellstep is not built")
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(program, "gateway", "--settings", self.write_settings(),
                                                            stdout=log, stderr=log, cwd=ROOT)
        self.record("gateway %s started" % self.name)
        return self

    def signal(self, number):
        self.record("gateway %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ready, "GET", "/ready", timeout=1)
            return status == 200
        except (OSError, asyncio.TimeoutError, ValueError):
            return False

    async def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun("gateway %s ended" % self.name)
            if await self.is_ready():
                self.record("gateway %s is ready" % self.name)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("gateway %s is not ready" % self.name)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


# Clients


async def call(port, method, target, fields=(), body=b"", timeout=5):
    """Sends one request on a connection of its own. Returns status, fields and body; status 0: no whole answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(IP, port)
        try:
            head = "%s %s HTTP/1.1\r\n" % (method, target)
            names = [name.lower() for name, _ in fields]
            if "host" not in names:
                head += "Host: %s:%d\r\n" % (IP, port)
            for name, value in fields:
                head += "%s: %s\r\n" % (name, value)
            if body or method == "POST":
                head += "Content-Length: %d\r\n" % len(body)
            writer.write((head + "\r\n").encode() + body)
            answered = await read_head(reader)
            if answered is None:
                return 0, {}, b""
            status = int(answered[0].split(" ")[1])
            try:
                return status, answered[1], await read_body(reader, answered[1])
            except (asyncio.IncompleteReadError, ConnectionError):
                return 0, answered[1], b""
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


class Client:
    """Sends requests of one tenant. Each has an id of its own."""

    counter = 0

    def __init__(self, record, key, host="shop.example"):
        self.record, self.key, self.host = record, key, host

    async def send(self, port, target, fields=(), body=b"", method="POST", deadline_ms=4000, timeout=5):
        Client.counter += 1
        request_id = "%016x" % (0x9c41d07be2a30000 + Client.counter)
        self.record("client sends %s (%s) to port %d" % (request_id, target, port))
        try:
            status, answered, content = await call(
                port, method, target,
                [("Host", self.host), ("Request-Id", request_id), ("Deadline-Ms", str(deadline_ms)),
                 ("Credential", self.key)] + list(fields), body, timeout)
        except (OSError, asyncio.TimeoutError) as error:
            status, answered, content = 0, {}, str(error).encode()
        self.record("client gets %d for %s%s" % (status, request_id, "" if status == 200 else " " + repr(content[:80])))
        return request_id, status, answered, content


# A small deployment


def configuration(version, routes=None, tenants=None, services=None):
    """The configuration of a small deployment: one service of model servers, and one plain service."""
    stream = {"name": "r-ask", "host": "shop.example", "path_prefix": "/ask/", "kind": "streaming",
              "timeout_ms": 4000, "goal_ms": 400, "priority": 0, "service": "llm", "max_attempts": 1,
              "public": False, "sticky": True, "resumable": False, "gap_target_ms": 300}
    draft = dict(stream, name="r-draft", path_prefix="/draft/", timeout_ms=8000, goal_ms=600, max_attempts=2,
                 resumable=True, priority=1)
    order = {"name": "r-order", "host": "shop.example", "path_prefix": "/order/", "kind": "unsafe",
             "timeout_ms": 3000, "goal_ms": 300, "priority": 2, "service": "desk", "max_attempts": 1,
             "public": False, "sticky": False, "resumable": False}
    look = dict(order, name="r-look", path_prefix="/look/", kind="safe", max_attempts=2)
    engine = {"slots": 64, "kv_capacity": 74208, "kv_token_bytes": 18432, "link_mbps": 180000.0, "moves": True,
              "backups": True, "managed": True, "stride": 6, "max_inflight": 12, "pin_ms": 4000.0,
              "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "model-1"}]}
    llm = {"name": "llm", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": False,
           "cold_s": 3.0, "cold_per_s": 33.0, "engine": engine}
    desk = {"name": "desk", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False,
            "cold_s": 0.0, "cold_per_s": 0.0}
    return {"version": version, "routes": routes or [stream, draft, order, look],
            "services": services or [llm, desk],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": tenants or [{"name": "tenant-a", "api_keys": ["key-a"], "priority": 1},
                                   {"name": "tenant-b", "api_keys": ["key-b"], "priority": 1}]}


async def start_gateways(record, folder, started, store_port, zones):
    """Starts one gateway for each zone named in `zones`, and waits until all are ready."""
    gateways = [Gateway(record, folder, "front-%s-%d" % (zone, number), zone, store_port)
                for number, zone in enumerate(zones, 1)]
    for gateway in gateways:
        gateway.first_peers = [other.peers for other in gateways][:3]
        started.append(gateway)
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    return gateways


# A run


def run(main, folder):
    """Runs `main(record, temporary_folder, started)`. It returns a list of breaches. `started` is a list to which it
    adds all gateways, which are ended in any case."""
    record = Record(os.path.join(folder, "record.txt"))
    started = []

    async def body():
        with tempfile.TemporaryDirectory() as temporary:
            try:
                return await asyncio.wait_for(main(record, temporary, started), 110)
            finally:
                for gateway in started:
                    await gateway.stop()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    os.makedirs(keep, exist_ok=True)
                    for name in os.listdir(temporary):
                        with open(os.path.join(temporary, name), "rb") as source, \
                                open(os.path.join(keep, name), "wb") as target:
                            target.write(source.read())

    try:
        breaches = asyncio.run(body())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record("cannot run: %r" % error)
        print("cannot run: %r" % error)
        sys.exit(2)
    for breach in breaches:
        record("BROKEN: " + breach)
        print("BROKEN: " + breach)
    record("the rule was broken" if breaches else "the rule held")
    print("the rule was broken" if breaches else "the rule held")
    sys.exit(1 if breaches else 0)
