"""A zone's gateways are cut off from the store; a server that leaves just after the cut still gets requests."""

import asyncio
import os
import random
import socket
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))
import kit  # noqa: E402

CUT_S = 2.5  # `zone_cut` lasts 5 s by default.
ROUNDS = 10
ROUND_S = 9.0
LEAVES_AFTER_S = 0.2  # From the end of the cut.
DRAIN_S = 2.0
CONTACT_S = 3.0
SERVES_ON_S = 3.5  # `drain_ms` "and a little longer".


class Link:
    """A proxy between a gateway and the store.

    What is sent during a cut arrives when TCP would send it again. New connections hang: their first packet is dropped,
    since the queue of the listening socket is full, and the kernel sends it again.
    """

    RETRANSMISSIONS_S = (0.2, 0.6, 1.4, 3.0, 6.2)

    def __init__(self, target_port):
        self.target_port = target_port
        self.cuts = []
        self.serving = set()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.socket.bind((kit.IP, 0))
        self.socket.listen(0)
        self.port = self.socket.getsockname()[1]
        self.task = asyncio.ensure_future(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            while self.is_cut(kit.now()):
                await asyncio.sleep(0.005)
            connection, _ = await loop.sock_accept(self.socket)
            served = asyncio.ensure_future(self.serve(connection))
            self.serving.add(served)
            served.add_done_callback(self.serving.discard)

    async def cut(self, until):
        self.cuts.append((kit.now(), until))
        # `accept` may take one more. Two fill the queue, whose length is the backlog and one.
        fillers = []
        for _ in range(3):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex((kit.IP, self.port))
            fillers.append(filler)
            await asyncio.sleep(0.01)
        await asyncio.sleep(until - kit.now())
        for filler in fillers:
            filler.close()

    def is_cut(self, at):
        return any(start <= at < end for start, end in self.cuts)

    async def pass_cut(self, sent_at):
        if self.is_cut(sent_at):
            arrives_at = next(sent_at + delay for delay in self.RETRANSMISSIONS_S if not self.is_cut(sent_at + delay))
            await asyncio.sleep(max(0, arrives_at - kit.now()))

    async def serve(self, connection):
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            to_reader, to_writer = await asyncio.open_connection(kit.IP, self.target_port)
        except OSError:
            writer.close()
            return
        ways = [asyncio.ensure_future(self.copy(reader, to_writer)), asyncio.ensure_future(self.copy(to_reader, writer))]
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        for way in ways:
            way.cancel()
        writer.close()
        to_writer.close()

    async def copy(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.pass_cut(kit.now())
                if not data:
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            pass


class Caller:
    """Sends orders over a kept connection, one after another."""

    def __init__(self, record, gateway, number):
        self.record, self.gateway, self.number = record, gateway, number
        self.sent_at = {}
        self.answered = 0

    async def run(self, until):
        count = 0
        while kit.now() < until:
            try:
                reader, writer = await asyncio.open_connection(kit.IP, self.gateway.callers)
                while kit.now() < until:
                    count += 1
                    request_id = "%04x%012x" % (self.number, count)
                    self.sent_at[request_id] = kit.now()
                    writer.write(("POST /order/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n"
                                  "Credential: key-a\r\nContent-Length: 3\r\n\r\nkit" % request_id).encode())
                    head = await kit.read_head(reader)
                    if head is None:
                        break
                    await kit.read_body(reader, head[1])
                    self.answered += " 200 " in head[0]
                    if head[1].get("connection", "") == "close":
                        break
                    await asyncio.sleep(0.02)
                writer.close()
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.1)


async def main(record, folder, started):
    store = await kit.Store(record).start()
    await store.put("config", "main", kit.configuration(1))
    await store.put("versions", "model-1", {"model": "model-1", "version": 1})

    async def new_desk(number):
        return await kit.PlainServer(record, store, "desk", "i-d%d" % number, "zone-a").start()

    desks = [await new_desk(number) for number in range(3)]
    staying, left, ends = list(desks), [], []
    beats = asyncio.ensure_future(kit.heartbeats(staying))
    links, gateways = [], []
    for number in (1, 2):
        links.append(Link(store.http.port))
        gateway = kit.Gateway(record, folder, "front-zone-a-%d" % number, "zone-a", links[-1].port,
                              [other.peers for other in gateways])
        started.append(gateway)
        gateways.append(await gateway.start())
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(CONTACT_S)
    begin = kit.now()
    callers = [Caller(record, gateways[number % 2], number) for number in range(12)]
    calls = [asyncio.ensure_future(caller.run(begin + ROUNDS * ROUND_S)) for caller in callers]

    async def end_later(desk):
        await asyncio.sleep(SERVES_ON_S)
        desk.http.server.close()
        for writer in list(desk.http.writers):
            writer.close()

    dice = random.Random(13)  # The cuts come at any time of the gateways' calls.
    for number in range(ROUNDS):
        heal = begin + number * ROUND_S + dice.uniform(0, 1.5) + CUT_S
        cuts = []
        if kit.TROUBLE:
            await asyncio.sleep(heal - CUT_S - kit.now())
            cuts = [asyncio.ensure_future(link.cut(heal)) for link in links]
            record("zone-a is cut off from the store from %.3f to %.3f" % (heal - CUT_S, heal))
        await asyncio.sleep(heal - kit.now())
        await asyncio.gather(*cuts)
        # The new server comes first. The old one never says that it drains: its entry is removed, and it serves on.
        desks.append(await new_desk(3 + number))
        staying.append(desks[-1])
        await asyncio.sleep(max(0, heal + LEAVES_AFTER_S - kit.now()))
        leaving = staying.pop(0)
        await store.remove("servers", leaving.name)
        left.append((leaving, kit.now(), heal))
        ends.append(asyncio.ensure_future(end_later(leaving)))
        await asyncio.sleep(max(0, begin + (number + 1) * ROUND_S - kit.now()))
    await asyncio.gather(*calls)
    beats.cancel()
    if sum(caller.answered for caller in callers) < 5000:
        raise kit.CannotRun("only %d requests were answered" % sum(caller.answered for caller in callers))
    sent_at = {request_id: at for caller in callers for request_id, at in caller.sent_at.items()}
    breaches = []
    for desk, removed_at, heal in left:
        late = sorted((at, request_id) for at, request_id, _ in desk.runs
                      if at > removed_at + DRAIN_S and sent_at[request_id] > heal + CONTACT_S)
        if late:
            breaches.append("%s left, acknowledged at %.3f s; %d requests reached it up to %.3f s later, sent more than %.0f s "
                            "after the cut (%s at %.3f s)" % (desk.name, removed_at, len(late), late[-1][0] - removed_at,
                                                              CONTACT_S, late[0][1], late[0][0]))
    return breaches


if __name__ == "__main__":
    kit.run(main, HERE)
