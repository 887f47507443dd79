"""Stand-ins for the review's scripts: the platform's store, backend servers, clients and a
runner for gateway processes. They follow PROTOCOL.md and DEPLOY.md; only the standard
library is used, and every address is a loopback address."""

import argparse
import asyncio
import base64
import collections
import hashlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
# The command of deploy/system.toml, started in the root of the repository.
COMMAND = ["target/bin/pomelorouter", "gateway"]
BINARY = os.path.join(ROOT, COMMAND[0])
HOST = "127.0.0.1"
TIME_LIMIT_S = 100
REASONS = {200: "OK", 202: "Accepted", 403: "Forbidden", 404: "Not Found", 408: "Timeout",
           409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 500: "Error",
           502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}


class Record:
    """Writes record.txt: one line for each event, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, kind, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():9.3f} {kind} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Reads a start line and the header; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_end=False):
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
            body += chunk
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_end else b""


def response(status, body=b"", fields=None):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    for name, value in (fields or {}).items():
        lines.append(f"{name}: {value}")
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serves HTTP/1.1 on a loopback port; subclasses define `answer`."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.connection, HOST, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def close(self):
        """Ends like a process that is stopped: no listener, all channels closed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                data = await self.answer(method, target, head[1], body, writer)
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(HttpServer):
    """The platform's store: keyed topics with one partition."""

    def __init__(self, topics=None):
        super().__init__()
        self.topics = topics if topics is not None else collections.defaultdict(list)
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.topics[topic].append((key, data))
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def query(target):
        path, _, text = target.partition("?")
        pairs = dict(part.split("=", 1) for part in text.split("&") if "=" in part)
        return path, pairs

    async def answer(self, method, target, fields, body, writer):
        path, query = self.query(target)
        topic = query.get("Topic", "")
        if path == "/pomelorouter/log-append":
            return self.append(topic, query, body)
        if path == "/pomelorouter/log-newest":
            return self.newest(topic)
        if path == "/pomelorouter/log-read":
            return await self.read(topic, query)
        return response(404)

    def append(self, topic, query, body):
        if topic in ("keyed.op", "keyed.servers"):
            return response(403)
        end = len(self.topics[topic])
        if "At" in query and int(query["At"]) != end:
            return self.json(412, {"EndOffset": end})
        position = 0
        while position < len(body):
            size = struct.unpack(">I", body[position:position + 4])[0]
            record = body[position + 4:position + 4 + size]
            position += 4 + size
            key = record[1:1 + record[0]].decode()
            self.put(topic, key, record[1 + record[0]:])
        return self.json(200, {"Offset": end, "EndOffset": len(self.topics[topic])})

    def newest(self, topic):
        records = self.topics[topic]
        latest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        items = [{"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
                 for key, (offset, value) in sorted(latest.items()) if value]
        return self.json(200, {"items": items, "HasMore": False, "EndOffset": len(records)})

    async def read(self, topic, query):
        source = int(query.get("Source", "0"))
        end_time = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while len(self.topics[topic]) <= source and time.monotonic() < end_time:
            try:
                await asyncio.wait_for(self.changed.wait(), end_time - time.monotonic())
            except asyncio.TimeoutError:
                break
        records = self.topics[topic]
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[source:]:
            content = bytes([len(key)]) + key.encode() + value
            data += struct.pack(">I", len(content)) + content
        return response(200, data, {"Content-Type": "application/octet-stream"})

    @staticmethod
    def json(status, value):
        return response(status, json.dumps(value).encode(), {"Content-Type": "application/json"})


class PlainServer(HttpServer):
    """A backend server of a plain service. It notes each run, and answers with its seal."""

    def __init__(self, record, server_id, service, work_s=0.02):
        super().__init__()
        self.record = record
        self.id = server_id
        self.service = service
        self.work_s = work_s
        self.runs = collections.Counter()

    def entry(self, state="ready", sequence=1):
        return {"Service": self.service, "Address": self.address, "Zone": "zone-a",
                "Version": "v1", "Slots": 64, "State": state, "ColdRemainingMs": 0,
                "Sequence": sequence, "born": 1_770_000_000_000}

    async def answer(self, method, target, fields, body, writer):
        attempt = fields.get("x-pomelorouter-attempt-id", "")
        if target == "/healthz":
            return response(200, b"", {"X-Pomelorouter-Instance-Id": self.id})
        expected = fields.get("x-pomelorouter-target-instance")
        if expected not in (None, self.id):
            return response(421, b"", {"X-Pomelorouter-Instance-Id": self.id})
        self.runs[attempt] += 1
        self.record.write("run", server=self.id, service=self.service, request=attempt,
                          path=target, bytes=len(body))
        await asyncio.sleep(self.work_s)
        text = f"{self.id} {attempt} {len(body)}".encode()
        seal = hashlib.sha256(text).hexdigest()[:16]
        self.record.write("server_answer", server=self.id, request=attempt, status=200)
        return response(200, text, {"X-Pomelorouter-Attempt-Id": attempt,
                                    "X-Pomelorouter-Server-Seal": seal,
                                    "X-Pomelorouter-Instance-Id": self.id})


class ModelEngine(HttpServer):
    """A model engine: streams, orders and reports. An order to load more than its memory
    holds crashes it, as PROTOCOL.md says."""

    weight_mb = 230000.0
    adapter_slots = 8

    def __init__(self, record, server_id, service, sizes, models, load_s=1.0, unload_s=0.2):
        super().__init__()
        self.record = record
        self.id = server_id
        self.service = service
        self.sizes = sizes
        self.models = list(models)
        self.load_s = load_s
        self.unload_s = unload_s
        self.sequence = 0
        self.highest_token = 0
        self.busy = None
        self.over_limit = []
        self.has_crashed = False
        self.runs = collections.Counter()

    def held(self):
        return [{"Name": name, "Version": 1, "Adapters": []} for name in self.models]

    def entry(self, state="ready", sequence=1):
        return {"Service": self.service, "Address": self.address, "Zone": "zone-a",
                "Version": "v1", "Slots": 64, "State": state, "ColdRemainingMs": 0,
                "Phase": "combined", "Models": self.held(), "Sequence": sequence,
                "born": 1_770_000_000_000,
                "Available": {"Resident": [], "CachedOnDisk": sorted(self.sizes)}}

    async def answer(self, method, target, fields, body, writer):
        if target == "/pomelorouter/report":
            value = {"Phase": "combined", "Models": self.held(), "Busy": self.busy is not None,
                     "Sequence": self.sequence, "Queued": 0, "Active": 0, "KvUsed": 0,
                     "KvTotal": 100000, "Handles": 0}
            return response(200, json.dumps(value).encode(),
                            {"Content-Type": "application/json"})
        if target == "/healthz":
            return response(200, b"", {"X-Pomelorouter-Instance-Id": self.id})
        if fields.get("x-pomelorouter-target-instance") not in (None, self.id):
            return response(421, b"", {"X-Pomelorouter-Instance-Id": self.id})
        if target == "/pomelorouter/order":
            return await self.order(json.loads(body))
        return await self.stream(target, fields, writer)

    async def order(self, order):
        model = order["Model"]
        token = order["FencingToken"]
        if token < self.highest_token:
            status = 412
        elif self.busy is not None or order.get("Expected", self.sequence) != self.sequence:
            status = 409
        elif (order["Operation"] == "loading") == (model in self.models):
            status = 200
        else:
            status = 202
        self.highest_token = max(self.highest_token, token)
        held = sum(self.sizes[name] for name in self.models)
        self.record.write("order", engine=self.id, operation=order["Operation"], model=model,
                          holder=order["Holder"], token=token, answer=status,
                          held=",".join(self.models), held_mb=f"{held:.0f}")
        if status != 202:
            return response(status)
        self.sequence += 1
        if order["Operation"] == "loading" and held + self.sizes[model] > self.weight_mb:
            self.over_limit.append((model, held + self.sizes[model]))
            self.has_crashed = True
            self.record.write("engine_crashes", engine=self.id, model=model,
                              wanted_mb=f"{held + self.sizes[model]:.0f}",
                              memory_mb=f"{self.weight_mb:.0f}")
            asyncio.get_running_loop().call_soon(
                lambda: asyncio.ensure_future(self.close()))
            return None
        self.busy = asyncio.create_task(self.carry_out(order["Operation"], model))
        return response(202)

    async def carry_out(self, operation, model):
        await asyncio.sleep(self.load_s if operation == "loading" else self.unload_s)
        if operation == "loading":
            self.models.append(model)
        else:
            self.models.remove(model)
        self.busy = None

    async def stream(self, target, fields, writer):
        attempt = fields.get("x-pomelorouter-attempt-id", "")
        model = fields.get("x-pomelorouter-model", "").split("/")[0]
        if model not in self.models:
            return response(421, b"", {"X-Pomelorouter-Instance-Id": self.id})
        self.runs[attempt] += 1
        self.record.write("run", server=self.id, model=model, request=attempt)
        first = int(fields.get("last-event-id", "0")) + 1
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"X-Pomelorouter-Attempt-Id: {attempt}\r\n"
                      f"X-Pomelorouter-Server-Seal: {self.id}\r\n"
                      f"Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(first, 11):
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.02)
        return b"0\r\n\r\n"


async def send(record, address, host, method, path, attempt, body=b"", deadline_ms=5000,
               fields=None):
    """Sends one attempt on a new channel. Returns (status, body), or (None, reason)."""
    record.write("client_sends", request=attempt, method=method, path=path, bytes=len(body))
    result = (None, "no answer")
    writer = None
    try:
        ip, port = address.split(":")
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1.0)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}",
                 f"X-Pomelorouter-Attempt-Id: {attempt}",
                 f"X-Pomelorouter-Deadline-Ms: {deadline_ms}"]
        lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

        async def receive():
            head = await read_head(reader)
            if head is None:
                return None, "closed without an answer"
            return int(head[0].split(" ")[1]), await read_body(reader, head[1], True)

        result = await asyncio.wait_for(receive(), deadline_ms / 1000)
    except asyncio.TimeoutError:
        result = (None, "deadline")
    except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError) as failure:
        result = (None, f"broken off ({type(failure).__name__})")
    finally:
        if writer is not None:
            writer.close()
    text = result[1].decode("latin-1")[:80] if isinstance(result[1], bytes) else result[1]
    record.write("client_gets", request=attempt, status=result[0], text=repr(text))
    return result


class Gateway:
    """One gateway process, started as the deploy file says, with the settings that its
    template gives. Restarted by the test only."""

    def __init__(self, record, folder, name, store_address, seeds=None, **settings):
        self.record = record
        self.name = name
        self.path = os.path.join(folder, f"{name}.json")
        self.log_path = os.path.join(folder, f"{name}.log")
        self.frontend = f"{HOST}:{free_port()}"
        self.readiness = f"{HOST}:{free_port()}"
        self.control = f"{HOST}:{free_port()}"
        self.settings = {
            "node_id": name, "zone": "zone-a", "listen": self.frontend,
            "readiness_listen": self.readiness, "directory_listen": f"{HOST}:{free_port()}",
            "control_listen": self.control, "peer_listen": f"{HOST}:{free_port()}",
            "metrics_listen": f"{HOST}:{free_port()}", "seeds": seeds or [self.control],
            "platform": store_address, "processor_share": 0.25, "link_mbit_per_s": 1000.0,
            "grace_period_ms": 8000, "lease_duration_ms": 3000, "engines_check_tokens": True}
        self.settings.update(settings)
        self.process = None

    def write_settings(self):
        temporary = self.path + ".new"
        with open(temporary, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        os.replace(temporary, self.path)

    def start(self):
        self.write_settings()
        log = open(self.log_path, "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "POMELOROUTER_CONFIG": self.path}
        self.process = subprocess.Popen(COMMAND, cwd=ROOT, env=environment, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.record.write("process_started", gateway=self.name)

    def signal(self, number):
        self.record.write("signal", gateway=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
            except ProcessLookupError:
                pass
            self.process.kill()
            self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except (OSError, ValueError):
            pass
        return 0.0

    async def wait_until_ready(self, limit_s=20.0):
        end = time.monotonic() + limit_s
        ip, port = self.readiness.split(":")
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /pomelorouter/readyz HTTP/1.1\r\nHost: x\r\n"
                             b"Connection: close\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1.0)
                writer.close()
                if head is not None and " 200 " in head[0]:
                    self.record.write("ready", gateway=self.name)
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False


def route(name, path, kind, service, timeout_ms=1500, attempts=1, target_ms=100, **more):
    result = {"Name": name, "Host": "shop.example", "PathPrefix": path, "RouteType": kind,
              "TimeoutMs": timeout_ms, "TargetLatencyMs": target_ms, "Priority": 1,
              "Service": service, "MaxAttempts": attempts, "Resumable": False}
    result.update(more)
    return result


def config(version, routes, services):
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": name, "HealthPath": "/healthz", "MaxConnections": 360,
                          "Protocol": "h1", "Tls": False} for name in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def engine_profile(sizes, models):
    """The `Engine` of a service, with figures like those of the sites."""
    return {"Slots": 64, "KvCapacity": 143436, "KvBytes": 163840,
            "WeightSize": ModelEngine.weight_mb, "AdapterSlots": ModelEngine.adapter_slots,
            "LoadsPerS": 2.1,
            "Models": [{"Name": name, "WeightSize": sizes[name], "LoadTimeS": 2.0,
                        "Adapters": 0, "AdapterSizeMb": 66.0, "WarmupS": 0.5,
                        "DiskLoadS": 1.0} for name in models]}


def on_terminate(number, frame):
    raise KeyboardInterrupt


def run(case):
    """Runs `case(record, temporary_folder, has_trouble, started)`, which returns whether the
    rule held, and exits as the issue asks: 0 held, 1 broken, 2 could not run. Ends all
    gateways in `started`, also if the case fails, takes too long or is terminated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--trouble", default="1", help="0 leaves out the disruption")
    parser.add_argument("--record", default="record.txt", help="file for what was seen")
    arguments = parser.parse_args()
    has_trouble = arguments.trouble != "0"
    signal.signal(signal.SIGTERM, on_terminate)
    record = Record(arguments.record)
    record.write("start", trouble=int(has_trouble))
    code = 2
    started = []
    try:
        if not os.access(BINARY, os.X_OK):
            raise RuntimeError("target/bin/pomelorouter is missing: build the deploy file")
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            try:
                held = asyncio.run(asyncio.wait_for(
                    case(record, temporary, has_trouble, started), TIME_LIMIT_S))
                code = 0 if held else 1
            finally:
                for gateway in started:
                    gateway.kill()
    except (Exception, KeyboardInterrupt) as failure:  # any failure: the case could not run
        record.write("could_not_run", problem=repr(failure))
        code = 2
    record.write("end", exit=code)
    sys.exit(code)
