"""Backend servers turn slow. They answer before they have read a long body, with an answer that
has no length, and read on later; nothing ends a process or a channel but the gateway."""

import asyncio
import os
import signal
import subprocess
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
STANDINS = os.path.join(FOLDER, "..", "standins")
sys.path.insert(0, STANDINS)
from early_engine import whole_answer  # noqa: E402
from standins import HOST, Gateway, Store, config, route, run, send  # noqa: E402

BODY_BYTES = 4194304
CLIENTS = 8
WORK_S = 0.6
SLOW_FACTOR = 5.0
ROUNDS = 3
SHOP = "shop.example"


class Engine:
    """The process of a backend server."""

    def __init__(self, record, server_id, pause_s):
        self.record = record
        self.id = server_id
        self.seen = {}
        self.process = subprocess.Popen(
            [sys.executable, os.path.join(STANDINS, "early_engine.py"), server_id, "printing",
             str(pause_s)], stdout=subprocess.PIPE, stdin=subprocess.DEVNULL)
        self.port = int(self.process.stdout.readline().split()[1])
        self.reader = asyncio.get_running_loop().run_in_executor(None, self.follow)
        record.write("server_started", server=server_id, port=self.port)

    def follow(self):
        for line in self.process.stdout:
            event, request = line.decode().split()
            self.seen[request] = event
            self.record.write(f"server_{event}", server=self.id, request=request)

    def entry(self):
        return {"Service": "printing", "Address": f"{HOST}:{self.port}", "Zone": "zone-a",
                "Version": "v1", "Slots": 64, "State": "ready", "ColdRemainingMs": 0,
                "Sequence": 1, "born": 1_770_000_000_000}

    async def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        await self.reader


async def play_round(record, folder, started, has_trouble, number):
    """Returns the requests whose cut answer reached the client as a whole success."""
    store = await Store().listen()
    pause_s = WORK_S * (SLOW_FACTOR if has_trouble else 1.0)
    engine = Engine(record, f"i-{number}", pause_s)
    try:
        store.put("keyed.servers", engine.id, engine.entry())
        store.put("keyed.op", "config", config(
            1, [route("orders", "/print/", "non_idempotent", "printing", 10000)], ["printing"]))
        gateway = Gateway(record, folder, f"gateway-{number}", store.address)
        started.append(gateway)
        gateway.start()
        if not await gateway.wait_until_ready():
            raise RuntimeError("the gateway was not ready")
        requests = [f"order-{number}-{client}" for client in range(CLIENTS)]
        answers = [asyncio.create_task(send(record, gateway.frontend, SHOP, "POST", "/print/1",
                                            request, b"x" * BODY_BYTES, 10000))
                   for request in requests]
        results = dict(zip(requests, await asyncio.gather(*answers)))
        wrong = []
        for request, (status, body) in results.items():
            is_whole = body == whole_answer()
            record.write("compared", request=request, status=status, whole=is_whole,
                         bytes=len(body), engine_made=len(whole_answer()))
            if status == 200 and not is_whole:
                wrong.append(request)
            if not has_trouble and status != 200:
                raise RuntimeError(f"{request} was not served: {status}")
        gateway.kill()
        return wrong
    finally:
        await engine.end()
        await store.close()


async def case(record, folder, has_trouble, started):
    wrong = []
    for number in range(ROUNDS):
        wrong += await play_round(record, folder, started, has_trouble, number)
    record.write("judged", requests=ROUNDS * CLIENTS,
                 cut_answers_given_as_whole_successes=len(wrong))
    return not wrong


run(case)
