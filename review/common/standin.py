"""Stand-ins for the users' platform: the metadata store, servers and clients, and a gateway runner.

Uses the Python standard library only. Everything listens on 127.0.0.1 and ports chosen by the kernel.
"""

import asyncio
import json
import logging
import os
import random
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import time

# A write to a connection that its peer has reset is part of the cases.
logging.getLogger("asyncio").setLevel(logging.CRITICAL)

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PRODUCT = os.path.join(ROOT, "target", "bluebellstep")
HOST = "shop.example"
KEY = "key-1"
TENANT = "acme"
MODEL = "clerk"
# Bounds of the deployment namsan-hq, as the settings of a gateway state them.
BOUNDS = """bounds:
  stop_limit: 8s
  lease_term: 3000ms
  engines_check_fences: true
  version_limit: 10000ms
  repeat_ratio: 0.2
  repeat_extra: 58
  repeat_window: 10s
  cold_overage: 1.5
  cold_slack: 5
"""
DRAIN_S = 2.0  # drain_ms


class Record:
    """record.txt: what was sent, answered and run, with the time in seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


def free_port():
    """Returns a port that is free for TCP and UDP, below those that the kernel gives to connections."""
    while True:
        port = random.randint(20000, 30000)
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue


async def read_message(reader):
    """Returns (start line, headers, body), or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
            body += chunk
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def encode_response(status, headers, body):
    text = f"HTTP/1.1 {status} X\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Resets the connection instead of closing it."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's metadata store. An object's spec is kept as JSON text, as its writer sent it."""

    PAGE = 500

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.objects = {}  # kind -> name -> (revision, spec text)
        self.events = []  # (revision, kind, name, removed, object text)
        self.changed = asyncio.Condition()
        self.waiting = {}  # task -> kind, of watches that wait
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 24, backlog=512)
        self.port = server.sockets[0].getsockname()[1]

    @staticmethod
    def _text(name, revision, spec):
        metadata = {"name": name, "revision": revision, "created": 1, "finalizers": [], "deleting": False}
        return '{"metadata":' + json.dumps(metadata) + ',"spec":' + spec + ',"status":null}'

    async def put(self, kind, name, spec):
        """Creates or replaces an object. `spec` is JSON text or a value."""
        if not isinstance(spec, str):
            spec = json.dumps(spec)
        self.revision += 1
        self.objects.setdefault(kind, {})[name] = (self.revision, spec)
        self.events.append((self.revision, kind, name, False, self._text(name, self.revision, spec)))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def remove(self, kind, name):
        _, spec = self.objects[kind].pop(name)
        self.revision += 1
        self.events.append((self.revision, kind, name, True, self._text(name, self.revision, spec)))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    def cut_waiting_watches(self):
        """Closes the connections of the watches that wait now. Returns their kinds."""
        kinds = sorted(set(self.waiting.values()))
        for task in list(self.waiting):
            task.cancel()
        return kinds

    async def _serve(self, reader, writer):
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ", 2)
                answer = await self._answer(method, target, body)
                if answer is None:
                    break
                status, text = answer
                writer.write(encode_response(status, {"Content-Type": "application/json"}, text.encode("utf-8")))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        path, _, query_text = target.partition("?")
        query = dict(item.partition("=")[::2] for item in query_text.split("&") if item)
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) < 2:
            return 404, "{}"
        kind = parts[1]
        known = self.objects.setdefault(kind, {})
        if len(parts) == 2 and method == "GET":
            return await self._watch(kind, query) if "watch" in query else self._list(known, query)
        if len(parts) == 2 and method == "POST":
            sent = json.loads(body)
            name = sent["metadata"]["name"]
            if name in known:
                return 409, self._text(name, *known[name])
            await self.put(kind, name, sent.get("spec"))
            return 200, self._text(name, *known[name])
        name = parts[2]
        if name not in known:
            return 404, "{}"
        if method == "PUT":
            sent = json.loads(body)
            wanted = sent.get("metadata", {}).get("revision")
            if wanted is not None and wanted != known[name][0]:
                return 409, self._text(name, *known[name])
            if json.dumps(sent.get("spec")) != known[name][1]:
                await self.put(kind, name, sent.get("spec"))
            return 200, self._text(name, *known[name])
        if method == "DELETE":
            if "revision" in query and int(query["revision"]) != known[name][0]:
                return 409, self._text(name, *known[name])
            text = self._text(name, *known[name])
            await self.remove(kind, name)
            return 200, text
        return 200, self._text(name, *known[name])

    def _list(self, known, query):
        names = sorted(name for name in known if name > query.get("after", ""))
        page = names[: self.PAGE]
        items = ",".join(self._text(name, *known[name]) for name in page)
        more = "true" if len(names) > len(page) else "false"
        return 200, f'{{"items":[{items}],"has_more":{more},"current_rev":{self.revision}}}'

    async def _watch(self, kind, query):
        since = int(query["watch"])
        wait = min(30.0, int(query.get("wait_ms", "30000")) / 1000)

        def news():
            return [e for e in self.events if e[0] > since and e[1] == kind]

        task = asyncio.current_task()
        if not news():
            self.waiting[task] = kind
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait_for(news), wait)
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiting.pop(task, None)
        events = ",".join(f'{{"removed":{json.dumps(e[3])},"object":{e[4]}}}' for e in news())
        return 200, f'{{"events":[{events}],"current_rev":{self.revision}}}'


class Proxy:
    """A link to `port` that can be cut: while it is, bytes are held up, as in a partition."""

    def __init__(self, port):
        self.target = port
        self.port = None
        self.up = asyncio.Event()
        self.up.set()

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]

    def cut(self):
        self.up.clear()

    def heal(self):
        self.up.set()

    async def _serve(self, reader, writer):
        await self.up.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            reset(writer)
            return
        await asyncio.gather(self._copy(reader, far_writer), self._copy(far_reader, writer))

    async def _copy(self, reader, writer):
        try:
            while piece := await reader.read(65536):
                await self.up.wait()
                writer.write(piece)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        await self.up.wait()
        writer.close()


def route(name, kind, service, **more):
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": 8000, "goal_ms": 600,
            "priority": 1, "service": service, "max_attempts": 2 if kind == "safe" else 1, "public": False,
            "sticky": kind == "streaming", "resumable": False, "gap_target_ms": 300, **more}


def config(version=1, **limits):
    engine = {"slots": 64, "kv_capacity": 70494, "kv_token_bytes": 18432, "link_mbps": 180000.0, "managed": True,
              "max_inflight": 12, "models": [{"name": MODEL}]}
    return {"version": version,
            "routes": [route("orders", "unsafe", "desk", timeout_ms=1500, goal_ms=300),
                       route("lookups", "safe", "desk", timeout_ms=1500, goal_ms=300),
                       route("drafts", "streaming", "llm", resumable=True, max_attempts=2),
                       route("asks", "streaming", "llm", timeout_ms=4000, goal_ms=400)],
            "services": [{"name": "desk", "health_path": "/health", "max_conns": 110, "cold_s": 0.0, "cold_per_s": 0.0},
                         {"name": "llm", "health_path": "/health", "max_conns": 370, "cold_s": 3.0, "cold_per_s": 0.0,
                          "engine": engine}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000, **limits},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}]}


class Server:
    """An application server, or a model server if `engine`. Work takes `work_s`; a stream has `events` events."""

    def __init__(self, record, server_id, service, engine=False, work_s=0.05, events=4, zone="kr-central-a"):
        self.record = record
        self.id = server_id
        self.service = service
        self.engine = engine
        self.work_s = work_s
        self.events = events
        self.zone = zone
        self.runs = {}  # request id -> count
        self.arrivals = []  # (time, request id)
        self.connections = set()
        self.server = None
        self.port = None
        self.accepts = True  # False: resets each new connection

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, **more):
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                 "slots": 64 if self.engine else 6, "state": "ready", "cold_left_ms": 0, "seq": 0, "born": 1780000000000}
        if self.engine:
            entry.update(stage="both", models=[{"name": MODEL, "version": 1, "adapters": []}])
        return {**entry, **more}

    def exit(self):
        """Ends like a process: the port is closed and connections break."""
        self.server.close()
        for writer in list(self.connections):
            reset(writer)

    async def _serve(self, reader, writer):
        if not self.accepts:
            reset(writer)
            return
        self.connections.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                await self.answer(start, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, start, headers, body, writer):
        target = start.split(" ")[1]
        if target.startswith("/report"):
            report = {"stage": "both", "models": [{"name": MODEL, "version": 1, "adapters": []}], "busy": False, "seq": 0,
                      "queued": 0, "running": 0, "kv_used": 0, "kv_total": 70494, "handles": 0, "born": 1780000000000}
            writer.write(encode_response(200, {"Content-Type": "application/json"}, json.dumps(report).encode()))
            return
        if target.startswith("/kv-events"):
            await asyncio.sleep(min(1.0, int(headers.get("wait-ms", "0")) / 1000))
            news = {"epoch": 1, "next": 1, "lost": False, "events": [], "clock_ms": int(time.time() * 1000)}
            writer.write(encode_response(200, {"Content-Type": "application/json"}, json.dumps(news).encode()))
            return
        request_id = headers.get("request-id", "")
        echo = {"Request-Id": request_id, "Instance-Id": self.id}
        if not request_id:
            writer.write(encode_response(400, {"Not-Executed": "1"}, b""))
            return
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(encode_response(421, echo, b""))
            return
        self.arrivals.append((self.record.now(), request_id))
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record.line(f"server {self.id} runs {request_id}")
        await self.run(request_id, headers, body, writer, {**echo, "Server-Seal": f"seal-{self.id}-{request_id}"})

    async def run(self, request_id, headers, body, writer, sealed):
        if not self.engine:
            await asyncio.sleep(self.work_s)
            writer.write(encode_response(200, sealed, f"done {request_id}".encode()))
            return
        await asyncio.sleep(self.work_s)
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in sealed.items())
        writer.write((head + "Weight-Versions: 1\r\n\r\n").encode())
        for event in range(int(headers.get("last-event-id", "0")) + 1, self.events + 1):
            text = f"id: {event}\ndata: {request_id}-{event}\n\n"
            writer.write(f"{len(text):x}\r\n{text}\r\n".encode())
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, record, folder, name, zone, store_port):
        self.record = record
        self.name = name
        self.zone = zone
        self.store_port = store_port
        self.settings = os.path.join(folder, f"{name}.yaml")
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None
        self.ports = {}
        self.choose_ports()

    def choose_ports(self):
        self.ports = {key: free_port() for key in ("callers", "ready", "peers", "metrics")}
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f"name: {self.name}\nzone: {self.zone}\n")
            for key, port in self.ports.items():
                file.write(f"{key}: 127.0.0.1:{port}\n")
            file.write(f"store: 127.0.0.1:{self.store_port}\n")
            file.write(f"first_peers: [127.0.0.1:{self.ports['peers']}]\nlink_mbps: 1000.0\n" + BOUNDS)

    def start(self):
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen([PRODUCT, "gateway", "--settings", self.settings], cwd=ROOT, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        self.record.line(f"gateway {self.name} started, pid {self.process.pid}")

    def signal(self, number):
        self.process.send_signal(number)

    def ended(self):
        """Returns the exit status, negative for a signal, or None while it runs."""
        return self.process.poll()

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["ready"])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            start, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return " 200 " in start + " "
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit_s):
        """Waits until the gateway is ready. Starts it once more on other ports if it ended, as when a port was taken."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.ready():
                return True
            if self.ended() is not None:
                self.record.line(f"gateway {self.name} ended at its start, status {self.ended()}: {self.last_log_line()}")
                self.choose_ports()
                self.start()
            await asyncio.sleep(0.1)
        self.record.line(f"gateway {self.name} isn't ready: {self.last_log_line()}")
        return False

    def last_log_line(self):
        with open(self.log, encoding="utf-8", errors="replace") as log:
            return (log.read().strip().splitlines() or ["no log"])[-1][:200]

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def send(gateway, path, request_id, record, method="POST", headers=None, body=b"x", limit_s=10, quiet=False):
    """Sends a request on a new connection. Returns (status, body); status 0 if the connection ended before a whole answer."""
    fields = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "8000", "Credential": KEY, "Connection": "close"}
    fields.update(headers or {})
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    head += f"Content-Length: {len(body)}\r\n\r\n"
    if not quiet:
        record.line(f"client sends {request_id} {method} {path} to {gateway.name}")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", gateway.ports["callers"]), 1)
        writer.write(head.encode() + body)
        start, answered, answer = await asyncio.wait_for(read_message(reader), limit_s)
        status = int(start.split(" ")[1])
        result = (status, answer.decode("utf-8", "replace"), answered)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as fault:
        result = (0, type(fault).__name__, {})
    finally:
        if writer is not None:
            writer.close()
    if not quiet:
        record.line(f"client gets {request_id} {result[0] or 'no whole answer'} {result[1][:60]!r}")
    return result


class KeptConnection:
    """A client's connection that carries one request after the other."""

    def __init__(self, gateway, record):
        self.gateway = gateway
        self.record = record
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.gateway.ports["callers"])

    async def request(self, path, request_id, headers=None, body=b"x", method="POST", limit_s=10):
        """Returns the status; 0 if the connection ended before a whole answer."""
        fields = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "1500", "Credential": KEY, **(headers or {})}
        head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        self.record.line(f"client sends {request_id} on a kept connection to {self.gateway.name}")
        try:
            self.writer.write(head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            start, _, _ = await asyncio.wait_for(read_message(self.reader), limit_s)
            status = int(start.split(" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = 0
        self.record.line(f"client gets {request_id} {status or 'the end of the connection'}")
        return status

    def close(self):
        if self.writer is not None:
            self.writer.close()


def prompt_headers(parts, deadline_ms=8000):
    """Headers of a prompt with `parts`, pairs of a hexadecimal id and a number of tokens."""
    tokens = sum(count for _, count in parts)
    return {"Model": MODEL, "Token-Usage": f"{tokens},20", "Deadline-Ms": str(deadline_ms),
            "Prompt-Prefix": ",".join(f"{part}:{count}" for part, count in parts)}


def main(folder, case):
    """Runs `case(record, temporary folder, trouble)`, a coroutine that returns a list of breaches, or None if it couldn't
    run. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"trouble: {trouble}")
    if not os.access(PRODUCT, os.X_OK):
        record.line("target/bluebellstep is missing: build by the deploy file first")
        sys.exit(2)
    gateways = []
    code = 2
    with tempfile.TemporaryDirectory() as scratch:
        async def run():
            return await asyncio.wait_for(case(record, scratch, trouble, gateways), 110)
        try:
            breaches = asyncio.new_event_loop().run_until_complete(run())
            if breaches is None:
                record.line("result: could not run")
            else:
                code = 1 if breaches else 0
                for breach in breaches:
                    record.line(f"breach: {breach}")
                record.line("result: " + ("rule broken" if breaches else "rule held"))
        except Exception as fault:  # The record must tell why the case did not run.
            record.line(f"result: could not run: {fault!r}")
        finally:
            for gateway in gateways:
                gateway.stop()
            keep_logs(gateways)
    print({0: "rule held", 1: "rule broken", 2: "could not run"}[code], flush=True)
    # Without the clean-up of asyncio, which complains of connections that are still open.
    os._exit(code)


def keep_logs(gateways):
    """Copies the logs of the gateways to the folder that $KEEP_LOGS names."""
    folder = os.environ.get("KEEP_LOGS")
    if folder:
        os.makedirs(folder, exist_ok=True)
        for gateway in gateways:
            shutil.copy(gateway.log, os.path.join(folder, gateway.name + ".log"))
