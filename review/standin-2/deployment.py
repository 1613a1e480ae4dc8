"""Stand-ins for the platform's store, the servers, the promoter and the clients, for the
scripts of the second review. Python's standard library only; all addresses are loopback.

The store, the servers and the promoter follow PROTOCOL.md. Each instance reaches the store
at a port of its own, so that a script can cut one machine from the store.
"""
import asyncio, base64, contextlib, json, os, shutil, signal, socket, subprocess, sys, tempfile, time
from pathlib import Path
from urllib.parse import urlsplit, parse_qs

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = 'target/release/masticreel-platform'
now = time.monotonic


def free_ports(ip, count):
    """Returns `count` ports in a row that are free at an address for TCP and UDP."""
    for base in range(21000 + (os.getpid() * 37) % 9000, 60000, count):
        ok = True
        for port in range(base, base + count):
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as s:
                    try:
                        s.bind((ip, port))
                    except OSError:
                        ok = False
        if ok:
            return base
    raise RuntimeError('no free ports')


def process_of(port, processes):
    """Returns the name of the started process that has a TCP socket at a local port."""
    inode = None
    for line in open('/proc/net/tcp').read().splitlines()[1:]:
        words = line.split()
        if words[1].endswith(':%04X' % port):
            inode = words[9]
    for name, process in processes.items():
        with contextlib.suppress(OSError):
            for fd in os.scandir('/proc/%d/fd' % process.pid):
                with contextlib.suppress(OSError):
                    if os.readlink(fd.path) == 'socket:[%s]' % inode:
                        return name
    return None


class Record:
    def __init__(self, path):
        self.start = now()
        self.file = open(path, 'w')

    def __call__(self, *words):
        print('%9.4f' % (now() - self.start), *words, file=self.file, flush=True)


class Link:
    """The way of one machine to the store. While it is cut, bytes wait at the cut; those of a
    connection that its sender has closed meanwhile are lost."""
    def __init__(self):
        self.open = asyncio.Event()
        self.open.set()

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()


class Store:
    def __init__(self, record):
        self.record = record
        self.items, self.leases, self.history = {}, {}, []
        self.revision, self.next_lease = 1, 1000
        self.answer_s = 0.004   # how long an answer takes
        self.changed = asyncio.Condition()
        self.seen = []          # called with (machine, method, path, body) before a call is done
        self.answered = []      # called with (machine, path, answer) after an answer was sent
        self.servers = []

    async def listen(self, machine, link, ip='127.0.0.1'):
        server = await asyncio.start_server(
            lambda r, w: self.serve(machine, link, r, w), ip, 0, limit=8 << 20)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def serve(self, machine, link, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode().split('\r\n')
                method, target, _ = lines[0].split(' ')
                length = 0
                for line in lines[1:]:
                    if line.lower().startswith('content-length:'):
                        length = int(line.split(':')[1])
                body = await reader.readexactly(length) if length else b''
                if not link.open.is_set():
                    await link.open.wait()
                    if reader.at_eof() or reader.exception() or writer.is_closing():
                        return
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
                for hook in list(self.seen):
                    hook(machine, method, parts.path, body)
                if not link.open.is_set():
                    await link.open.wait()
                    if reader.at_eof() or reader.exception() or writer.is_closing():
                        return
                status, answer = await self.call(method, parts.path, query, body)
                await asyncio.sleep(self.answer_s)
                if not link.open.is_set():
                    await link.open.wait()
                text = json.dumps(answer).encode()
                writer.write(b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                             b'Content-Length: %d\r\n\r\n' % (status, len(text)) + text)
                await writer.drain()
                for hook in list(self.answered):
                    hook(machine, parts.path, answer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    def event(self, key):
        item = self.items.get(key)
        return dict(item) if item else {'key': key, 'revision': self.revision, 'tombstone': True}

    def write(self, sets, deletes):
        self.revision += 1
        for key, value, lease in sets:
            old = self.items.get(key)
            self.items[key] = {'key': key, 'value': value, 'revision': self.revision,
                               'created': old['created'] if old else self.revision, 'lease': lease}
            self.history.append((self.revision, self.event(key)))
        for key in deletes:
            if self.items.pop(key, None):
                self.history.append((self.revision, self.event(key)))
        asyncio.get_running_loop().create_task(self.notify())
        return self.revision

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def put(self, key, value):
        return self.write([(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)], [])

    def get(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item['value'])) if item else None

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, until in list(self.leases.items()):
                if now() >= until[0]:
                    del self.leases[lease]
                    keys = [k for k, item in self.items.items() if item['lease'] == lease]
                    if keys:
                        self.record('store: lease', lease, 'has ended:', *keys)
                        self.write([], keys)

    async def call(self, method, path, query, body):
        if path == '/kv-range':
            after, prefix = query.get('after', ''), query.get('prefix', '')
            keys = [k for k in sorted(self.items) if k.startswith(prefix) and k > after]
            return 200, {'items': [self.items[k] for k in keys[:500]], 'truncated': len(keys) > 500,
                         'store_revision': self.revision}
        if path == '/kv-key':
            item = self.items.get(query.get('key'))
            return (200, dict(item, store_revision=self.revision)) if item else (404, {})
        if path == '/kv-watch':
            after, until = int(query['after']), now() + int(query['wait_ms']) / 1000
            while True:
                events = [e for r, e in self.history if r > after]
                if events or now() >= until:
                    return 200, {'events': events, 'store_revision': self.revision}
                async with self.changed:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), until - now())
        if path == '/kv-txn':
            call = json.loads(body)
            for row in call['precondition']:
                item = self.items.get(row['key'])
                if (item['revision'] if item else 0) != row['revision']:
                    return 412, {'items': [self.items[r['key']] for r in call['precondition']
                                           if r['key'] in self.items]}
            if any(w['lease'] and w['lease'] not in self.leases for w in call['set_keys']):
                return 404, {}
            return 200, {'revision': self.write(
                [(w['key'], w['value'], w['lease']) for w in call['set_keys']], call['delete_keys'])}
        if path == '/kv-lease':
            ttl = max(1000, min(600000, json.loads(body)['ttl_ms']))
            self.next_lease += 1
            self.leases[self.next_lease] = (now() + ttl / 1000, ttl)
            return 200, {'lease': self.next_lease, 'ttl_ms': ttl}
        if path.startswith('/kv-keep/'):
            lease = int(path.rsplit('/', 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl / 1000, ttl)
            return 200, {'ttl_ms': ttl}
        return 404, {}


class Server:
    """One server of a group. Commits have consecutive numbers; a replica applies them `lag`
    seconds after its primary."""
    def __init__(self, group, name, zone, role, lag):
        self.group, self.name, self.zone, self.role, self.lag = group, name, zone, role, lag
        self.log = []           # (term, number, item, data, id)
        self.term, self.state, self.sequence = 0, 'ready', 0
        self.born = int(time.time() * 1000)
        self.written = None     # the entry as it was last written
        self.committed = {}     # request id: when it was committed here
        self.cut_from = set()   # the machines from which it is cut
        self.processes = None   # set where a script cuts it from machines
        self.reads = {}         # request id: (the log, how many commits it had when the read ran)

    @property
    def position(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (0, 0)

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, '127.0.0.1', 0, limit=4 << 20)
        self.address = '127.0.0.1:%d' % self.listener.sockets[0].getsockname()[1]

    def entry(self):
        return {'service': self.group.name, 'address': self.address, 'zone': self.zone,
                'version': 'v1', 'slots': 2, 'state': self.state, 'warmup_left_ms': 0,
                'db_role': self.role, 'sequence': self.sequence, 'born': self.born}

    def beat(self):
        """Writes the entry, which changes only when more than `sequence` does."""
        self.sequence += 1
        entry = self.entry()
        if self.written != dict(entry, sequence=0):
            self.written = dict(entry, sequence=0)
            self.group.store.put('servers/' + self.name, entry)

    async def serve(self, reader, writer):
        tx, names, started = None, {}, False
        machine = process_of(writer.get_extra_info('peername')[1], self.processes) if self.processes else None
        out = lambda *words: writer.write((' '.join(words) + '\r\n').encode())
        pos = lambda: '%d.%d' % self.position
        state = lambda: 'I' if tx is None else 'E' if tx['failed'] else 'T'
        try:
            while True:
                line = (await reader.readuntil(b'\r\n'))[:-2].decode()
                while machine in self.cut_from:
                    await asyncio.sleep(0.02)
                    if reader.at_eof() or reader.exception() or writer.is_closing():
                        return
                kind, _, rest = line.partition(' ')
                if kind == 'TERMINATE':
                    return
                if kind == 'STARTUP':
                    words = rest.split(' ')
                    await asyncio.sleep(0.012)
                    if words[0] != self.group.name or (len(words) > 2 and words[2] != self.name):
                        out('ERROR MISROUTED', self.name)
                        return
                    started = True
                    out('READY I', pos())
                    await writer.drain()
                    continue
                if kind != 'QUERY' or not started:
                    return
                tag, _, text = rest.partition(' ')
                words = text.split(' ')
                after = None
                if words[0] == 'AFTER':
                    after = tuple(map(int, words[1].split('.')))
                    words = words[2:]
                error, rows, signature = None, [], '-'
                verb = words[0]
                if verb == 'EXECUTE':
                    if words[1] not in names:
                        error = 'NOSTMT'
                    else:
                        verb = names[words[1]]
                        words = [verb] + words[2:]
                if error is None and tx and tx['failed'] and verb not in ('COMMIT', 'ROLLBACK'):
                    error = 'MALFORMED'
                elif error is None and after and self.position < after:
                    error = 'LAGGING'
                elif error is None and tx and not tx['read'] and self.role != 'primary' \
                        and verb in ('READ', 'WRITE', 'COMMIT') and not (verb == 'COMMIT' and not tx['writes']):
                    error = 'READONLY'
                elif error is not None:
                    pass
                elif verb == 'STATUS':
                    await asyncio.sleep(0.001)
                    rows = ['%s %d %s 0 0 0 1' % (self.role, self.term, pos())]
                elif verb == 'STEPDOWN':
                    if self.role == 'primary' and self.term < int(words[1]):
                        self.group.record('server', self.name, 'steps down')
                        self.role = 'replica'
                        self.beat()
                    rows = ['%s %d %s 0 0 0 1' % (self.role, self.term, pos())]
                elif verb == 'BEGIN':
                    read = words[1:] == ['READ']
                    if not read and self.role != 'primary':
                        error = 'READONLY'
                    else:
                        tx = {'read': read, 'writes': [], 'failed': False}
                elif verb == 'READ':
                    await asyncio.sleep(0.002)
                    rows = [self.value(words[1])]
                    self.reads[tag] = (self.log, len(self.log))
                    signature = 's.%s.%s' % (self.name, tag)
                elif verb == 'WRITE':
                    await asyncio.sleep(0.002)
                    if self.role != 'primary':
                        error = 'READONLY'
                    else:
                        signature = 's.%s.%s' % (self.name, tag)
                        if tx:
                            tx['writes'].append((words[1], words[2], tag))
                        else:
                            self.group.commit(self, [(words[1], words[2], tag)])
                elif verb == 'COMMIT':
                    await asyncio.sleep(0.002)
                    signature = 's.%s.%s' % (self.name, tag)
                    if tx and tx['writes']:
                        self.group.commit(self, tx['writes'])
                    tx = None
                elif verb == 'ROLLBACK':
                    tx = None
                elif verb == 'PREPARE':
                    names[words[1]] = words[2]
                elif verb == 'DISCARD':
                    names = {}
                if tag != '-':
                    self.group.record('run', tag, text, 'at', self.name, error or 'ok', pos())
                if error:
                    if tx and error in ('READONLY', 'LAGGING'):
                        tx['failed'] = True
                    out('ERROR', error, self.name)
                else:
                    for row in rows:
                        out('DATAROW', row)
                    out('COMPLETE', signature)
                out('READY', state(), pos())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    def value(self, item):
        for _, _, key, data, _ in reversed(self.log):
            if key == item:
                return data
        return 'none'


class Group:
    def __init__(self, record, store, name, zones, lag=0.02, promote_s=0.6):
        self.record, self.store, self.name, self.promote_s = record, store, name, promote_s
        self.zones, self.lag = zones, lag
        self.servers, self.primary, self.term = {}, None, 0
        self.promoted_at = None

    async def add(self, name, zone, role='replica'):
        server = Server(self, name, zone, role, self.lag)
        if self.primary:
            server.log = list(self.primary.log)
        await server.start()
        self.servers[name] = server
        if role == 'primary':
            self.primary = server
        server.beat()
        return server

    def commit(self, server, writes):
        for item, data, tag in writes:
            server.log.append((server.term, server.position[1] + 1, item, data, tag))
            server.committed[tag] = now()
        asyncio.get_running_loop().create_task(self.replicate(server))

    async def replicate(self, primary):
        entries = list(primary.log)
        await asyncio.sleep(self.lag)
        for other in self.servers.values():
            if other is not primary and other.role == 'replica' and primary is self.primary \
                    and len(other.log) < len(entries):
                other.log = list(entries)
                other.term = max(other.term, primary.term)

    async def promote(self, name):
        server = self.servers.get(name)
        if server is None:
            return 409
        if server is self.primary and server.role == 'primary':
            return 200
        async def effect():
            await asyncio.sleep(self.promote_s)
            old = self.primary
            self.term += 1
            server.term, server.role, self.primary = self.term, 'primary', server
            self.promoted_at = now()
            self.record('promote: server', name, 'leads term', self.term, 'from position %d.%d' % server.position)
            server.beat()
            if old and old is not server and old.role == 'primary':
                await asyncio.sleep(1.0)
                old.role = 'replica'
                old.beat()
        asyncio.get_running_loop().create_task(effect())
        return 200

    async def heartbeats(self):
        while True:
            await asyncio.sleep(1.2)
            for server in self.servers.values():
                server.beat()


class Deployment:
    def __init__(self, folder):
        self.record = Record(Path(folder) / 'record.txt')
        self.folder = tempfile.mkdtemp(prefix='review2-')
        self.store = Store(self.record)
        self.groups, self.links, self.processes, self.ips = {}, {}, {}, {}
        self.tasks, self.started_at, self.fenced = [], {}, []

    async def open(self):
        self.tasks.append(asyncio.create_task(self.store.expire()))
        server = await asyncio.start_server(self.serve_promoter, '127.0.0.1', 0)
        self.promoter = server.sockets[0].getsockname()[1]
        self.port = free_ports('127.0.0.1', 8)

    async def serve_promoter(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            headers = {l.split(': ')[0].lower(): l.split(': ')[1] for l in head.split('\r\n')[1:] if ': ' in l}
            body = json.loads(await reader.readexactly(int(headers['content-length'])))
            self.record('promote:', body, headers['lease-holder'], 'token', headers['fencing-token'])
            self.fenced.append((now(), headers['lease-holder'], int(headers['fencing-token'])))
            status = await self.groups[body['service']].promote(body['id'])
            writer.write(b'HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n' % status)
            await writer.drain()
            writer.close()

    async def group(self, name, zones, **options):
        group = Group(self.record, self.store, name, zones, **options)
        self.groups[name] = group
        for index, zone in enumerate(zones):
            await group.add('i-%s%d' % (name, index), zone, 'primary' if index == 0 else 'replica')
        self.tasks.append(asyncio.create_task(group.heartbeats()))
        return group

    def configure(self, version, routes):
        """`routes`: host -> (kind, service)."""
        self.store.put('op/config', {
            'version': version,
            'routes': [{'name': 'r-' + host, 'host': host, 'prefix': '/', 'kind': kind, 'timeout_ms': 800,
                        'target_latency_ms': 200, 'priority': 1, 'service': service, 'max_attempts': 2,
                        'max_staleness_ms': 1500} for host, (kind, service) in routes.items()],
            'services': [{'name': name, 'health_path': '/health', 'max_connections': 28, 'protocol': 'h1',
                          'tls': False, 'sync_replicas': 0} for name in self.groups],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144, 'header_timeout_ms': 3000,
                       'idle_timeout_ms': 15000, 'tx_idle_ms': 3000}})
        self.record('operator: configuration', version, 'is acknowledged:', routes)

    async def machine(self, name, zone, zones):
        """Prepares a machine: its address, its settings file and its way to the store."""
        ip = '127.0.0.%d' % (11 + len(self.ips))
        self.ips[name], self.links[name] = ip, Link()
        store = await self.store.listen(name, self.links[name])
        p = self.port
        lines = ['node_name=' + name, 'role=instance', 'node_class=proxy', 'serves=proxy', 'ip=' + ip,
                 'zone=' + zone, 'region=r'] + ['zones.%s=r' % z for z in zones] + [
                 'listen.frontend=%s:%d' % (ip, p), 'listen.readiness=%s:%d' % (ip, p + 1),
                 'listen.admin=%s:%d' % (ip, p + 2), 'port_range=%d,%d' % (p + 3, p + 7), 'seeds=',
                 'bootstrap=true', 'limits.cpu_quota=0.25', 'limits.cores=1', 'limits.memory_mb=260',
                 'limits.max_fds=4300', 'limits.bandwidth_mbps=1000.0', 'heartbeat_ms=1200',
                 'bounds.stability_window_ms=4000', 'bounds.drain_timeout_ms=7000', 'bounds.grace_s=6',
                 'bounds.config_deadline_ms=3000', 'bounds.thaw_ms=300',
                 'platform.address=127.0.0.1:%d' % store, 'platform.form=kv', 'platform.min_ttl_ms=1000',
                 'cloud.address=127.0.0.1:%d' % self.promoter, 'cloud.duties=failover']
        Path(self.folder, name + '.conf').write_text('\n'.join(lines) + '\n')

    def spawn(self, name):
        log = open(Path(self.folder, name + '.log'), 'a')
        env = {'PATH': os.environ.get('PATH', ''), 'MASTICREEL_NODE_FILE': str(Path(self.folder, name + '.conf'))}
        self.started_at[name] = now()
        self.processes[name] = subprocess.Popen([PROGRAM], cwd=ROOT, env=env, stdout=log,
                                                stderr=log, stdin=subprocess.DEVNULL)
        self.record('machine', name, 'starts')

    async def ready(self, name, timeout=8):
        until = now() + timeout
        while now() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                r, w = await asyncio.open_connection(self.ips[name], self.port + 1)
                w.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await asyncio.wait_for(r.readline(), 1)
                w.close()
                if b' 200 ' in line:
                    return
            await asyncio.sleep(0.02)
        raise RuntimeError(name + ' is not ready')

    def close(self):
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.kill()
            process.wait()
        if not os.environ.get('DEBUG'):
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A client's session at a machine; one request at a time."""
    count = 0

    def __init__(self, deployment, machine, database):
        self.deployment, self.machine, self.database = deployment, machine, database
        self.reader = None

    async def open(self):
        d = self.deployment
        self.reader, self.writer = await asyncio.open_connection(d.ips[self.machine], d.port, limit=4 << 20)
        self.writer.write(('STARTUP %s u%d\r\n' % (self.database, Client.count)).encode())
        line = (await asyncio.wait_for(self.reader.readuntil(b'\r\n'), 2)).decode().strip()
        if not line.startswith('READY'):
            self.close()
            return line
        return None

    def close(self):
        if self.reader:
            with contextlib.suppress(Exception):
                self.writer.close()
        self.reader = None

    async def ask(self, text, timeout=2.0):
        """Returns (id, when the first byte was sent, rows, answer line), or None in place of the
        answer line if the connection broke or nothing came in time."""
        Client.count += 1
        tag = 'q%08x' % Client.count
        sent = now()
        rows, answer = [], None
        try:
            if self.reader is None:
                refused = await self.open()
                if refused:
                    return tag, sent, [], refused
                sent = now()
            self.writer.write(('QUERY %s %s\r\n' % (tag, text)).encode())
            while True:
                line = (await asyncio.wait_for(self.reader.readuntil(b'\r\n'), timeout)).decode().strip()
                if line.startswith('DATAROW'):
                    rows.append(line[8:])
                elif line.startswith('READY'):
                    return tag, sent, rows, answer
                else:
                    answer = line
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
            return tag, sent, rows, None


def run(scenario, folder):
    """Runs a scenario; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    async def main():
        deployment = Deployment(folder)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await deployment.open()
            return await asyncio.wait_for(scenario(deployment), 110)
        finally:
            deployment.close()
            for task in deployment.tasks:
                task.cancel()
    try:
        broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # the case couldn't run
        print('could not run: %r' % error)
        if os.environ.get('DEBUG'):
            raise
        sys.exit(2)
    sys.exit(1 if broken else 0)
