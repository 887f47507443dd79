"""Stand-ins of the platform's store, of backend servers and of clients, and the start of
gateways, for the cases of this review. Uses Python's standard library only."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "dues.example"


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


class Record:
    """Writes record.txt, one line an event, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()


def free_port(ip="127.0.0.1"):
    """A free port below those that the kernel gives to outgoing connections."""
    for _ in range(1000):
        port = random.randrange(12000, 30000)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((ip, port))
                udp.bind((ip, port))
                return port
            except OSError:
                continue
    raise CannotRun("no free port")


# Messages ---------------------------------------------------------------------------------


async def read_head(reader):
    """Returns the first line and the fields of a message; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in rest:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# The platform's store ---------------------------------------------------------------------


class Store:
    """The calls of the store that a gateway makes: log-append, log-read, log-newest."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.newest = {}
        self.changed = asyncio.Event()
        self.address = ""
        self.server = None
        self.is_down = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        records.append(bytes([len(key)]) + key.encode() + value)
        newest = self.newest.setdefault(topic, {})
        if value:
            newest[key] = (len(records) - 1, value)
        else:
            newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_config(self, config):
        self.put("keyed.op", "config", json.dumps(config).encode())

    def put_server(self, key, entry):
        self.put("keyed.servers", key, json.dumps(entry).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                status, kind, answer = await self.answer(method, target, body)
                writer.write(message(f"HTTP/1.1 {status} -",
                                     [("Content-Type", kind),
                                      ("Content-Length", len(answer))], answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, _method, target, body):
        if self.is_down:
            return 503, "application/json", b"{}"
        url = urlsplit(target)
        query = {name: value[0] for name, value in parse_qs(url.query).items()}
        topic = query.get("Topic", "")
        records = self.topics.setdefault(topic, [])
        if url.path == "/pomelorouter/log-append":
            if "At" in query and int(query["At"]) != len(records):
                return 412, "application/json", json.dumps(
                    {"EndOffset": len(records)}).encode()
            first = len(records)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                content, body = body[4:4 + size], body[4 + size:]
                key_size = content[0]
                self.put(topic, content[1:1 + key_size].decode(), content[1 + key_size:])
            return 200, "application/json", json.dumps(
                {"Offset": first, "EndOffset": len(records)}).encode()
        if url.path == "/pomelorouter/log-read":
            source = int(query.get("Source", "0"))
            until = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
            while len(records) <= source and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
                if self.is_down:
                    return 503, "application/json", b"{}"
            answer = struct.pack(">QQ", len(records), 0)
            for content in records[source:]:
                answer += struct.pack(">I", len(content)) + content
            return 200, "application/octet-stream", answer
        if url.path == "/pomelorouter/log-newest":
            items = [{"Key": key, "Value": base64.b64encode(value).decode(),
                      "Offset": offset}
                     for key, (offset, value) in self.newest.get(topic, {}).items()]
            return 200, "application/json", json.dumps(
                {"items": items, "HasMore": False, "EndOffset": len(records)}).encode()
        return 404, "application/json", b"{}"


# Backend servers --------------------------------------------------------------------------


class Server:
    """One backend server: registers itself, and answers each request with `handler`, a
    coroutine `(server, request, writer)`. It checks X-Pomelorouter-Target-Instance."""

    def __init__(self, store, record, key, service, handler, zone="hanoi-a", models=None,
                 slots=6):
        self.store = store
        self.record = record
        self.key = key
        self.service = service
        self.handler = handler
        self.zone = zone
        self.models = models
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.count = 0
        self.state = "ready"
        self.server = None
        self.address = ""
        self.task = None
        self.runs = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.task = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.count += 1
            entry = {"Service": self.service, "Address": self.address, "Zone": self.zone,
                     "Version": "v1", "Slots": self.slots, "State": self.state,
                     "ColdRemainingMs": 0, "Sequence": self.count, "born": self.born}
            if self.models is not None:
                entry["Phase"] = "combined"
                entry["Models"] = [{"Name": name, "Version": 1, "Adapters": []}
                                   for name in self.models]
            self.store.put_server(self.key, entry)
            await asyncio.sleep(1.2)

    def ran(self, attempt):
        self.runs[attempt] = self.runs.get(attempt, 0) + 1

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ")
                fields = head[1]
                body = await read_body(reader, fields)
                request = {"method": method, "target": target, "fields": fields,
                           "body": body,
                           "attempt": fields.get("x-pomelorouter-attempt-id", "")}
                meant = fields.get("x-pomelorouter-target-instance", self.key)
                if meant != self.key:
                    writer.write(message("HTTP/1.1 421 Misdirected Request",
                                         self.fields(request) +
                                         [("X-Pomelorouter-Not-Executed", "1"),
                                          ("Content-Length", 0)]))
                    await writer.drain()
                    continue
                await self.handler(self, request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def fields(self, request):
        result = [("X-Pomelorouter-Instance-Id", self.key)]
        if request["attempt"]:
            result.append(("X-Pomelorouter-Attempt-Id", request["attempt"]))
        return result

    def ok(self, request, body, kind="application/octet-stream"):
        return message("HTTP/1.1 200 OK", self.fields(request) +
                       [("X-Pomelorouter-Server-Seal", "seal-" + request["attempt"]),
                        ("Content-Type", kind), ("Content-Length", len(body))], body)


# Configuration ----------------------------------------------------------------------------


def route(name, path, service, kind, timeout_ms, target_ms, attempts, **more):
    return {"Name": name, "Host": HOST, "PathPrefix": path, "RouteType": kind,
            "TimeoutMs": timeout_ms, "TargetLatencyMs": target_ms, "TargetGapMs": 250,
            "Priority": 2, "MaxAttempts": attempts, "Service": service,
            "Resumable": False, "Sticky": False, **more}


def config(version, routes, services, idle_ms=15000):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": idle_ms}}


# Gateways ---------------------------------------------------------------------------------


def lookup(values, path):
    for part in path.split("."):
        values = values[int(part)] if isinstance(values, list) else values[part]
    return values


def render(template, values):
    """The subset of the platform's templates that deploy/gateway.json.template uses."""
    def section(match):
        return match.group(3) if bool(lookup(values, match.group(2))) == (
            match.group(1) == "#") else ""

    def value(match):
        found = lookup(values, match.group(1))
        return json.dumps(found) if match.group(2) else str(found)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Gateway:
    """One process of the project, with settings as the platform renders them."""

    def __init__(self, store, folder, name, ip="127.0.0.1", zone="hanoi-a"):
        self.name = name
        ports = {part: free_port(ip) for part in
                 ("Frontend", "Readiness", "ControlPlane", "DirectoryAddr")}
        self.addresses = {part: f"{ip}:{port}" for part, port in ports.items()}
        self.values = {
            "NodeName": name, "Ip": ip, "Zone": zone, "ListenersMap": self.addresses,
            "InternalPortRange": [free_port(ip), free_port(ip)],
            "SeedNodes": [self.addresses["ControlPlane"]],
            "Limits": {"CpuQuota": 0.25, "MemoryLimitMb": 260, "FdLimit": 4100,
                       "LinkBandwidthMbps": 1000.0},
            "Bounds": {"GracePeriodS": 8, "LeaseMs": 3000, "FencingRequired": True},
            "Platform": {"Address": store.address}}
        self.settings = os.path.join(folder, name + ".json")
        self.write_settings()
        self.log = open(os.path.join(folder, name + ".log"), "w", encoding="utf-8")
        self.process = None

    def write_settings(self, seeds=None):
        """Renders the settings file, as the platform does at a start and at a change."""
        if seeds:
            self.values["SeedNodes"] = list(seeds)
        with open(os.path.join(ROOT, "deploy/gateway.json.template"),
                  encoding="utf-8") as file:
            text = render(file.read(), self.values)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    @property
    def frontend(self):
        ip, port = self.addresses["Frontend"].split(":")
        return ip, int(port)

    def start(self):
        binary = os.path.join(ROOT, "target/bin/pomelorouter")
        if not os.path.exists(binary):
            raise CannotRun("the build of the deploy file has not run")
        self.process = subprocess.Popen(
            [binary, "gateway"], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log,
            stderr=self.log, env={"PATH": os.environ.get("PATH", ""),
                                  "POMELOROUTER_CONFIG": self.settings})

    async def wait_ready(self, limit_s=20):
        ip, port = self.addresses["Readiness"].split(":")
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(message("GET /pomelorouter/readyz HTTP/1.1",
                                     [("Host", self.addresses["Readiness"]),
                                      ("Connection", "close")]))
                head = await read_head(reader)
                writer.close()
                if head and " 200 " in head[0] + " ":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready after {limit_s} s")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


# Clients ----------------------------------------------------------------------------------


class Answer:
    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.is_whole = False
        self.problem = ""


class Client:
    """One kept channel to a gateway. It reads `bytes_per_s` (0: as fast as they come)."""

    def __init__(self, address, bytes_per_s=0, receive_buffer=0, segment=0):
        self.address = address
        self.bytes_per_s = bytes_per_s
        self.receive_buffer = receive_buffer
        self.segment = segment
        self.socket = None
        self.loop = asyncio.get_running_loop()
        self.buffer = b""

    async def connect(self):
        self.socket = socket.socket()
        if self.receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        if self.segment:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.segment)
        self.socket.setblocking(False)
        await self.loop.sock_connect(self.socket, self.address)
        self.buffer = b""

    def close(self):
        if self.socket:
            self.socket.close()
            self.socket = None

    async def receive(self):
        piece = await self.loop.sock_recv(self.socket, 16384 if self.bytes_per_s else 1 << 20)
        if self.bytes_per_s:
            await asyncio.sleep(len(piece) / self.bytes_per_s)
        if not piece:
            raise EOFError("the channel was closed")
        self.buffer += piece

    async def take(self, size):
        parts = []
        while size > 0:
            if not self.buffer:
                await self.receive()
            part, self.buffer = self.buffer[:size], self.buffer[size:]
            size -= len(part)
            parts.append(part)
        return b"".join(parts)

    async def line(self):
        while b"\r\n" not in self.buffer:
            await self.receive()
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line

    async def send(self, method, path, attempt, budget_ms, body=b"", fields=()):
        """Sends one request and reads its answer. A channel that ends leaves `is_whole`
        false and `problem` set."""
        answer = Answer()
        try:
            if self.socket is None:
                await self.connect()
            await self.loop.sock_sendall(self.socket, message(
                f"{method} {path} HTTP/1.1",
                [("Host", HOST), ("X-Pomelorouter-Attempt-Id", attempt),
                 ("X-Pomelorouter-Deadline-Ms", budget_ms), *fields] +
                ([("Content-Length", len(body))] if method == "POST" else []), body))
            await asyncio.wait_for(self.read(answer), budget_ms / 1000)
        except (EOFError, OSError, asyncio.TimeoutError) as failure:
            answer.problem = str(failure) or "no whole answer within the time budget"
            self.close()
        return answer

    async def read(self, answer):
        answer.status = int((await self.line()).split()[1])
        while line := await self.line():
            name, _, value = line.decode("latin-1").partition(":")
            answer.fields[name.strip().lower()] = value.strip()
        if answer.fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int(await self.line(), 16)
                answer.body += await self.take(size)
                await self.take(2)
                if size == 0:
                    break
        else:
            size = int(answer.fields.get("content-length", "0"))
            answer.body = await self.take(size)
        answer.is_whole = True
        if answer.fields.get("connection", "").lower() == "close":
            self.close()


# Running a case ---------------------------------------------------------------------------


def run_case(record_path, trouble, main):
    """Runs `main(record, scratch, trouble)`, which returns whether the rule held, and
    returns the exit code of the script."""
    record = Record(record_path)
    scratch = tempfile.mkdtemp(prefix="case-")
    record("with the disruption" if trouble else "without the disruption (TROUBLE=0)")

    async def bounded():
        task = asyncio.ensure_future(main(record, scratch, trouble))
        # A script that is stopped ends its processes too.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, 110)

    try:
        held = asyncio.run(bounded())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as failure:
        record(f"could not run: {failure or 'too slow'}")
        return 2
    finally:
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(scratch, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(scratch, ignore_errors=True)
    record("the rule held" if held else "the rule was broken")
    return 0 if held else 1
