"""A restarted machine serves an old configuration beyond the deadline (rule CONFIG); see claim.txt."""
import asyncio, os, signal, sys
from pathlib import Path
HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin-2'))
from deployment import Client, now, run

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = ['za', 'zb']
WATCHER, FOLLOWER, OTHER = 'front-a-1', 'front-a-2', 'front-b-1'
DEADLINE_S, STABILITY_S = 3.0, 4.0
ROUNDS = 4
SPAWN = float(os.environ.get('SPAWN', '0.85'))


async def scenario(d):
    say = d.record
    await d.group('first', ['za', 'zb', 'zb'])
    await d.group('second', ['za', 'zb', 'zb'])
    for name in (WATCHER, FOLLOWER, OTHER):
        await d.machine(name, 'z' + name.split('-')[1], ZONES)
    version, service = 1, 'first'
    d.configure(version, {'moved': ('primary', service), 'kept': ('primary', 'first')})
    for name in (WATCHER, FOLLOWER, OTHER):
        d.spawn(name)
    for name in (WATCHER, FOLLOWER, OTHER):
        await d.ready(name)
    await asyncio.sleep(4)
    late_total = 0
    for turn in range(ROUNDS):
        # Planned work: the follower is stopped and started again.
        d.processes[FOLLOWER].send_signal(signal.SIGTERM)
        say('machine', FOLLOWER, 'gets SIGTERM')
        while d.processes[FOLLOWER].poll() is None:
            await asyncio.sleep(0.005)
        say('machine', FOLLOWER, 'has ended')
        asked = asyncio.Event()

        def watch(machine, method, path, body):
            if machine == WATCHER and path == '/kv-watch' and not asked.is_set():
                asked.set()
                if TROUBLE:
                    d.links[WATCHER].cut()
                    say('machine', WATCHER, 'is cut from the store')
        d.store.seen.append(watch)
        await asked.wait()
        cut_at = now()
        await asyncio.sleep(0.4)
        version += 2
        d.configure(version, {'moved': ('primary', service), 'kept': ('primary', 'first'), 'new%d' % turn: ('primary', 'first')})
        await asyncio.sleep(cut_at + SPAWN - now())
        d.spawn(FOLLOWER)
        started = d.started_at[FOLLOWER]
        await d.ready(FOLLOWER)
        say('machine', FOLLOWER, 'is ready')
        old, service = service, 'second' if service == 'first' else 'first'
        await asyncio.sleep(0.05)
        version += 3
        d.configure(version, {'moved': ('primary', service), 'kept': ('primary', 'first')})
        acknowledged = now()
        client, late = Client(d, FOLLOWER, 'moved'), 0
        n = 0
        while now() < started + 5.5:
            if d.links[WATCHER].open.is_set() is False and now() >= cut_at + 5.3:
                d.links[WATCHER].heal()
                say('the cut ends after %.3f s' % (now() - cut_at))
            n += 1
            tag, sent, _, answer = await client.ask('WRITE item%d data%d' % (n % 5, n))
            # The rule holds for machines in touch: started the stability window ago or earlier.
            in_touch = sent >= started + STABILITY_S + 0.01
            ran_by = answer.split('.')[1][2:-1] if answer and answer.startswith('COMPLETE s.') else None
            if ran_by == old and in_touch and sent > acknowledged + DEADLINE_S:
                late += 1
                say('CONFIG: write', tag, 'ran by service', ran_by, 'though version', version, 'was acknowledged %.3f s before;' % (sent - acknowledged),
                    'the machine started %.3f s before' % (sent - started))
            else:
                say('write', tag, 'at', FOLLOWER, '->', answer)
            await asyncio.sleep(0.004)
        client.close()
        d.links[WATCHER].heal()
        d.store.seen.remove(watch)
        say('round', turn + 1, ':', late, 'writes handled by the old configuration')
        late_total += late
        await asyncio.sleep(4.5)
    print('%d writes handled by the old configuration later than the deadline, in %d rounds' % (late_total, ROUNDS))
    return late_total > 0

run(scenario, HERE)
