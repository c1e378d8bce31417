"""Model servers spoil some of their answers; gateways end by themselves and cut off requests to sound servers."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))
import kit  # noqa: E402

# `garble`: half of the servers spoil 2 in 100 of their answers, for 5 s. It comes three times.
SPOILED_SHARE = 0.02
GARBLE_S = 5.0
GARBLE_AT_S = (4.0, 14.0, 24.0)
LENGTH_S = 32.0
RESTART_DELAY_S = 0.5
MAX_LOST = 3


class SpoilingWriter:
    """Changes one byte in the head of some answers: a digit of the length, or a letter of the coding."""

    def __init__(self, writer, server):
        self.writer, self.server = writer, server

    def write(self, data):
        if data.startswith(b"HTTP/1.1 ") and self.server.spoils():
            lines = data.split(b"\r\n")
            for number, line in enumerate(lines):
                if line.lower().startswith((b"content-length:", b"transfer-encoding:")):
                    lines[number] = line[:-1] + b"x"
                    break
            data = b"\r\n".join(lines)
            self.server.record("server %s spoils an answer: %r" % (self.server.name, data[:100]))
        self.writer.write(data)


class FaultyModelServer(kit.ModelServer):
    dice = random.Random(20)
    windows = []

    def spoils(self):
        return (any(start <= kit.now() < start + GARBLE_S for start in self.windows) and
                self.dice.random() < SPOILED_SHARE)

    async def handle(self, request, writer):
        await super().handle(request, SpoilingWriter(writer, self))


class KeptConnection:
    """A client with one kept connection, which sends its next order after each answer."""

    def __init__(self, record, gateway, number):
        self.record, self.gateway, self.number = record, gateway, number
        self.sent, self.answered, self.cut = 0, 0, []

    async def run(self, until):
        while kit.now() < until:
            try:
                reader, writer = await asyncio.open_connection(kit.IP, self.gateway.callers)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            served = 0  # On this connection; a request after the first one comes from a kept connection.
            while kit.now() < until:
                self.sent += 1
                request_id = "%04x%012x" % (self.number, self.sent)
                writer.write(("POST /order/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n"
                              "Credential: key-a\r\nContent-Length: 3\r\n\r\nkit" % request_id).encode())
                try:
                    head = await kit.read_head(reader)
                    if head is not None:
                        await kit.read_body(reader, head[1])
                except (OSError, asyncio.IncompleteReadError):
                    head = None
                if head is None:
                    self.record("client: %s ends without an answer, request %d of its connection" %
                                (request_id, served + 1))
                    if served > 0:
                        self.cut.append(request_id)
                    break
                served += 1
                self.answered += 1
                if head[1].get("connection", "") == "close":
                    break
                await asyncio.sleep(0.02)
            writer.close()


async def restart_ended(record, gateways, ends):
    """What the platform does: a process that ends is started again after a short delay."""
    while True:
        await asyncio.sleep(0.05)
        for gateway in gateways:
            code = gateway.process.returncode
            if code is not None:
                ends.append((gateway.name, code))
                record("gateway %s ended by itself, code %d" % (gateway.name, code))
                await asyncio.sleep(RESTART_DELAY_S)
                await gateway.start()


async def main(record, folder, started):
    store = await kit.Store(record).start()
    await store.put("config", "main", kit.configuration(1))
    await store.put("versions", "model-1", {"model": "model-1", "version": 1})
    zones = ["zone-a", "zone-b", "zone-c"]
    kinds = [FaultyModelServer if kit.TROUBLE and number % 2 else kit.ModelServer for number in range(12)]
    servers = [await kind(record, store, "llm", "i-m%d" % number, zones[number % 3]).start()
               for number, kind in enumerate(kinds)]
    desks = [await kit.PlainServer(record, store, "desk", "i-d%d" % number, zones[number], work_s=0.06).start()
             for number in range(3)]
    tasks = [asyncio.ensure_future(kit.heartbeats(servers + desks))]
    gateways = await kit.start_gateways(record, folder, started, store.http.port, zones)
    begin = kit.now()
    FaultyModelServer.windows = [begin + at for at in GARBLE_AT_S]
    ends = []
    tasks.append(asyncio.ensure_future(restart_ended(record, gateways, ends)))
    clients = [KeptConnection(record, gateways[number % 3], number) for number in range(15)]
    await asyncio.gather(*[client.run(begin + LENGTH_S) for client in clients])
    for task in tasks:
        task.cancel()
    answered = sum(client.answered for client in clients)
    if answered < 1000:
        raise kit.CannotRun("only %d requests were answered" % answered)
    run = {request_id for desk in desks for _, request_id, _ in desk.runs}
    lost = [request_id for client in clients for request_id in client.cut if request_id in run]
    record("%d answered; %d ends of gateways: %s; %d requests of kept connections ran at a sound server and ended "
           "without an answer" % (answered, len(ends), ends, len(lost)))
    if len(lost) <= MAX_LOST:
        return []
    return ["%d orders from kept connections ran at sound servers and got no answer, as gateways ended by themselves "
            "%d times (%s)" % (len(lost), len(ends), ", ".join("%s: code %d" % end for end in ends))]


if __name__ == "__main__":
    kit.run(main, HERE)
