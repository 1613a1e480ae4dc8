"""A machine that is new writes at an old primary after a promotion (rule ONE); see claim.txt."""
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
    for server in group.servers.values():
        server.processes = d.processes
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

    commits, others, ends = [], [], now() + 60

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

    async def write_at_new():
        # The platform asks once a second whether the machine is ready, and then sends it clients.
        await d.ready(NEW)
        await asyncio.sleep(1.0)
        client, n = Client(d, NEW, 'coins'), 0
        while now() < ends:
            n += 1
            tag, sent, rows, answer = await client.ask('WRITE other%d data%d' % (n % 5, n))
            if answer is not None:
                say('write', tag, 'at', NEW, '->', answer)
                if answer.startswith('COMPLETE s.'):
                    others.append((sent, now(), tag, answer.split('.')[1]))
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
                old.cut_from.add(LEADER)
                say('the primary', old.name, 'is cut from', LEADER)
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
    tasks.append(asyncio.create_task(write_at_new()))
    await asyncio.sleep(2.0)
    d.processes[FOLLOWER].send_signal(signal.SIGTERM)
    say('machine', FOLLOWER, 'gets SIGTERM: it is replaced by', NEW)
    await asyncio.sleep(start + 3.95 - now())
    d.links[LEADER].heal()
    old.cut_from.clear()
    say('the cuts end')
    await asyncio.sleep(2)
    ends = 0
    await asyncio.gather(*tasks)
    final = {entry[4] for entry in group.primary.log}
    late = 0
    for sent, answered, tag, server in others:
        committed_at = group.servers[server].committed.get(tag)
        if server == old.name and group.promoted_at and committed_at > group.promoted_at:
            late += 1
            if late <= 20:
                say('ONE: write', tag, 'was committed at', server, '%.3f s after the promotion took effect, and acknowledged;' % (committed_at - group.promoted_at),
                    'it is', 'kept' if tag in final else 'lost')
    lost = [tag for _, _, tag, _ in others if tag not in final]
    say(len(others), 'writes acknowledged at', NEW, 'of which', late, 'at the old primary after the promotion;', len(lost), 'are not in the log of the new primary')
    print('%d writes acknowledged at the new machine, of which %d at the old primary after the promotion; %d lost' % (len(others), late, len(lost)))
    return late > 0

run(scenario, HERE)
