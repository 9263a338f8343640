"""A refusal that a worker sends twice, the second time some ms late, is taken for another answer."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

import rig

# One way between zones takes LAG_S (at the site 5.6 to 10 ms), and a second answer comes LATE_S later. A
# worker turns away FULL_SHARE of the jobs, as other dispatchers' jobs hold its places, and does so twice for
# TWICE_SHARE of these.
LAG_S, LATE_S, FULL_SHARE, TWICE_SHARE = 0.008, (0.002, 0.008), 0.1, 0.5
WORKERS, CLIENTS, SLOTS, RUN_S, LENGTH_S = 2, 30, 16, 0.1, 60.0
# Requests come in bursts: each client sends its next one at the next multiple of this.
BURST_S = 0.3
SOCKETS = 256
chance = random.Random(6)


async def turn_away(worker: rig.Worker, message: rig.Message, writer: asyncio.StreamWriter) -> bool:
    """Refuse a job now and then; with the trouble, answer some of these twice."""
    worker.report = {"x0": float(max(0, SLOTS - len(worker.jobs))), "backlog": 0.0, "throughput": 50.0}
    if message.method != "POST" or chance.random() >= FULL_SHARE:
        return False
    answer = rig.response(503, {"X-Rejected": "1"})
    writer.write(answer)
    request_id = message.headers["x-call-id"]
    worker.record.write(worker.name, f"turns {request_id} away")
    if rig.TROUBLE and chance.random() < TWICE_SHARE:
        worker.spawn(answer_again(worker, request_id, answer, writer))
    return True


async def answer_again(
    worker: rig.Worker, request_id: str, answer: bytes, writer: asyncio.StreamWriter
) -> None:
    """Send the same answer once more, a little later."""
    await asyncio.sleep(chance.uniform(*LATE_S))
    worker.record.write(worker.name, f"sends the refusal of {request_id} a second time")
    writer.write(answer)


async def ask_on(case: rig.Case, number: int, port: int) -> None:
    """Hand in one request after the other."""
    client = rig.Client(case.record, f"client {number}", port)
    end_ms = case.record.now_ms() + LENGTH_S * 1000.0
    count = 0
    while case.record.now_ms() < end_ms:
        count += 1
        await client.ask(f"{number}-{count}", "/spike-alert/x", 4000)
        await asyncio.sleep(BURST_S - time.monotonic() % BURST_S)


async def body(case: rig.Case) -> str:
    """Return which requests that may run once only have run more than once."""
    discovery = await case.add(rig.Discovery(case.record))
    workers = []
    for number in range(WORKERS):
        worker = await case.add(rig.Worker(case.record, f"w{number}", lambda message: RUN_S, turn_away))
        link = await case.add(rig.Proxy(lambda worker=worker: worker.port, LAG_S))
        worker.listed_port = link.port
        workers.append(worker)
    discovery.set(*[worker.member() for worker in workers])
    settings = rig.settings([rig.category("spike-alert", "non_idempotent", 2000, 4000)])
    dispatcher = await case.dispatcher(discovery, workers, settings, sockets=SOCKETS)
    await asyncio.gather(*[ask_on(case, number, dispatcher.port) for number in range(CLIENTS)])
    await asyncio.sleep(1.0)
    runs = Counter([request_id for worker in workers for request_id, _ in worker.runs])
    twice = [request_id for request_id, count in runs.items() if count > 1]
    case.record.write("case", f"{len(runs)} requests have run, more than once {twice}")
    return (
        f"duplicate: {len(twice)} of {len(runs)} requests of an unsafe class ran more than once"
        if twice
        else ""
    )


rig.run(Path(__file__).resolve().parent, body)
