"""Stand-ins of the store and of plain servers, and the start of gateways. Loopback only."""
import asyncio
import base64
import json
import os
import signal
import socket
import struct
import subprocess
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    lines = (await reader.readuntil(b'\r\n\r\n'))[:-4].decode('latin1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_message(reader):
    """Reads a message whose body has a length, or none."""
    first, fields = await read_head(reader)
    return first, fields, await reader.readexactly(int(fields.get('content-length', 0)))


def make_response(status, fields, body):
    head = 'HTTP/1.1 %d X\r\n' % status
    head += ''.join('%s: %s\r\n' % field for field in fields)
    return (head + 'Content-Length: %d\r\n\r\n' % len(body)).encode() + body


class Store:
    """Keyed topics of the platform's store. Each gateway has a listener of its own, so that
    one of them can be cut off."""

    def __init__(self):
        self.topics = {}
        self.first = {}
        self.changed = asyncio.Condition()
        self.open = {}
        self.servers = []

    async def listen(self, name):
        self.open[name] = asyncio.Event()
        self.open[name].set()
        server = await asyncio.start_server(
            lambda r, w: self.serve(name, r, w), '127.0.0.1', 0, limit=8 << 20)
        self.servers.append(server)
        return '127.0.0.1:%d' % server.sockets[0].getsockname()[1]

    def cut(self, name):
        self.open[name].clear()

    def heal(self, name):
        self.open[name].set()

    async def put(self, topic, key, value):
        """Appends a record; an empty value removes the key. Returns the time of the ack."""
        async with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()
            return time.monotonic()

    def forget_history(self, topic):
        self.first[topic] = len(self.topics.get(topic, []))

    async def serve(self, name, reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                await self.open[name].wait()
                path, _, query = first.split(' ')[1].partition('?')
                arguments = dict(item.split('=', 1) for item in query.split('&'))
                status, content = await self.answer(path, arguments, body)
                # What is under way when the cut begins arrives after it.
                await self.open[name].wait()
                writer.write(make_response(status, [], content))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, path, arguments, body):
        topic = arguments['Topic']
        await asyncio.sleep(0.004)
        if path == '/pomelorouter/log-append':
            return await self.append(topic, arguments, body)
        if path == '/pomelorouter/log-newest':
            return self.newest(topic)
        return await self.read(topic, arguments)

    async def append(self, topic, arguments, body):
        async with self.changed:
            log = self.topics.setdefault(topic, [])
            if 'At' in arguments and int(arguments['At']) != len(log):
                return 412, json.dumps({'EndOffset': len(log)}).encode()
            offset = len(log)
            while body:
                length = struct.unpack('>I', body[:4])[0]
                record, body = body[4:4 + length], body[4 + length:]
                log.append((record[1:1 + record[0]].decode(), record[1 + record[0]:]))
            self.changed.notify_all()
            return 200, json.dumps({'Offset': offset, 'EndOffset': len(log)}).encode()

    def newest(self, topic):
        if topic not in self.topics:
            return 404, b'{}'
        log = self.topics[topic]
        records = {key: (offset, value) for offset, (key, value) in enumerate(log)}
        items = [{'Key': key, 'Value': base64.b64encode(value).decode(), 'Offset': offset}
                 for key, (offset, value) in sorted(records.items()) if value]
        return 200, json.dumps(
            {'items': items, 'HasMore': False, 'EndOffset': len(log)}).encode()

    async def read(self, topic, arguments):
        source = int(arguments['Source'])
        end = time.monotonic() + int(arguments.get('WaitMs', 0)) / 1000
        async with self.changed:
            while len(self.topics.get(topic, [])) <= source and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
            first = self.first.get(topic, 0)
            if source < first:
                return 410, json.dumps({'FirstOffset': first}).encode()
            log = self.topics.get(topic, [])
            content = struct.pack('>QQ', len(log), first)
            for key, value in log[source:source + 1024]:
                record = bytes([len(key)]) + key.encode() + value
                content += struct.pack('>I', len(record)) + record
            return 200, content


class PlainServer:
    """A sound server of a service without models. `on_run` is told of each run."""

    def __init__(self, name, service, on_run):
        self.name, self.service, self.on_run = name, service, on_run
        self.writes = True

    async def start(self, store):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = '127.0.0.1:%d' % self.server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        self.task = asyncio.ensure_future(self.write_entries(store))

    async def write_entries(self, store):
        sequence = 0
        while self.writes:
            sequence += 1
            entry = {'Service': self.service, 'Address': self.address, 'Zone': 'hanoi-a',
                     'Version': 'v1', 'Slots': 6, 'State': 'ready', 'ColdRemainingMs': 0,
                     'Sequence': sequence, 'born': self.born}
            await store.put('keyed.servers', self.name, json.dumps(entry).encode())
            await asyncio.sleep(1.2)

    async def leave(self, store):
        """Leaves without reporting `draining`. Returns the time of the store's ack."""
        self.writes = False
        self.task.cancel()
        return await store.put('keyed.servers', self.name, b'')

    def stop(self):
        self.writes = False
        self.task.cancel()
        self.server.close()

    async def serve(self, reader, writer):
        try:
            while True:
                _, fields, _ = await read_message(reader)
                attempt = fields.get('x-pomelorouter-attempt-id', '')
                if fields.get('x-pomelorouter-target-instance') != self.name:
                    writer.write(make_response(
                        421, [('X-Pomelorouter-Instance-Id', self.name)], b''))
                    continue
                self.on_run(self, attempt)
                await asyncio.sleep(0.015)
                writer.write(make_response(
                    200, [('X-Pomelorouter-Attempt-Id', attempt),
                          ('X-Pomelorouter-Server-Seal', self.name + '.' + attempt)],
                    b'x' * 800))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Gateway:
    def __init__(self, name, zone, ip, platform, folder):
        self.name, self.folder, self.process = name, folder, None
        ports = [free_port(ip) for _ in range(6)]
        self.front, self.ready, directory, self.control, peer, metrics = (
            '%s:%d' % (ip, port) for port in ports)
        self.settings = {
            'node_id': name, 'zone': zone, 'listen': self.front,
            'readiness_listen': self.ready, 'directory_listen': directory,
            'control_listen': self.control, 'peer_listen': peer, 'metrics_listen': metrics,
            'seeds': [], 'platform': platform, 'processor_share': 0.25,
            'link_mbit_per_s': 1000.0, 'memory_limit_mb': 260, 'descriptor_limit': 4100,
            'grace_period_ms': 8000, 'lease_duration_ms': 3000, 'engines_check_tokens': True}

    def start(self, seeds):
        self.settings['seeds'] = seeds
        path = os.path.join(self.folder, self.name + '.json')
        with open(path, 'w') as file:
            json.dump(self.settings, file)
        self.log = open(os.path.join(self.folder, self.name + '.log'), 'wb')
        self.process = subprocess.Popen(
            ['target/bin/pomelorouter', 'gateway'], cwd=ROOT, stdout=self.log,
            stderr=self.log,
            env={'POMELOROUTER_CONFIG': path, 'PATH': os.environ.get('PATH', '')})

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def wait_until_ready(self, limit_s=10.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(*split(self.ready))
                writer.write(b'GET /pomelorouter/readyz HTTP/1.1\r\nHost: a\r\n'
                             b'Connection: close\r\n\r\n')
                first, _ = await read_head(reader)
                writer.close()
                if ' 200 ' in first:
                    return True
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        return False


def split(address):
    ip, port = address.split(':')
    return ip, int(port)
