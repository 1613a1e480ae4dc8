"""An instance is cut off from the store and the other instances while a primary is replaced
that leaves. The answer of the old primary to a read of that instance is cut off."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import lab as stand_in  # noqa: E402
from lab import Client, Network, route  # noqa: E402

def config():
    return {"version": 1, "routes": [route("ledger", "ledger", "primary")],
            "services": [{"name": "ledger", "max_connections": 56, "sync_replicas": 0}],
            "limits": {"tx_idle_ms": 5000}}


async def case(lab, trouble):
    network = Network()
    await lab.start({"ledger": ["z-c", "z-a", "z-b"]}, ["z-a", "z-b", "z-c"], config(),
                    lag_ms=20, network=network, is_staggered=True)
    ledger, (_, near, cut) = lab.groups["ledger"], lab.instances
    old = ledger.servers[0]
    writer, reader = Client(lab, "writer"), Client(lab, "reader")
    assert await writer.open(near, "ledger") and await reader.open(cut, "ledger")
    assert (await writer.query("WRITE item first"))["ok"] and (await reader.query("READ item"))["ok"]
    await asyncio.sleep(1)
    if trouble:
        cut.link["silent"] = True
        network.cut.add(cut.name)
        lab.record.write(f"disruption: {cut.name} is cut off from the store and the other instances")
    cut_at = time.monotonic()
    await lab.announce(await ledger.join("z-c"))
    await asyncio.sleep(0.5)
    old.state = "draining"
    lab.record.write(f"planned work: {old.id}, the primary, reports that it is draining")
    await lab.announce(old)
    # Until its replacement is in force where the writer is.
    while not (await writer.query("WRITE item second"))["ok"] or all(
            s.role != "primary" or s is old for s in ledger.servers):
        await asyncio.sleep(0.2)
    # The server's answers to reads are lost from here on, one of all that it runs. A first read is
    # tried again and again, as the server turns out to be a replica.
    lost_since, runs_before = time.monotonic(), len(ledger.runs)
    first = await reader.query("READ item")
    written = await writer.query("WRITE item third")
    old.cuts_answers = trouble
    read = await reader.query("READ item")
    at_old = [r for r in ledger.runs[runs_before:] if r["server"] == old.id]
    lab.record.write(f"{old.id} ran {len(at_old)} reads in {time.monotonic() - lost_since:.2f} s; the first request "
                     f"was answered {first['text']}")
    run = next((r for r in reversed(ledger.runs) if r["tag"] == read["tag"]), None)
    broken = []
    if written["ok"] and read["ok"] and run and written["tag"] not in run["held"]:
        broken.append(f"STALE: {read['tag']} of a route of kind primary ran at {run['server']}, whose log "
                      f"lacks the commit {written['tag']}, which was acknowledged before; the client got "
                      f"{read['rows']} instead of third")
    lab.record.write(f"the cut ends after {time.monotonic() - cut_at:.1f} s")
    return broken


stand_in.main(case, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
