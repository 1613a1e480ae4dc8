"""A machine that is new reads stale data at an old primary (rule STALE); see claim.txt."""
import asyncio, os, signal, sys
from pathlib import Path
HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin-2'))
from deployment import Client, now, run

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = ['za', 'zb']
LEADER, FOLLOWER, OTHER, NEW = 'front-a-1', 'front-a-2', 'front-b-1', 'front-a-3'


async def scenario(d):
    say = d.record
    group = await d.group('hint', ['za', 'zb', 'zb'])
    d.configure(1, {'coins': ('primary', 'hint')})
    for name in (LEADER, FOLLOWER, OTHER, NEW):
        await d.machine(name, 'z' + name.split('-')[1], ZONES)
    d.spawn(LEADER)
    while d.store.get('masticreel/duty') is None or d.store.get('masticreel/group/hint') is None:
        await asyncio.sleep(0.01)
    d.spawn(FOLLOWER)
    d.spawn(OTHER)
    for name in (LEADER, FOLLOWER, OTHER):
        await d.ready(name)
    await asyncio.sleep(5)
    assert d.store.get('masticreel/duty')[0] == LEADER
    old = group.primary

    commits, reads, ends = [], [], now() + 60

    async def write():
        client, n = Client(d, OTHER, 'coins'), 0
        while now() < ends:
            n += 1
            tag, sent, _, answer = await client.ask('WRITE item%d data%d' % (n % 5, n))
            if answer and answer.startswith('COMPLETE s.'):
                commits.append((now(), tag))
            say('write', tag, 'at', OTHER, '->', answer)
            await asyncio.sleep(0.01)
        client.close()

    async def read():
        # The platform asks once a second whether the machine is ready, and then sends it clients.
        await d.ready(NEW)
        await asyncio.sleep(1.0)
        client, n = Client(d, NEW, 'coins'), 0
        while now() < ends:
            n += 1
            tag, sent, rows, answer = await client.ask('READ item%d' % (n % 5))
            if answer is not None:
                say('read', tag, 'at', NEW, '->', rows, answer)
                if answer.startswith('COMPLETE s.'):
                    reads.append((sent, tag, answer.split('.')[1]))
            await asyncio.sleep(0.005)
        client.close()

    tasks = [asyncio.create_task(write())]
    await asyncio.sleep(1)
    # A release of the primary: the new server first, then the old one reports that it leaves.
    await group.add('i-hint9', 'za')
    await asyncio.sleep(1.5)
    renewed = asyncio.Event()
    d.store.answered.append(lambda machine, path, _: machine == LEADER and path.startswith('/kv-keep/') and renewed.set())
    await renewed.wait()
    await asyncio.sleep(0.5)  # found at 0.1, 0.3, 0.5, 0.7 and 0.93 s alike
    leaving = asyncio.Event()

    def told(machine, path, answer):
        if machine == LEADER and path == '/kv-watch' and not leaving.is_set() \
                and any(e['key'] == 'servers/' + old.name for e in answer['events']):
            leaving.set()
            if TROUBLE:
                d.links[LEADER].cut()
                say('the leader', LEADER, 'is cut from the store')
    d.store.answered.append(told)
    d.store.seen.append(lambda m, method, path, body: path in ('/kv-txn',) and say('store:', m, path, body.decode()[:150]))
    old.state = 'draining'
    old.beat()
    say('release: the primary', old.name, 'reports that it leaves')
    await leaving.wait()
    start = now()
    await asyncio.sleep(0.1)
    d.spawn(NEW)
    tasks.append(asyncio.create_task(read()))
    await asyncio.sleep(2.0)
    d.processes[FOLLOWER].send_signal(signal.SIGTERM)
    say('machine', FOLLOWER, 'gets SIGTERM: it is replaced by', NEW)
    await asyncio.sleep(start + 3.95 - now())
    d.links[LEADER].heal()
    say('the cut ends')
    await asyncio.sleep(2)
    ends = 0
    await asyncio.gather(*tasks)
    final = {entry[4] for entry in group.primary.log}
    acknowledged = [(at, tag) for at, tag in commits if tag in final]
    stale = 0
    for sent, tag, server in reads:
        log, length = group.servers[server].reads[tag]
        known = {entry[4] for entry in log[:length]}
        missing = [c for at, c in acknowledged if at < sent and c not in known]
        if missing:
            stale += 1
            if stale <= 20:
                say('STALE: read', tag, 'ran at', server, 'whose log lacked', len(missing), 'acknowledged commits, the first', missing[0])
    say(len(commits), 'writes acknowledged,', len(reads), 'reads answered at', NEW, 'of which', stale, 'stale')
    print('%d writes acknowledged, %d reads answered at the new machine, of which %d stale' % (len(commits), len(reads), stale))
    return stale > 0

run(scenario, HERE)
