"""The machines of a zone are stopped and started in turn, while clients go on."""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import lab as stand_in  # noqa: E402
from lab import Balancer, Client, route  # noqa: E402

PER_S, GAP_S, GRACE_S, TIMEOUT_S, ROUNDS = 200, 2.0, 6.0, 0.8, 7
PAUSE_S, RESTING = 4.0, 6


def config():
    return {"version": 1,
            "routes": [route("progress", "hints", "read_your_writes"), route("unlock", "hints", "primary")],
            "services": [{"name": "hints", "max_connections": 28, "sync_replicas": 0}],
            "limits": {"tx_idle_ms": 5000}}


async def operate(lab, balancer, number, cut):
    """A session for a single operation."""
    client = Client(lab, f"u{number}", is_recorded=False)
    tag, node, sent_at = None, None, None
    text = random.choice(["READ item", "READ item", "WRITE item d"])
    try:
        opened = await client.open(balancer, random.choice(["progress", "progress", "unlock"]), is_quiet=True)
        node = lab.node_of.get(client.writer.get_extra_info("sockname")[1])
        if opened:
            sent_at, tag = time.monotonic(), client.next_tag()
            await client.query(text)
            client.writer.write(b"TERMINATE\r\n")
        client.writer.close()
    except (OSError, asyncio.IncompleteReadError):
        if sent_at is not None:
            cut.append((f"{tag} {text}", node, sent_at, time.monotonic()))
    except asyncio.TimeoutError:
        pass


async def rest(lab, balancer, number):
    """A client whose transactions have pauses, shorter than `tx_idle_ms`."""
    while True:
        client = Client(lab, f"r{number}", is_recorded=False)
        try:
            while await client.open(balancer, "unlock", is_quiet=True):
                while (await client.query("BEGIN"))["ok"]:
                    for _ in range(3):
                        await client.query("READ item")
                        await asyncio.sleep(PAUSE_S)
                    if not (await client.query("COMMIT"))["ok"]:
                        await client.query("ROLLBACK")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)


async def stop(lab, instance, stops, turn):
    """Stops and starts a process as the platform does, when it is its turn."""
    async with turn:
        await stop_now(lab, instance, stops)


async def stop_now(lab, instance, stops):
    stops.append((instance, time.monotonic()))
    lab.record.write(f"planned work: SIGTERM to {instance.name}")
    instance.process.send_signal(signal.SIGTERM)
    end = time.monotonic() + GRACE_S
    while instance.process.poll() is None:
        if time.monotonic() >= end:
            instance.process.kill()
        await asyncio.sleep(0.005)
    lab.record.write(f"{instance.name} has ended, {time.monotonic() - stops[-1][1]:.2f} s after the last SIGTERM")
    await asyncio.sleep(0.3)
    instance.start()
    while not await instance.is_ready():
        await asyncio.sleep(0.05)


async def case(lab, trouble):
    await lab.start({"hints": ["z-a", "z-a", "z-a"]}, ["z-a", "z-a", "z-a"], config())
    hints = lab.groups["hints"]
    hints.is_recorded, hints.work_s = False, 0.012
    balancer = Balancer(lab)
    await balancer.start()
    await asyncio.sleep(2)
    cut, stops, tasks = [], [], []
    turn = asyncio.Semaphore(2)  # `tolerate` of the site: two machines at once

    async def traffic():
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.create_task(operate(lab, balancer, number, cut)))
            await asyncio.sleep(random.expovariate(PER_S))

    lab.tasks += [asyncio.create_task(rest(lab, balancer, number)) for number in range(RESTING)]
    load = asyncio.create_task(traffic())
    for _ in range(ROUNDS):
        turns = []
        for instance in lab.instances:
            if trouble:
                turns.append(asyncio.create_task(stop(lab, instance, stops, turn)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*turns)
        await asyncio.sleep(3)
    load.cancel()
    await asyncio.wait(tasks, timeout=10)
    broken = []
    for request, node, sent_at, ended_at in cut:
        since = [sent_at - at for instance, at in stops if instance is node and sent_at >= at]
        after = min(since) if since else None
        arrived = request.split(" ")[0] in hints.arrived
        lab.record.write(f"{request} at {node.name if node else None}: the connection has ended without an answer, "
                         f"{(ended_at - sent_at) * 1000:.0f} ms after it was sent; sent "
                         f"{'%.2f s after SIGTERM' % after if after is not None else 'without a SIGTERM before'}; "
                         f"{'a server got it' if arrived else 'no server got it'}")
        # No server broke off, and neither a deadline nor the route's timeout was reached.
        if after is not None and 3.0 < after < GRACE_S + 1 and arrived and ended_at - sent_at < TIMEOUT_S:
            broken.append(f"LOST: {request} was sent to {node.name} {after:.2f} s after its SIGTERM and passed on to a "
                          f"server; the connection ended {(ended_at - sent_at) * 1000:.0f} ms later without an answer")
    lab.record.write(f"{len(tasks)} operations, {len(stops)} stops")
    return broken


stand_in.main(case, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
