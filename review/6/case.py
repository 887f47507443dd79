"""SIGHUP to the last gateway during an outage of the store; see claim.txt."""

import asyncio
import itertools
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import kit  # noqa: E402

# Seconds after the start of the gateways.
LOSS_S = 6.0
OUTAGE_S = (20.5, 29.5)
# Once in each round of the loop that asks the seeds: it asks for 1 s and pauses for 0.5 s.
HUPS_S = (22.3, 23.8, 25.4, 26.9, 28.4)
END_S = 34.0
EVENTS = 20
PAUSE_S = 0.1
STREAM_CLIENTS = 3
PAYMENT_CLIENTS = 16
CONFIG_APPLY_S = 2.0


async def main(record, scratch, trouble):
    store = kit.Store(record)
    await store.start()

    async def handler(server, request, writer):
        attempt = request["attempt"]
        server.ran(attempt)
        record(f"{server.key} runs {attempt}")
        if not request["target"].startswith("/explain/"):
            await asyncio.sleep(0.09)
            writer.write(server.ok(request, attempt.encode() * 50))
            await writer.drain()
            return
        writer.write(kit.message("HTTP/1.1 200 OK", server.fields(request) + [
            ("X-Pomelorouter-Server-Seal", "seal-" + attempt),
            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    servers = [kit.Server(store, record, f"i-{number}", "ledger-app", handler, slots=64)
               for number in range(2)]
    for server in servers:
        await server.start()
    store.put_config(kit.config(
        1, [kit.route("payment-post", "/payment/", "ledger-app", "non_idempotent", 800, 100,
                      1),
            kit.route("assessment-explain", "/explain/", "ledger-app", "streaming", 20000,
                      10000, 1)], [{"Name": "ledger-app", "MaxConnections": 100}]))
    gateways = [kit.Gateway(store, scratch, f"edge-hanoi-{zone}-1", zone=f"hanoi-{zone}")
                for zone in "abc"]
    last, *others = gateways
    seeds = [gateway.addresses["ControlPlane"] for gateway in others]
    begun = time.monotonic()
    lost = []
    cut_streams = []
    ends = []
    hups = []
    ids = itertools.count()

    async def at(second):
        await asyncio.sleep(max(0.0, begun + second - time.monotonic()))

    async def call(path):
        client = None
        while time.monotonic() < begun + END_S - 3:
            if client is None or client.socket is None:
                client = kit.Client(last.frontend)
            attempt = f"r{next(ids)}"
            sent_at = time.monotonic()
            answer = await client.send("POST", path, attempt, 20000, b"text")
            runs = sum(server.runs.get(attempt, 0) for server in servers)
            if answer.is_whole:
                record(f"{attempt} {path} answered {answer.status}, ran {runs}")
            else:
                record(f"{attempt} {path} NO WHOLE ANSWER, status {answer.status}, "
                       f"{answer.problem}, ran {runs}")
                is_after_hup = any(0 <= sent_at - hup <= CONFIG_APPLY_S for hup in hups)
                if runs > 0 and path == "/payment/1" and is_after_hup:
                    lost.append(attempt)
                elif runs > 0:
                    cut_streams.append(attempt)
            await asyncio.sleep(0.02 if answer.status == 200 else 0.2)

    async def disrupt():
        await at(LOSS_S)
        for gateway in others:
            record(f"{gateway.name} loses power for good")
            gateway.signal(signal.SIGSTOP)
        await at(OUTAGE_S[0])
        if trouble:
            record("the store is down")
            store.is_down = True
        await at(OUTAGE_S[1])
        if trouble:
            record("the store is back")
            store.is_down = False

    async def change_settings():
        for second in HUPS_S:
            await at(second)
            record(f"SIGHUP to {last.name}")
            hups.append(time.monotonic())
            last.signal(signal.SIGHUP)

    async def restart():
        while time.monotonic() < begun + END_S:
            status = last.process.poll()
            if status is not None:
                record(f"{last.name} has ended by itself, status {status}")
                ends.append(status)
                await asyncio.sleep(0.3)
                last.start()
            await asyncio.sleep(0.02)

    try:
        for gateway in gateways:
            gateway.write_settings(seeds)
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        paths = ["/explain/1"] * STREAM_CLIENTS + ["/payment/1"] * PAYMENT_CLIENTS
        await asyncio.gather(disrupt(), change_settings(), restart(),
                             *[call(path) for path in paths])
        record(f"{len(ends)} ends of the process by itself; {len(cut_streams)} streams cut; "
               f"{len(lost)} payments, sent within {CONFIG_APPLY_S} s after a SIGHUP and run, "
               f"whose channel ended without an answer: {' '.join(lost)}")
        return not lost
    finally:
        for gateway in gateways:
            gateway.stop()


# TROUBLE=0 runs the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.exit(kit.run_case(os.path.join(FOLDER, "record.txt"), TROUBLE, main))
