"""A new configuration goes unread while idle clients fill the descriptors; drains are not heard of then."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

import rig

WORKERS, SOCKETS, CLIENTS, REQUESTS_PER_S, RUN_S = 200, 256, 20, 40.0, 0.05
# Idle clients: so many new connections a second, held until there are so many.
IDLE_PER_S, MOST_IDLE = 400, 600
# New configurations, and the time between two; the old discovery closes its watches after a while.
CHANGES, CHANGE_S, OLD_OPEN_S = 19, 5.2, 1.5
# When workers begin to drain after a change, which counts as told 4 s after it, and how many do.
DRAIN_AFTER_S, DRAINED = 4.05, 60
GRACE_MS = 300.0 + 50.0
chance = random.Random(9)


class Day:
    """The parts of the case, and what it has seen."""

    def __init__(self, case: rig.Case) -> None:
        self.case = case
        self.discovery = rig.Discovery(case.record, "discovery 0")
        self.workers: list[rig.Worker] = []
        self.dispatcher: rig.Dispatcher
        self.idle: list[asyncio.StreamWriter] = []
        self.ended = asyncio.Event()
        self.late: list[str] = []

    async def start(self) -> None:
        """Start all parts, with a connection to nobody yet."""
        await self.case.add(self.discovery)
        for number in range(WORKERS):
            worker = rig.Worker(self.case.record, f"w{number}", lambda message: RUN_S)
            self.workers.append(await self.case.add(worker))
        self.discovery.set(*[worker.member() for worker in self.workers])
        settings = rig.settings([rig.category("group-match", "read_like", 500, 5000)])
        self.dispatcher = await self.case.dispatcher(self.discovery, self.workers, settings, sockets=SOCKETS)

    async def ask_on(self, number: int) -> None:
        """Hand in one request after the other on a kept connection."""
        client = rig.Client(self.case.record, f"client {number}", self.dispatcher.port)
        count = 0
        while not self.ended.is_set():
            count += 1
            try:
                await client.ask(f"{number}-{count}", "/group-match/x", 2000)
            except OSError:
                client.close()
            await asyncio.sleep(chance.uniform(0.0, 2.0) * CLIENTS / REQUESTS_PER_S)

    async def crowd(self) -> None:
        """Connect by hundreds and say nothing."""
        while not self.ended.is_set():
            for _ in range(IDLE_PER_S // 10):
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", self.dispatcher.port)
                    self.idle.append(writer)
                except OSError:
                    break
            while len(self.idle) > MOST_IDLE:
                self.idle.pop(0).close()
            await asyncio.sleep(0.1)

    async def change(self, number: int) -> None:
        """Move discovery by a new configuration; then let workers drain, and see who still gets work."""
        case, old = self.case, self.discovery
        self.discovery = await case.add(rig.Discovery(case.record, f"discovery {number}"))
        self.discovery.set(*[worker.member() for worker in self.workers])
        self.dispatcher.document["discovery"] = self.discovery.address
        self.dispatcher.file.write_text(json.dumps(self.dispatcher.document), encoding="utf-8")
        self.dispatcher.signal(signal.SIGHUP)
        if old.server is not None:
            old.server.close()
        await asyncio.sleep(OLD_OPEN_S)
        await old.stop()
        await asyncio.sleep(DRAIN_AFTER_S - OLD_OPEN_S)
        leaving = chance.sample(self.workers, DRAINED)
        told = self.discovery.set(*[worker.member("Terminating") for worker in leaving])
        await asyncio.sleep(CHANGE_S - DRAIN_AFTER_S)
        end = case.record.now_ms()
        for worker in leaving:
            late = [now for _, now in worker.arrivals if told + GRACE_MS < now < end]
            self.late += [f"{worker.name} {now - told:.0f} ms after change {number}" for now in late]
        case.record.write("case", f"change {number}: {len(self.late)} late so far")


async def body(case: rig.Case) -> str:
    """Return how many requests draining workers got later than the grace allows."""
    day = Day(case)
    await day.start()
    tasks = [asyncio.create_task(day.ask_on(number)) for number in range(CLIENTS)]
    await asyncio.sleep(6.0)
    if rig.TROUBLE:
        tasks.append(asyncio.create_task(day.crowd()))
        await asyncio.sleep(4.0)
    for number in range(1, CHANGES + 1):
        await day.change(number)
    day.ended.set()
    for writer in day.idle:
        writer.close()
    await asyncio.gather(*tasks)
    case.record.write("case", f"late: {day.late}")
    return (
        f"drain: draining workers got {len(day.late)} requests, the first {day.late[0]}" if day.late else ""
    )


rig.run(Path(__file__).resolve().parent, body, 116.0, rig.MANY_DESCRIPTORS)
