"""A tenant becomes isolated; parts of its prompts that were made before are used by requests of other tenants."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))
import kit  # noqa: E402

CONFIG_DEADLINE_S = 2.0
SHARED = "5c1e07a2:800"


def tenants(isolated):
    return [{"name": "tenant-a", "api_keys": ["key-a"], "priority": 1},
            dict({"name": "tenant-b", "api_keys": ["key-b"], "priority": 1}, **({"isolated": True} if isolated else {}))]


async def ask(client, gateway, own):
    prompt = SHARED + "," + own + ":50"
    return await client.send(gateway.callers, "/ask/x", [("Model", "model-1"), ("Token-Usage", "850,8"),
                                                         ("Prompt-Prefix", prompt)], b"prompt")


async def main(record, folder, started):
    store = await kit.Store(record).start()
    await store.put("config", "main", kit.configuration(1, tenants=tenants(False)))
    await store.put("versions", "model-1", {"model": "model-1", "version": 1})
    servers = [await kit.ModelServer(record, store, "llm", "i-m%d" % n, "zone-a").start() for n in (1, 2)]
    beats = asyncio.ensure_future(kit.heartbeats(servers))
    gateways = await kit.start_gateways(record, folder, started, store.http.port, ["zone-a", "zone-a"])
    await asyncio.sleep(3)
    a, b = kit.Client(record, "key-a"), kit.Client(record, "key-b")
    for number in range(6):
        await ask(b, gateways[number % 2], "b%07x" % number)
        await asyncio.sleep(0.2)
    if kit.TROUBLE:
        await store.put("config", "main", kit.configuration(2, tenants=tenants(True)))
    changed_at = kit.now()
    await asyncio.sleep(CONFIG_DEADLINE_S + 1)
    served = 0
    for number in range(6):
        _, status, _, _ = await ask(a, gateways[number % 2], "a%07x" % number)
        served += status == 200
        await asyncio.sleep(0.2)
    beats.cancel()
    if served < 6:
        raise kit.CannotRun("%d of 6 requests were served" % served)
    isolated = {tenant["name"] for tenant in store.kinds["config"]["main"]["spec"]["tenants"] if tenant.get("isolated")}
    return ["%.3f s after the acknowledgement, request %s of %s used part %s that %s, which is isolated, had made" %
            (at - changed_at, request, user, part, maker)
            for server in servers for at, request, user, maker, part, _, _ in server.used
            if user != maker and isolated & {user, maker} and at > changed_at + CONFIG_DEADLINE_S]


if __name__ == "__main__":
    kit.run(main, HERE)
