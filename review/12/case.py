"""A session commits at one service, its route is changed to another service and back, and the
session reads its own commit."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import lab as stand_in  # noqa: E402
from lab import Client, route  # noqa: E402

DATABASE = "progress"


def config(version, service):
    return {"version": version,
            "routes": [route(DATABASE, service, "read_your_writes"),
                       route("other", "hints", "read_your_writes")],
            "services": [{"name": name, "max_connections": 28, "sync_replicas": 0}
                         for name in ("hints", "archive")],
            "limits": {"tx_idle_ms": 5000}}


async def commit(client, lab, service, text):
    """Repeats a write under new ids until the service has run one, and returns that one."""
    for _ in range(100):
        answer = await client.query(text)
        if answer["ok"]:
            commits = [c[2] for s in lab.groups[service].servers for c in s.log]
            if answer["tag"] in commits:
                return answer
        await asyncio.sleep(0.02)
    raise RuntimeError(f"no write has reached {service}")


async def case(lab, trouble):
    zones = ["z-b", "z-a", "z-c"]
    await lab.start({"hints": zones, "archive": zones}, ["z-a"], config(1, "hints"))
    instance, hints = lab.instances[0], lab.groups["hints"]
    other, session = Client(lab, "other-1"), Client(lab, "session-1")
    assert await other.open(instance, "other") and await session.open(instance, DATABASE)
    # Ordinary traffic of another session, through which positions of the primary are known.
    for index in range(20):
        await other.query(f"WRITE o{index} x{index}")
        await asyncio.sleep(0.05)
    await session.query("WRITE streak old")
    await asyncio.sleep(0.3)
    if trouble:
        hints.set_deaf(hints.servers[1], True)
    own = await commit(session, lab, "hints", "WRITE streak new")
    await asyncio.sleep(0.4)
    await lab.store.operator(config(2, "archive"))
    await commit(session, lab, "archive", "WRITE streak archived")
    await asyncio.sleep(0.4)
    await lab.store.operator(config(3, "hints"))
    # A read that ran at `archive`, before the change was in force, says nothing.
    broken = []
    for _ in range(20):
        read = await session.query("READ streak")
        run = next((r for r in hints.runs if r["tag"] == read["tag"]), None)
        if read["ok"] and run and own["tag"] not in run["held"]:
            since_ms = (read["sent_at"] - own["answered_at"]) * 1000
            broken.append(f"STALE: {read['tag']} ran at {run['server']}, whose log lacks the session's own "
                          f"commit {own['tag']}, acknowledged {since_ms:.0f} ms before; the client got {read['rows']}")
        await asyncio.sleep(0.02)
    if trouble:
        hints.set_deaf(hints.servers[1], False)
    return broken


stand_in.main(case, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
