"""One gateway is cut off from the store; afterwards a server's entry is removed, without `draining`. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from standin import DRAIN_S, Gateway, Proxy, Server, Store, config, main, send  # noqa: E402

CUT_S = 5.5
REMOVED_AFTER_S = 1.5  # After the end of the cut.
EXIT_AFTER_S = DRAIN_S + 0.5  # "a little longer"


async def case(record, scratch, trouble, gateways):
    store = Store(record)
    await store.start()
    proxy = Proxy(store.port)
    await proxy.start()
    servers = [Server(record, f"desk-{i}", "desk", work_s=0.3) for i in range(3)]
    engine = Server(record, "llm-0", "llm", engine=True)
    for server in [*servers, engine]:
        await server.start()
        await store.put("servers", server.id, server.entry())
    await store.put("config", "main", config())
    # The first one reaches the store through the proxy. Nothing ever happens to the others.
    for name, zone, port in (("front-kr-central-a-1", "kr-central-a", proxy.port), ("front-kr-central-b-1", "kr-central-b", store.port),
                             ("front-kr-central-c-1", "kr-central-c", store.port)):
        gateways.append(Gateway(record, scratch, name, zone, port))
        gateways[-1].start()
    for gateway in gateways:
        if not await gateway.wait_ready(10):
            return None
    await asyncio.sleep(6)

    answers = {}
    stop = asyncio.Event()

    async def order(number):
        request_id = f"order-{number}"
        answers[request_id] = await send(gateways[1 + number % 2], "/orders/x", request_id, record,
                                         headers={"Deadline-Ms": "1500"})

    async def orders():
        tasks = []
        while not stop.is_set():
            tasks.append(asyncio.create_task(order(len(tasks))))
            await asyncio.sleep(1 / 30)
        await asyncio.gather(*tasks)

    traffic = asyncio.create_task(orders())
    await asyncio.sleep(2)
    if trouble:
        record.line(f"link between {gateways[0].name} and the store: cut")
        proxy.cut()
    await asyncio.sleep(CUT_S)
    if trouble:
        record.line(f"link between {gateways[0].name} and the store: healed")
        proxy.heal()
    await asyncio.sleep(REMOVED_AFTER_S)
    leaving = servers[0]
    revision = await store.remove("servers", leaving.id)
    acknowledged = record.now()
    record.line(f"store: entry of {leaving.id} is removed, revision {revision}")
    await asyncio.sleep(EXIT_AFTER_S)
    record.line(f"server {leaving.id} exits")
    leaving.exit()
    await asyncio.sleep(2)
    stop.set()
    await traffic

    late = [item for item in leaving.arrivals if item[0] > acknowledged + DRAIN_S]
    lost = [name for name, answer in answers.items() if leaving.runs.get(name) and answer[0] != 200]
    last = max((item[0] for item in leaving.arrivals), default=0) - acknowledged
    record.line(f"orders that reached {leaving.id} later than {DRAIN_S} s after the removal: {len(late)}, the last after {last:.2f} s")
    record.line(f"orders that {leaving.id} began and that weren't answered with success: {len(lost)}")
    served = sum(1 for answer in answers.values() if answer[0] == 200)
    record.line(f"orders sent: {len(answers)}, served: {served}")
    return [f"DRAIN: {len(late)} orders reached {leaving.id} after drain_ms, {len(lost)} of its orders were lost"] if late else []


main(FOLDER, case)
