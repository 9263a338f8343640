"""A connection is reset under a job that has begun; the same worker gets the job again while it runs."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

import rig

# The share of the 202 that are lost with their connection; workers and how many of them make a cell.
RESET_SHARE = 0.05
WORKERS, CELL, CLIENTS, RUN_S, LENGTH_S = 4, 2, 8, 0.2, 45.0
WINDOW_MS = 12_000
chance = random.Random(7)


class Judge:
    """Counts the attempts that reach a worker at which an earlier one of the same request still runs."""

    def __init__(self) -> None:
        self.beside: list[str] = []

    async def look(self, worker: rig.Worker, message: rig.Message, writer: asyncio.StreamWriter) -> bool:
        """Note a second attempt; the worker answers in the usual way."""
        request_id = message.headers.get("x-call-id", "")
        if message.method == "POST" and request_id in worker.jobs:
            worker.record.write(worker.name, f"HAS {request_id} ALREADY: it runs and was not given up")
            self.beside.append(request_id)
        return False


async def ask_on(case: rig.Case, number: int, port: int) -> None:
    """Hand in one request after the other, of both classes by turns."""
    client = rig.Client(case.record, f"client {number}", port)
    end_ms = case.record.now_ms() + LENGTH_S * 1000.0
    count = 0
    while case.record.now_ms() < end_ms:
        count += 1
        name = ("report-store", "group-match")[(number + count) % 2]
        await client.ask(f"{number}-{count}", f"/{name}/x", 4000, key=f"key-{number}-{count}")
        await asyncio.sleep(0.02)


async def body(case: rig.Case) -> str:
    """Return which requests were sent again to the worker that runs them."""
    discovery = await case.add(rig.Discovery(case.record))
    workers, judge = [], Judge()

    def resets(data: bytes) -> bool:
        return rig.TROUBLE and data.startswith(b"HTTP/1.1 202") and chance.random() < RESET_SHARE

    for number in range(WORKERS):
        worker = await case.add(
            rig.Worker(case.record, f"w{number}", lambda message: RUN_S, judge.look, cell=number // CELL)
        )
        link = await case.add(rig.Proxy(lambda worker=worker: worker.port))
        link.resets = resets
        worker.listed_port = link.port
        workers.append(worker)
    discovery.set(*[worker.member() for worker in workers])
    classes = [
        rig.category(
            "report-store", "idempotency_key", 600, 8000, keyScope="cell", windowUs=WINDOW_MS * 1000
        ),
        rig.category("group-match", "read_like", 500, 5000),
    ]
    dispatcher = await case.dispatcher(discovery, workers, rig.settings(classes))
    await asyncio.gather(*[ask_on(case, number, dispatcher.port) for number in range(CLIENTS)])
    await asyncio.sleep(1.0)
    begun = sum([len(worker.runs) for worker in workers])
    case.record.write("case", f"{begun} jobs were begun, again beside the first {judge.beside}")
    return (
        f"duplicate: {len(judge.beside)} second attempts at the worker that ran the first"
        if judge.beside
        else ""
    )


rig.run(Path(__file__).resolve().parent, body)
