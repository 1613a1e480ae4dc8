"""Stand-ins for the users' platform, written from the pages: the metadata store with the
promoter, groups of database servers, and clients. All of them run in one process on
loopback addresses and the real clock; instances run as separate processes with the command
of deploy/system.toml.

Every event that a case judges is written to its record.txt: what clients sent and were
answered, what servers ran, what the operator wrote and what the platform was asked for.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/release/masticreel-platform")


class Record:
    """The record of a run, one event a line, with the time in ms since its start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return (time.monotonic() - self.start) * 1000.0

    def write(self, text):
        self.file.write(f"{self.now():9.1f} {text}\n")
        self.file.flush()


class Store:
    """The key-value store and the promoter. Each endpoint serves one instance, so that a
    single instance can be partitioned from the store: then nothing is answered."""

    def __init__(self, record, groups):
        self.record, self.groups = record, groups
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.floor = 10, 0
        self.changed = asyncio.Condition()
        self.network = None

    async def endpoint(self, owner=None):
        """Opens an address of the store, for the instance `owner`."""
        link = {"silent": False, "owner": owner}
        server = await asyncio.start_server(
            lambda r, w: self.serve(r, w, link), "127.0.0.1", 0)
        link["port"] = server.sockets[0].getsockname()[1]
        link["server"] = server
        return link

    async def sweep(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            ended = [lease for lease, (until, _) in self.leases.items() if now >= until]
            for lease in ended:
                del self.leases[lease]
                for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                    self.delete(key)
            if ended:
                await self.notify()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def put(self, key, value, lease=0):
        self.revision += 1
        known = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created": known["created"] if known else self.revision, "lease": lease}
        self.items[key] = item
        self.history.append(dict(item))

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "tombstone": True})

    async def operator(self, config):
        self.put("op/config", json.dumps(config).encode())
        self.record.write(f"operator: the store has accepted version {config['version']}: " + ", ".join(
            f"{r['host']} -> {r['service']} ({r['kind']})" for r in config["routes"]))
        await self.notify()

    async def serve(self, reader, writer, link):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {k.lower(): v.strip() for k, v in
                           (line.split(":", 1) for line in lines[1:] if ":" in line)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                while link["silent"]:
                    await asyncio.sleep(0.01)
                status, answer = await self.answer(method, target, headers, body)
                while link["silent"]:
                    await asyncio.sleep(0.01)
                if self.network is not None:
                    answer = await self.network.translate(answer, link["owner"])
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        path, _, query = target.partition("?")
        query = {k: v[0] for k, v in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        body = json.loads(body) if body else {}
        if path == "/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
            page = keys[:500]
            return 200, {"items": [self.items[k] for k in page], "truncated": len(keys) > 500,
                         "store_revision": self.revision}
        if path == "/kv-watch":
            after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [e for e in self.history if e["revision"] > after
                          and e["key"].startswith(query.get("prefix", ""))]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store_revision": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path == "/kv-txn":
            held = lambda key: self.items[key]["revision"] if key in self.items else 0
            if any(held(c["key"]) != c["revision"] for c in body.get("precondition", [])):
                return 412, {"items": []}
            if any(w.get("lease") and w["lease"] not in self.leases for w in body.get("set_keys", [])):
                return 404, {}
            for write in body.get("set_keys", []):
                self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
            for key in body.get("delete_keys", []):
                self.delete(key)
            await self.notify()
            return 200, {"revision": self.revision}
        if path == "/kv-lease":
            self.revision += 1
            ttl = max(body["ttl_ms"], 1000)
            self.leases[self.revision] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.revision, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path == "/promote":
            token, holder = headers["fencing-token"], headers["lease-holder"]
            group = self.groups[body["service"]]
            accepted = group.promote(body["id"])
            self.record.write(f"platform: promote {body['service']} {body['id']} by {holder} "
                              f"token {token}: {200 if accepted else 409}")
            return (200 if accepted else 409), {}
        return 400, {}


class Network:
    """The paths between instances, each over a proxy of its own, so that an instance can be
    cut off from the others. As with an address translation, an instance reads in the store
    the address at which it reaches the other one; nothing else is changed."""

    def __init__(self):
        self.paths, self.cut = {}, set()

    async def translate(self, answer, reader):
        for name in ("items", "events"):
            if reader and name in answer:
                answer = {**answer, name: [await self.translate_item(i, reader) for i in answer[name]]}
        return answer

    async def translate_item(self, item, reader):
        prefix = "masticreel/member/"
        member = item["key"][len(prefix):]
        if not item["key"].startswith(prefix) or member == reader or "value" not in item:
            return item
        record = json.loads(base64.b64decode(item["value"]))
        if not record.get("address"):
            return item
        port = await self.path(reader, member, int(record["address"].rsplit(":", 1)[1]))
        record["address"] = f"127.0.0.1:{port}"
        return {**item, "value": base64.b64encode(json.dumps(record).encode()).decode()}

    def is_cut(self, pair):
        return any(name in self.cut for name in pair)

    async def path(self, sender, receiver, target):
        pair = (sender, receiver)
        if pair in self.paths:
            return self.paths[pair]
        loop = asyncio.get_running_loop()
        while True:
            port = random.randrange(40000, 60000, 2)
            if is_free(port) and is_free(port + 1):
                break
        self.paths[pair] = port
        network = self

        class Outer(asyncio.DatagramProtocol):
            def datagram_received(self, data, address):
                self.address = address
                if not network.is_cut(pair):
                    inner.sendto(data)

        class Inner(asyncio.DatagramProtocol):
            def datagram_received(self, data, _):
                address = getattr(outer_protocol, "address", None)
                if address and not network.is_cut(pair):
                    outer.sendto(data, address)

        outer, outer_protocol = await loop.create_datagram_endpoint(
            Outer, local_addr=("127.0.0.1", port))
        inner, _ = await loop.create_datagram_endpoint(
            Inner, remote_addr=("127.0.0.1", target))

        async def pump(reader, writer):
            try:
                while data := await reader.read(65536):
                    while network.is_cut(pair):
                        await asyncio.sleep(0.01)
                    writer.write(data)
                    await writer.drain()
            except ConnectionError:
                pass
            finally:
                writer.close()

        async def accept(reader, writer):
            while network.is_cut(pair):
                await asyncio.sleep(0.01)
            try:
                far_reader, far_writer = await asyncio.open_connection("127.0.0.1", target + 1)
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))

        await asyncio.start_server(accept, "127.0.0.1", port + 1)
        return port


class Server:
    """One database server."""

    def __init__(self, group, id, zone):
        self.group, self.id, self.zone = group, id, zone
        self.role, self.term = "replica", 1
        self.log = []          # commits received: (term, number, commit id, writes)
        self.applied = 0
        self.is_up, self.is_deaf, self.cuts_answers = True, False, False
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.writers = set()
        self.slots = asyncio.Semaphore(2)  # as its entry says
        self.apply_after = group.lag_ms / 1000

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 21)
        self.port = self.listener.sockets[0].getsockname()[1]

    def position(self, count):
        if count == 0:
            return f"{1}.0"
        return f"{self.log[count - 1][0]}.{self.log[count - 1][1]}"

    def entry(self):
        self.sequence += 1
        return json.dumps({
            "service": self.group.name, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 2, "state": self.state, "warmup_left_ms": 0,
            "db_role": self.role, "sequence": self.sequence, "born": self.born}).encode()

    def receive(self, commit):
        self.log.append(commit)
        asyncio.get_running_loop().call_later(self.apply_after, self.apply, len(self.log))

    def apply(self, count):
        self.applied = max(self.applied, min(count, len(self.log)))

    async def serve(self, reader, writer):
        session = {"prepared": {}, "values": {}, "tx": None, "failed": False}
        self.writers.add(writer)
        try:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode()
            word, *fields = line.split(" ")
            if word != "STARTUP" or fields[0] != self.group.name or (
                    len(fields) > 2 and fields[2] != self.id):
                writer.write(f"ERROR MISROUTED {self.id}\r\n".encode())
                return
            session["who"] = fields[1]
            async with self.slots:
                await asyncio.sleep(0.012)
            writer.write(self.ready(session))
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                word, _, rest = line.partition(" ")
                if word != "QUERY":
                    return
                tag, _, text = rest.partition(" ")
                answer = await self.execute(session, tag, text)
                if self.cuts_answers and " READ " in f" {text} " and b"COMPLETE" in answer:
                    # The answer is cut off before it ends.
                    writer.write(answer)
                    await writer.drain()
                    self.cuts_answers = False
                    self.group.record.write(f"disruption: the answer of {self.id} to {tag} is cut off before READY")
                    return
                writer.write(answer + self.ready(session))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def ready(self, session):
        state = "I" if session["tx"] is None else "E" if session["failed"] else "T"
        return f"READY {state} {self.position(self.applied)}\r\n".encode()

    def error(self, session, code):
        session["failed"] = session["tx"] is not None
        return f"ERROR {code} {self.id}\r\n".encode()

    async def execute(self, session, tag, text):
        done = lambda sign=None, rows=(): ("".join(f"DATAROW {r}\r\n" for r in rows)
                                           + f"COMPLETE {sign or '-'}\r\n").encode()
        words = text.split(" ")
        if words[0] == "AFTER":
            term, number = (int(x) for x in words[1].split("."))
            held = tuple(int(x) for x in self.position(self.applied).split("."))
            if held < (term, number):
                return self.error(session, "LAGGING")
            words, text = words[2:], text.split(" ", 2)[2]
        if words[0] == "EXECUTE":
            shape = session["prepared"].get(words[1])
            if shape is None:
                return self.error(session, "NOSTMT")
            words = [shape, *words[2:]]
        kind = words[0]
        if kind == "STATUS" or kind == "STEPDOWN":
            async with self.slots:
                await asyncio.sleep(0)
            if kind == "STEPDOWN" and self.role == "primary" and self.term < int(words[1]):
                self.role = "replica"
                self.group.record.write(f"server {self.id}: stepped down for term {words[1]}")
            return done(rows=[f"{self.role} {self.term} {self.position(len(self.log))} "
                              f"{self.term} 0 0 {len(self.writers)}"])
        if kind == "DISCARD":
            session["prepared"], session["values"] = {}, {}
            return done()
        if kind == "SET":
            session["values"][words[1]] = " ".join(words[2:])
            return done()
        if kind == "PREPARE":
            session["prepared"][words[1]] = words[2]
            return done()
        if kind == "ROLLBACK":
            session["tx"], session["failed"] = None, False
            return done()
        if session["failed"] and kind != "COMMIT":
            return self.error(session, "MALFORMED")
        if kind == "BEGIN":
            if len(words) == 1 and self.role != "primary":
                return self.error(session, "READONLY")
            session["tx"] = {"read": len(words) == 2, "writes": []}
            return done()
        self.group.arrived[tag] = time.monotonic()
        async with self.slots:
            await asyncio.sleep(self.group.work_s)
        if kind == "READ":
            tx = session["tx"]
            if tx is not None and not tx["read"] and self.role != "primary":
                return self.error(session, "READONLY")
            data = "none"
            for _, _, _, writes in self.log[:self.applied]:
                data = writes.get(words[1], data)
            held = [c[2] for c in self.log[:self.applied]]
            who = session["who"]
            self.group.runs.append({"tag": tag, "server": self.id, "text": text, "held": held,
                                    "who": who})
            if self.group.is_recorded:
                self.group.record.write(
                    f"server {self.id} ({self.group.name}, {self.role}) runs {tag} {text} of {who}: "
                    f"{data}; its log is applied up to {self.position(self.applied)}")
            return done(f"{self.id}.{tag}", [data])
        if kind == "WRITE":
            if self.role != "primary":
                return self.error(session, "READONLY")
            if session["tx"] is not None:
                session["tx"]["writes"].append((words[1], " ".join(words[2:])))
                return done(f"{self.id}.{tag}")
            self.commit(tag, {words[1]: " ".join(words[2:])})
            return done(f"{self.id}.{tag}")
        if kind == "COMMIT":
            tx, failed = session["tx"], session["failed"]
            session["tx"], session["failed"] = None, False
            if tx is None or failed:
                return self.error(session, "MALFORMED")
            if tx["writes"]:
                if self.role != "primary":
                    return self.error(session, "READONLY")
                self.commit(tag, dict(tx["writes"]))
            return done(f"{self.id}.{tag}")
        return self.error(session, "MALFORMED")

    def commit(self, tag, writes):
        number = self.log[-1][1] + 1 if self.log else 1
        commit = (self.term, number, tag, writes)
        self.log.append(commit)
        self.applied = len(self.log)
        if self.group.is_recorded:
            self.group.record.write(f"server {self.id} ({self.group.name}, {self.role}) commits {tag} "
                                    f"{writes} at {self.term}.{number}")
        self.group.replicate(self)


class Group:
    """A service: one primary and its replicas."""

    def __init__(self, record, name, lag_ms):
        self.record, self.name, self.lag_ms = record, name, lag_ms
        self.servers, self.runs = [], []
        self.is_recorded = True
        self.work_s, self.arrived = 0.003, {}

    async def start(self, zones):
        for index, zone in enumerate(zones):
            server = Server(self, f"i-{self.name}-{index + 1}", zone)
            await server.start()
            self.servers.append(server)
        self.servers[0].role = "primary"

    async def join(self, zone):
        """Starts another replica, which has the primary's log."""
        leader = next(s for s in self.servers if s.role == "primary")
        server = Server(self, f"i-{self.name}-{len(self.servers) + 1}", zone)
        server.log, server.applied, server.term = list(leader.log), len(leader.log), leader.term
        await server.start()
        self.servers.append(server)
        self.record.write(f"server {server.id} starts as a replica")
        return server

    def replicate(self, leader):
        loop = asyncio.get_running_loop()
        for server in self.servers:
            if server is not leader and server.is_up:
                loop.call_later(0.001, self.deliver, leader, server)

    def deliver(self, leader, server):
        if server.is_deaf or leader.role != "primary" or server.role == "primary":
            return
        server.term = max(server.term, leader.term)
        for commit in leader.log[len(server.log):]:
            server.receive(commit)

    def set_deaf(self, server, is_deaf):
        server.is_deaf = is_deaf
        self.record.write(f"disruption: {server.id} receives nothing" if is_deaf
                          else f"disruption ends: {server.id} receives again")
        if not is_deaf:
            leader = next(s for s in self.servers if s.role == "primary")
            self.deliver(leader, server)

    def promote(self, id):
        server = next((s for s in self.servers if s.id == id and s.is_up), None)
        if server is None:
            return False
        if server.role != "primary":
            asyncio.get_running_loop().call_later(0.6, self.lead, server)
        return True

    def lead(self, server):
        server.term = max(s.term for s in self.servers) + 1
        server.role = "primary"
        server.applied = len(server.log)
        self.record.write(f"server {server.id} leads term {server.term}")
        for other in self.servers:
            if other is not server and len(other.log) > len(server.log):
                other.log = other.log[:len(server.log)]
                other.applied = min(other.applied, len(other.log))
                self.record.write(f"server {other.id} is rolled back to {other.position(len(other.log))}")


class Instance:
    """An instance, started with the command of deploy/system.toml."""

    def __init__(self, lab, number, zone, link):
        self.lab, self.ends = lab, 0
        # One contiguous range for all ports of an instance, so that two don't overlap.
        while True:
            base = random.randrange(20000, 32000, 20)
            if base not in lab.bases and all(is_free(port) for port in range(base, base + 20)):
                break
        lab.bases.add(base)
        frontend, readiness, base = base, base + 1, base + 2
        self.frontend, self.readiness, self.link, self.name = frontend, readiness, link, f"proxy-{zone}-{number}"
        self.settings = os.path.join(lab.folder, f"{self.name}.conf")
        with open(self.settings, "w") as file:
            file.write(SETTINGS.format(
                name=self.name, zone=zone, frontend=frontend, readiness=readiness, first=base,
                last=base + 15, store=link["port"], cloud=lab.cloud["port"],
                memory_mb=lab.memory_mb))
        self.log = open(os.path.join(lab.folder, f"{self.name}.log"), "ab")
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [PROGRAM], cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                 "MASTICREEL_NODE_FILE": self.settings})
        self.lab.record.write(f"instance {self.name} starts")

    def memory_mb(self):
        """Returns the memory that the process occupies."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:  # it has just been killed
            pass
        return 0.0

    async def keep_limit(self):
        """Does what the platform does: kills the process if it exceeds the memory of its
        machine, and starts a process that has ended again."""
        while True:
            await asyncio.sleep(0.05)
            if self.process.poll() is None:
                used = self.memory_mb()
                if used <= self.lab.memory_mb:
                    continue
                self.process.kill()
                self.process.wait()
                self.lab.record.write(f"platform: {self.name} is killed: it occupies {used:.0f} MB of "
                                      f"{self.lab.memory_mb}")
            else:
                self.lab.record.write(f"{self.name} has ended by itself: {self.process.returncode}")
            self.ends += 1
            await asyncio.sleep(0.2)
            self.start()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


def is_free(port):
    with socket.socket() as s:
        try:
            s.bind(("127.0.0.1", port))
            return True
        except OSError:
            return False


SETTINGS = """node_name={name}
role=instance
node_class=proxy
serves=proxy
ip=127.0.0.1
zone={zone}
region=r
zones.z-a=r
zones.z-b=r
zones.z-c=r
listen.frontend=127.0.0.1:{frontend}
listen.readiness=127.0.0.1:{readiness}
port_range={first},{last}
bootstrap=true
in_tolerance=false
limits.cpu_quota=0.25
limits.cores=1
limits.memory_mb={memory_mb}
limits.max_fds=4300
limits.bandwidth_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stability_window_ms=4000
bounds.ack_timeout_ms=5000
bounds.catchup_s=4
bounds.drain_timeout_ms=7000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_deadline_ms=3000
bounds.downgrade_ms=250
bounds.max_skew_ms=12000
bounds.recovery_s=12
bounds.require_fencing=false
bounds.thaw_ms=300
platform.address=127.0.0.1:{store}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.max_value_bytes=1048576
platform.min_ttl_ms=1000
cloud.address=127.0.0.1:{cloud}
cloud.rate_per_s=50.0
cloud.duties=failover
cloud.duty_per_s=50.0
"""


class Client:
    """A client's session."""

    counter = 0

    def __init__(self, lab, name, is_recorded=True):
        """`name` is also the key that the client sends. A client that sends much is not
        recorded statement by statement."""
        self.lab, self.name, self.is_recorded = lab, name, is_recorded

    def next_tag(self):
        return f"q{Client.counter + 1:06x}"

    async def open(self, instance, database, is_quiet=False):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", instance.frontend, limit=1 << 21)
        self.writer.write(f"STARTUP {database} {self.name}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 5)
        if not is_quiet:
            self.lab.record.write(f"client {self.name}: STARTUP {database} at {instance.name}: {line[:-2].decode()}")
        return line.startswith(b"READY")

    async def query(self, text):
        Client.counter += 1
        tag = f"q{Client.counter:06x}"  # as next_tag said
        if self.is_recorded:
            self.lab.record.write(f"client {self.name}: sends {tag} {text}")
        sent_at = time.monotonic()
        self.writer.write(f"QUERY {tag} {text}\r\n".encode())
        rows, outcome = [], None
        while True:
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 10))[:-2].decode()
            word, _, rest = line.partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word in ("COMPLETE", "ERROR"):
                outcome = (word, rest)
            elif word == "READY":
                break
        if self.is_recorded:
            self.lab.record.write(f"client {self.name}: answer to {tag}: {rows} {outcome[0]} {outcome[1]}")
        return {"tag": tag, "rows": rows, "ok": outcome[0] == "COMPLETE", "text": outcome[1],
                "sent_at": sent_at, "answered_at": time.monotonic()}


class Balancer:
    """The platform's ingress for the clients of one zone."""

    def __init__(self, lab):
        self.lab, self.misses = lab, {i.name: 0 for i in lab.instances}
        self.used = list(lab.instances)

    async def start(self):
        server = await asyncio.start_server(self.forward, "127.0.0.1", 0)
        self.frontend, self.name = server.sockets[0].getsockname()[1], "the platform's address"
        self.lab.tasks.append(asyncio.create_task(self.probe()))

    async def probe(self):
        """Asks each node once a second; two misses take it out until it answers 200 again. If
        fewer than half of the zone's nodes are in rotation, all of them are used."""
        while True:
            answers = await asyncio.gather(*(i.is_ready() for i in self.lab.instances))
            for instance, is_ready in zip(self.lab.instances, answers):
                self.misses[instance.name] = 0 if is_ready else self.misses[instance.name] + 1
            ready = [i for i in self.lab.instances if self.misses[i.name] < 2]
            nodes = self.lab.instances
            used = ready if len(ready) * 2 >= len(nodes) else list(nodes)
            if [i.name for i in used] != [i.name for i in self.used]:
                self.lab.record.write(f"platform: {len(ready)} of {len(nodes)} nodes are in rotation; new "
                                      f"connections go to {', '.join(i.name for i in used)}")
            self.used = used
            await asyncio.sleep(1)

    async def forward(self, reader, writer):
        async def pump(source, target):
            try:
                while data := await source.read(65536):
                    target.write(data)
                    await target.drain()
            except ConnectionError:
                pass
            finally:
                target.close()

        # The port of a new connection serves as the hash of its client.
        port = writer.get_extra_info("peername")[1]
        node = self.used[hash((port, port * 2654435761 % 97)) % len(self.used)]
        self.lab.node_of[port] = node
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", node.frontend)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))


def route(host, service, kind, **more):
    return {"name": f"r-{host}", "host": host, "service": service, "kind": kind, "timeout_ms": 800,
            "target_latency_ms": 200, "priority": 1, "max_staleness_ms": 2500, **more}


class Lab:
    """The stand-ins and instances of one run."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="masticreel-review-")
        self.instances, self.groups, self.tasks = [], {}, []
        self.memory_mb, self.bases, self.node_of = 260, set(), {}

    async def start(self, services, instances, config, lag_ms=20, network=None, is_staggered=False):
        self.store = Store(self.record, self.groups)
        self.store.network = network
        for name, zones in services.items():
            self.groups[name] = Group(self.record, name, lag_ms)
            await self.groups[name].start(zones)
        self.cloud = await self.store.endpoint()
        self.tasks.append(asyncio.create_task(self.store.sweep()))
        self.tasks.append(asyncio.create_task(self.beat()))
        await self.store.operator(config)
        for number, zone in enumerate(instances, 1):
            link = await self.store.endpoint(f"proxy-{zone}-{number}")
            self.instances.append(Instance(self, number, zone, link))
            if is_staggered:
                await asyncio.sleep(0.3)
        for instance in self.instances:
            for _ in range(200):
                if await instance.is_ready():
                    break
                await asyncio.sleep(0.05)
            else:
                raise RuntimeError(f"{instance.name} is not ready")
        self.record.write("all instances are ready")

    async def announce(self, server):
        """Writes a changed entry of a server at once, as servers do."""
        self.store.put(f"servers/{server.id}", server.entry())
        await self.store.notify()

    async def beat(self):
        while True:
            for group in self.groups.values():
                for server in group.servers:
                    if server.is_up:
                        self.store.put(f"servers/{server.id}", server.entry())
            await self.store.notify()
            await asyncio.sleep(1.2)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        # What is still open ends with this process; its cancelled calls are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for instance in self.instances:
            if instance.process.poll() is None:
                instance.process.kill()
            instance.process.wait()
            instance.log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, record_path):
    """Runs `case(lab, trouble)`, which returns the reasons why a rule was broken."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        # A run that is told to end ends its processes too.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        lab = Lab(record_path)
        lab.record.write(f"TROUBLE={int(trouble)}")
        try:
            broken = await asyncio.wait_for(case(lab, trouble), 110)
        except Exception as error:  # the case could not run
            lab.record.write(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await lab.stop()
        for reason in broken:
            lab.record.write(f"BROKEN {reason}")
            print(f"broken: {reason}")
        if not broken:
            lab.record.write("the rule held")
            print("the rule held")
        return 1 if broken else 0

    try:
        code = asyncio.run(run())
    except asyncio.CancelledError:
        print("could not run: it was told to end")
        code = 2
    sys.exit(code)
