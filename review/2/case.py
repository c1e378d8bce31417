"""An entry of kind `servers` with a deeply nested field, while orders are in hand. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from standin import Gateway, KeptConnection, Server, Store, config, main  # noqa: E402

DEPTH = 200_000
# A field of another type: a list of lists instead of a text. 400 KB, within `value_bytes` of 1 MiB.
NESTED = '{"service":' + "[" * DEPTH + "]" * DEPTH + "}"
CLIENTS = 10  # for each gateway


async def case(record, scratch, trouble, gateways):
    store = Store(record)
    await store.start()
    servers = [Server(record, f"desk-{i}", "desk", work_s=0.8) for i in range(3)]
    engine = Server(record, "llm-0", "llm", engine=True)
    for server in [*servers, engine]:
        await server.start()
        await store.put("servers", server.id, server.entry())
    await store.put("config", "main", config())
    for name, zone in (("front-kr-central-a-1", "kr-central-a"), ("front-kr-central-c-1", "kr-central-c")):
        gateways.append(Gateway(record, scratch, name, zone, store.port))
        gateways[-1].start()
    for gateway in gateways:
        if not await gateway.wait_ready(10):
            return None
    await asyncio.sleep(4)

    connections = [KeptConnection(gateway, record) for gateway in gateways for _ in range(CLIENTS)]
    for connection in connections:
        await connection.open()
    statuses = {}

    async def order(number, turn):
        request_id = f"order-{turn}-{number}"
        statuses[request_id] = await connections[number].request("/orders/x", request_id)

    for turn in range(4):
        tasks = [asyncio.create_task(order(number, turn)) for number in range(len(connections))]
        await asyncio.sleep(0.2)
        if trouble and turn == 1:
            revision = await store.put("servers", "stray-1", NESTED)
            record.line(f"store: entry servers/stray-1 of another writer, {len(NESTED)} bytes, revision {revision}")
        await asyncio.gather(*tasks)
    for connection in connections:
        connection.close()

    ran = {name for server in servers for name in server.runs}
    lost = {gateway.name: [name for name, status in statuses.items() if status == 0 and name in ran
                           and connections[int(name.split("-")[2])].gateway is gateway] for gateway in gateways}
    breaches = []
    for gateway in gateways:
        status = gateway.ended()
        record.line(f"gateway {gateway.name}: " + ("runs" if status is None else f"ended by itself, status {status}")
                    + f"; orders passed on and cut off: {len(lost[gateway.name])}")
        if len(lost[gateway.name]) > 3:
            breaches.append(f"LOST: {gateway.name} passed {len(lost[gateway.name])} orders on and closed their connections")
    for gateway in gateways:
        if gateway.ended() is not None:
            gateway.start()  # The platform starts a process again that has ended.
    await asyncio.sleep(3)
    for gateway in gateways:
        status = gateway.ended()
        record.line(f"gateway {gateway.name} after a second start: " + ("runs" if status is None else f"ended, status {status}"))
    return breaches


main(FOLDER, case)
