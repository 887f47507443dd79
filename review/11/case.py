"""A gateway that was cut off from the store goes on sending to a server that has left.

Two gateways, one store, a service with servers that leave without reporting it. In each of
four rounds the first gateway is cut off from the store for 6 s, and the store forgets its
history at the start of the cut. 0.6 s after the cut one server's entry is removed. The rule
is broken if a request that was sent to the first gateway while it was in touch runs on that
server later than DrainMs after the store's ack."""
import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'standins-3'))
from kit import Gateway, PlainServer, Store, read_message, split  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ROUNDS = 4
CUT_S = 6.0
LEAVES_AFTER_S = 0.6
DRAIN_S = 2.0
CONTACT_S = 3.0
# A server that left goes on serving for DrainMs and a little longer.
LINGER_S = DRAIN_S + 1.5
CLIENTS = 8
PAUSE_S = 0.1
CONFIG = {
    'Version': 1,
    'Routes': [{'Name': 'payment-post', 'Host': 'dues.example', 'PathPrefix': '/pay/',
                'RouteType': 'non_idempotent', 'TimeoutMs': 800, 'TargetLatencyMs': 100,
                'Priority': 2, 'Service': 'ledger-app', 'MaxAttempts': 1}],
    'Services': [{'Name': 'ledger-app', 'HealthPath': '/healthz', 'MaxConnections': 100,
                  'Protocol': 'h1', 'Tls': False}],
    'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 4194304, 'HeaderTimeoutMs': 3000,
               'IdleTimeoutMs': 15000}}

begin = time.monotonic()
record = open(os.path.join(FOLDER, 'record.txt'), 'w')
sent = {}
runs = []


def note(text):
    record.write('%8.3f s  %s\n' % (time.monotonic() - begin, text))


def on_run(server, attempt):
    runs.append((time.monotonic(), server.name, attempt))
    note('%s runs %s' % (server.name, attempt))


async def client(number, gateway, end):
    reader = writer = None
    count = 0
    while time.monotonic() < end:
        count += 1
        attempt = '%04x%012x' % (number, count)
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(*split(gateway.front))
            sent[attempt] = time.monotonic()
            note('client %d sends %s to %s' % (number, attempt, gateway.name))
            writer.write(('POST /pay/%d HTTP/1.1\r\nHost: dues.example\r\n'
                          'X-Pomelorouter-Attempt-Id: %s\r\n'
                          'X-Pomelorouter-Deadline-Ms: 1500\r\nContent-Length: 600\r\n\r\n'
                          % (number, attempt)).encode() + b'p' * 600)
            first, fields, _ = await asyncio.wait_for(read_message(reader), 3.0)
            note('client %d gets %s for %s' % (number, first.split(' ')[1], attempt))
            if fields.get('connection', '').lower() == 'close':
                writer.close()
                writer = None
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as problem:
            note('client %d gets no answer for %s: %r' % (number, attempt, problem))
            if writer is not None:
                writer.close()
            writer = None
        await asyncio.sleep(PAUSE_S)


async def play(store, gateway, servers):
    """Plays the rounds. Returns for each the server, the end of the cut and the ack."""
    rounds = []
    for number in range(ROUNDS):
        new = PlainServer('i-%d' % (number + 3), 'ledger-app', on_run)
        await new.start(store)
        servers.append(new)
        await asyncio.sleep(2.0)
        if TROUBLE:
            note('%s is cut off from the store' % gateway.name)
            store.cut(gateway.name)
            await asyncio.sleep(0.5)
            note('the store forgets its history')
            for topic in list(store.topics):
                store.forget_history(topic)
            await asyncio.sleep(CUT_S - 0.5)
            store.heal(gateway.name)
        else:
            await asyncio.sleep(CUT_S)
        healed = time.monotonic()
        note('%s has a path to the store' % gateway.name)
        await asyncio.sleep(LEAVES_AFTER_S)
        leaving = servers.pop(0)
        acked = await leaving.leave(store)
        note('%s is gone: acked by the store' % leaving.name)
        rounds.append((leaving.name, healed, acked))
        await asyncio.sleep(LINGER_S)
        leaving.stop()
    return rounds


def judge(rounds):
    broken = 0
    for name, healed, acked in rounds:
        late = [(at, attempt) for at, server, attempt in runs
                if server == name and at > acked + DRAIN_S
                and sent[attempt] >= healed + CONTACT_S]
        note('%s: %d requests later than DrainMs, the last %.0f ms after the ack'
             % (name, len(late), 1000 * (max(late)[0] - acked) if late else 0))
        broken += len(late)
    return broken


async def main():
    folder = tempfile.mkdtemp()
    gateways, servers = [], []
    try:
        store = Store()
        await store.put('keyed.op', 'config', json.dumps(CONFIG).encode())
        for number in range(3):
            server = PlainServer('i-%d' % number, 'ledger-app', on_run)
            await server.start(store)
            servers.append(server)
        for number, zone in enumerate(('hanoi-a', 'hanoi-b')):
            name = 'edge-%s-1' % zone
            gateways.append(Gateway(name, zone, '127.0.0.%d' % (number + 1),
                                    await store.listen(name), folder))
        for gateway in gateways:
            gateway.start([item.control for item in gateways])
        for gateway in gateways:
            if not await gateway.wait_until_ready():
                print('a gateway did not become ready')
                return 2
        await asyncio.sleep(3.0)
        playing = asyncio.ensure_future(play(store, gateways[0], servers))
        end = time.monotonic() + ROUNDS * (2.0 + CUT_S + LEAVES_AFTER_S + LINGER_S)
        await asyncio.gather(*[client(number, gateways[0], end)
                               for number in range(CLIENTS)])
        broken = judge(await playing)
        if not runs or any(item.process.poll() is not None for item in gateways):
            print('the case could not run')
            return 2
        print('%d requests ran on a server later than DrainMs after it was gone' % broken)
        return 1 if broken else 0
    finally:
        for gateway in gateways:
            gateway.end()
        record.close()
        shutil.rmtree(folder, ignore_errors=True)


async def run():
    playing = asyncio.ensure_future(main())
    # A stopped script ends its gateways too.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
    try:
        status = await playing
    except (Exception, asyncio.CancelledError) as problem:
        print('the case could not run: %r' % problem)
        status = 2
    sys.stdout.flush()
    os._exit(status)

asyncio.run(run())
