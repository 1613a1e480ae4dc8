"""A key is taken from one tenant and given to another while its client is in a transaction."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import lab as stand_in  # noqa: E402
from lab import Client, route  # noqa: E402

KEY, OTHER_KEY = "k-7f3a91c2", "k-31d09be4"
CONFIG_DEADLINE_S = 5.0
STATEMENTS, PAUSE_S = 12, 1.0


def config(version, holder):
    keys = {"tenant-a": ["k-a0"], "tenant-b": ["k-b0"]}
    keys[holder].append(KEY)
    return {"version": version, "routes": [route("ledger", "ledger", "primary")],
            "services": [{"name": "ledger", "max_connections": 56, "sync_replicas": 0}],
            "tenants": [{"name": name, "api_keys": held, "rate_per_s": 1000, "burst": 1000}
                        for name, held in keys.items()],
            "limits": {"tx_idle_ms": 5000}}


async def case(lab, trouble):
    await lab.start({"ledger": ["z-a", "z-b", "z-c"]}, ["z-a", "z-b", "z-c"], config(1, "tenant-a"))
    ledger, client = lab.groups["ledger"], Client(lab, KEY)
    assert await client.open(lab.instances[1], "ledger")
    for _ in range(50):
        if (await client.query("READ item"))["ok"]:
            break
        await asyncio.sleep(0.1)
    assert (await client.query("BEGIN"))["ok"] and (await client.query("READ item"))["ok"]
    holder = "tenant-b" if trouble else "tenant-a"
    await lab.store.operator(config(2, holder))
    accepted_at = time.monotonic()
    broken = []
    for _ in range(STATEMENTS - 2):
        await asyncio.sleep(PAUSE_S)
        read = await client.query("READ item")
        since = read["sent_at"] - accepted_at
        run = next((r for r in ledger.runs if r["tag"] == read["tag"]), None)
        if run and since > CONFIG_DEADLINE_S and run["who"] != holder:
            broken.append(f"UNASKED: {read['tag']} was sent {since:.1f} s after the store had accepted that "
                          f"{holder} holds the client's key, and {run['server']} ran it for {run['who']}")
    await client.query("COMMIT")
    after = await client.query("READ item")
    run = next((r for r in ledger.runs if r["tag"] == after["tag"]), None)
    lab.record.write(f"the next operation ran for {run['who'] if run else None}")
    return broken


stand_in.main(case, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
