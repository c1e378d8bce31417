"""A gateway gets SIGTERM while clients upload prompts. See claim.txt."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from standin import HOST, KEY, Gateway, Server, Store, config, main, prompt_headers  # noqa: E402

GRACE_S = 8.0
BODY = 170_000  # Bytes; prompts of the site have up to 200,000.
UPLOAD_S = 3.0
CONNECT_AFTER_S = 1.5  # After SIGTERM; the balancer takes a gateway out after two misses, one question a second.
EVENTS = 13
GAP_S = 0.2  # 2.6 s for a stream, no pause above 300 ms.


class Engine(Server):
    async def run(self, request_id, headers, body, writer, sealed):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in sealed.items())
        writer.write((head + "Weight-Versions: 1\r\n\r\n").encode())
        for event in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
            await asyncio.sleep(GAP_S)
            text = f"id: {event}\ndata: {request_id}-{event}\n\n"
            writer.write(f"{len(text):x}\r\n{text}\r\n".encode())
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.record.line(f"server {self.id} ends {request_id}")


async def case(record, scratch, trouble, gateways):
    store = Store(record)
    await store.start()
    engines = [Engine(record, f"llm-{i}", "llm", engine=True) for i in range(3)]
    desk = Server(record, "desk-0", "desk")
    for server in [*engines, desk]:
        await server.start()
        await store.put("servers", server.id, server.entry())
    await store.put("config", "main", config())
    for name, zone in (("front-kr-central-a-1", "kr-central-a"), ("front-kr-central-c-1", "kr-central-c")):
        gateways.append(Gateway(record, scratch, name, zone, store.port))
        gateways[-1].start()
    for gateway in gateways:
        if not await gateway.wait_ready(10):
            return None
    await asyncio.sleep(6)  # Longer than contact_ms.

    gateway = gateways[0]
    stopped_at = record.now()
    if trouble:
        gateway.signal(signal.SIGTERM)
    record.line(f"{gateway.name}: SIGTERM" if trouble else f"{gateway.name}: no SIGTERM")
    breaches = []

    async def upload(number, path):
        await asyncio.sleep(CONNECT_AFTER_S)
        request_id = f"prompt-{number}"
        fields = {"Host": HOST, "Request-Id": request_id, "Credential": KEY,
                  **prompt_headers([(f"{number:08x}", 60), (f"{number + 1000:08x}", 40)])}
        head = f"POST {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports["callers"])
        record.line(f"client connects and sends the head of {request_id}, {record.now() - stopped_at:.2f} s after SIGTERM")
        writer.write(head.encode() + f"Content-Length: {BODY}\r\n\r\n".encode())
        for _ in range(30):
            await asyncio.sleep(UPLOAD_S / 30)
            writer.write(b"x" * (BODY // 30))
        writer.write(b"x" * (BODY % 30))
        await writer.drain()
        sent_at = record.now() - stopped_at
        record.line(f"client has sent the last byte of {request_id}, {sent_at:.2f} s after SIGTERM")
        answer = b""
        try:
            while True:
                piece = await asyncio.wait_for(reader.read(65536), 10)
                answer += piece
                if not piece or answer.endswith(b"0\r\n\r\n") or (b"\r\n\r\n" in answer and not answer.startswith(b"HTTP/1.1 200")):
                    break
        except (OSError, asyncio.TimeoutError):
            pass
        writer.close()
        ended_at = record.now() - stopped_at
        status = answer[9:12].decode("latin-1") or "none"
        whole = answer.endswith(b"0\r\n\r\n") or (status not in ("200", "none") and b"\r\n\r\n" in answer)
        record.line(f"client: {request_id} status {status}, {answer.count(b'data: ')} events, "
                    f"{'whole' if whole else 'cut off'}, {ended_at:.2f} s after SIGTERM")
        ran = any(request_id in engine.runs for engine in engines)
        if not whole and ran and ended_at < GRACE_S:
            breaches.append(f"LOST: {request_id} was read whole and passed on {sent_at:.2f} s after SIGTERM, and cut off at {ended_at:.2f} s")

    await asyncio.gather(*[upload(n, "/asks/x" if n % 2 else "/drafts/x") for n in range(6)])
    await asyncio.sleep(1)
    record.line(f"{gateway.name}: exit status {gateway.ended()}")
    return breaches


main(FOLDER, case)
