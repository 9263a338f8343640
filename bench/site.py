"""Workers of a zone as a process of its own, for measurements in which zones are lost.

    python -m bench.site FILE

FILE is a JSON object: `zone`, `workers` (a map of ids to ports), `dispatchers` (names to addresses),
`slots`, `speed`, `queue`, `runs_ms` (what an item takes without a hint), `cold_from`, `cold_s`,
`fall_multiple`, `since_ms` (0 for long ago) and `record`, a file that is added to. A work item's id begins
with the name of the dispatcher that was given it, and a point. What is recorded, a line each: `sent MS
DISPATCHER WORKER`, `full MS WORKER` and `over MS WORKER`, a cold worker that was pushed over.
"""

from __future__ import annotations

import asyncio
import functools
import json
import sys
import time
from collections import deque
from typing import Any

import aiohttp
from aiohttp import web

from dunepulley.load.local import RealTime, call_back
from dunepulley.model.worker import Job, Worker

PAUSE_S = 0.2
# A cold worker's speed is set anew so often, and what is sent to it is counted over so long.
WARMING_S, FALL_MS = 0.25, 1000.0


class Site:
    """The workers of one zone."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.told = told
        self.time = RealTime()
        self.record = open(told["record"], "a", buffering=1)  # noqa: SIM115
        self.jobs: dict[tuple[str, str], Job] = {}
        self.lately: dict[str, deque[tuple[float, float]]] = {name: deque() for name in told["workers"]}
        self.tasks: set[asyncio.Task] = set()
        self.workers = {
            name: Worker(
                self.time, name, told["zone"], "box", "0", told["slots"], told["queue"], told["speed"]
            )
            for name in told["workers"]
        }

    def note(self, *words: Any) -> None:
        """Write one line of the record."""
        at = time.time() * 1000.0
        self.record.write(" ".join([words[0], f"{at:.1f}", *[str(word) for word in words[1:]]]) + "\n")

    def warmth(self) -> float:
        """The part of their speed that the workers have now."""
        told = self.told
        if not told["since_ms"]:
            return 1.0
        age = (time.time() * 1000.0 - told["since_ms"]) / (told["cold_s"] * 1000.0)
        return min(1.0, told["cold_from"] + (1.0 - told["cold_from"]) * age)

    async def warm(self) -> None:
        """Let the workers become warm."""
        while self.warmth() < 1.0:
            for worker in self.workers.values():
                worker.set_factor("cold", self.warmth())
            await asyncio.sleep(WARMING_S)
        for worker in self.workers.values():
            worker.set_factor("cold", 1.0)

    def count(self, worker: Worker, work: float) -> None:
        """Whether a cold worker was sent more than it can bear within the span that counts."""
        if self.warmth() >= 1.0:
            return
        sent, now = self.lately[worker.name], self.time.now
        sent.append((now, work))
        while sent[0][0] < now - FALL_MS:
            sent.popleft()
        able = worker.speed * self.warmth() * worker.slots * FALL_MS
        if sum([each for _, each in sent]) > self.told["fall_multiple"] * able:
            self.note("over", worker.name)
            sent.clear()

    async def take(self, worker: Worker, request: web.BaseRequest) -> web.Response:
        """One request of a dispatcher's."""
        if request.method == "DELETE":
            job = self.jobs.get((worker.name, request.path.rpartition("/")[2]))
            if job is not None:
                worker.drop(job, True)
            return web.Response(status=204)
        if request.method != "POST":
            return web.Response(status=404)
        await request.read()
        wi = request.headers.get("X-Call-Id", "")
        dispatcher = wi.partition(".")[0]
        work = float(request.headers.get("X-Call-Cost", 1000.0 * self.told["runs_ms"])) / 1000.0
        self.note("sent", dispatcher, worker.name)
        self.count(worker, work)
        job = Job(wi, work, 1.0, functools.partial(self.tell, worker, wi, dispatcher))
        if not worker.offer(job):
            self.note("full", worker.name)
            return web.Response(status=503, headers={"X-Rejected": "1"})
        self.jobs[worker.name, wi] = job
        return web.Response(status=202)

    def tell(self, worker: Worker, wi: str, dispatcher: str, what: str) -> None:
        """A job has begun, or has ended."""
        told: dict[str, Any] = {"id": wi, "from": worker.name}
        told["state"] = {"began": "started", "finished": "done"}.get(what, "lost")
        if what == "finished":
            report = worker.report()
            load = {"qps": report["rate"], "queue": report["queue"], "x0": report["x0"]}
            told |= {"result": "made", "load": load}
        if what != "began":
            self.jobs.pop((worker.name, wi), None)
        address = self.told["dispatchers"][dispatcher]
        task = asyncio.create_task(call_back(self.session, address, told, PAUSE_S))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> None:
        """Serve until killed."""
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        for name, port in self.told["workers"].items():
            handler = functools.partial(self.take, self.workers[name])
            runner = web.ServerRunner(web.Server(handler, access_log=None))
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", port, reuse_address=True).start()
        await self.warm()
        await asyncio.Event().wait()


async def main() -> None:
    """Run one zone."""
    with open(sys.argv[1]) as file:
        told = json.load(file)
    await Site(told).run()


if __name__ == "__main__":
    asyncio.run(main())
