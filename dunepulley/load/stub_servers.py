"""Stub servers: the model's workers in real time, behind sockets, speaking the workers' protocol.

One process holds any number of them. They serve the load tool, the measurements in `bench/` and their tests.
"""

from __future__ import annotations

import asyncio
import functools
from typing import Any, Protocol

import aiohttp
from aiohttp import web

from dunepulley.load.local import RealTime, send_callback, serve
from dunepulley.model.server import Job, ModelServer

# Before a callback that was not answered is sent again.
PAUSE_S = 0.05
# What callbacks tell of what a job tells.
STATES = {"began": "started", "finished": "done"}


class Site(Protocol):
    """What stub servers are part of: whose work it is, and who writes down what happens."""

    def find_work_ms(self, request_id: str, headers: Any) -> float | None:
        """What an item takes at a worker of speed 1, in ms; none for an id that no client sent."""

    def callback_address(self, request_id: str, worker: str) -> str:
        """The address at which the dispatcher of an item hears of it, from this worker."""

    def record_event(self, what: str, worker: str, request_id: str, work: float) -> None:
        """Of a hand-off: 'arrived', 'full', 'began', 'finished', 'lost', 'given up', or 'unheard'."""

    def load_report(self, worker: ModelServer) -> dict[str, float] | None:
        """The load report that the end of an item carries, if any."""


class StubServers:
    """Workers behind sockets; whoever enters them closes them."""

    def __init__(
        self,
        site: Site,
        time: RealTime,
        cancels: bool = True,
        reports_start: bool = True,
        retry_pause_s: float = PAUSE_S,
    ) -> None:
        self.site, self.time = site, time
        self.cancels, self.reports_start, self.retry_pause_s = cancels, reports_start, retry_pause_s
        self.workers: dict[str, ModelServer] = {}
        self.addresses: dict[str, str] = {}
        self.jobs: dict[tuple[str, str], Job] = {}
        self.servers: dict[str, tuple[web.Server, web.ServerRunner]] = {}
        # Those whose machines have vanished, and what ends the wait of who calls them.
        self.silent: dict[str, asyncio.Event] = {}
        self.tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> StubServers:
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for name in list(self.servers):
            await self.shut(name)
        await self.session.close()

    # ---------------------------------------------------------------- their lives

    async def open(self, worker: ModelServer, port: int = 0) -> str:
        """Have a worker listen, at a port of its own or at this one; its address."""
        self.workers[worker.name] = worker
        server = web.Server(functools.partial(self._serve, worker), access_log=None)
        runner, address = await serve(server, port)
        self.servers[worker.name] = server, runner
        self.addresses[worker.name] = address
        return address

    async def shut(self, name: str) -> None:
        """End a worker's process: connections break, and new ones are refused."""
        server, runner = self.servers.pop(name, (None, None))
        if name in self.silent:
            self.silent.pop(name).set()
        if server is not None:
            for handler in list(server.connections):
                if handler.transport is not None:
                    handler.transport.abort()
            await runner.cleanup()

    async def crash(self, name: str) -> None:
        """A worker dies, and all that it has with it; its machine's agent tells of that."""
        self.workers[name].crash()
        await self.shut(name)

    def silence(self, name: str) -> None:
        """A worker's machine vanishes: connections stay open and nothing is answered."""
        self.silent[name] = asyncio.Event()
        self.workers[name].silence()

    # ---------------------------------------------------------------- hand-offs

    async def _serve(self, worker: ModelServer, request: web.BaseRequest) -> web.Response:
        if worker.name in self.silent:
            self.site.record_event("unheard", worker.name, request.headers.get("X-Call-Id", ""), 0.0)
            await self.silent[worker.name].wait()
            return web.Response(status=503)  # to nobody: its connection is broken by now
        if request.method == "DELETE":
            request_id = request.path.rpartition("/")[2]
            job = self.jobs.get((worker.name, request_id))
            # Also one that has not been read yet: its connection is closed, and it may overtake it.
            self.site.record_event("given up", worker.name, request_id, 0.0)
            if job is not None and worker.drop(job, self.cancels):
                del self.jobs[worker.name, request_id]
            return web.Response(status=204)
        if request.method != "POST":
            return web.Response(status=404)
        await request.read()
        request_id = request.headers.get("X-Call-Id", "")
        work = self.site.find_work_ms(request_id, request.headers)
        if work is None:
            return web.Response(status=400)
        self.site.record_event("arrived", worker.name, request_id, work)
        job = Job(request_id, work, 1.0, functools.partial(self._tell, worker, request_id, work))
        # Known before it begins: its first word may come at once.
        self.jobs[worker.name, request_id] = job
        if not worker.offer(job):
            del self.jobs[worker.name, request_id]
            self.site.record_event("full", worker.name, request_id, work)
            return web.Response(status=503, headers={"X-Rejected": "1"})
        return web.Response(status=202)

    def _tell(self, worker: ModelServer, request_id: str, work: float, what: str) -> None:
        self.site.record_event(what, worker.name, request_id, work)
        if what == "began" and not self.reports_start:
            return
        told: dict[str, Any] = {"id": request_id, "from": worker.name, "state": STATES.get(what, "lost")}
        if what == "finished":
            told["result"] = "made"
            report = self.site.load_report(worker)
            if report is not None:
                told["load"] = report
        if what != "began":
            self.jobs.pop((worker.name, request_id), None)
        address = self.site.callback_address(request_id, worker.name)
        task = asyncio.create_task(send_callback(self.session, address, told, self.retry_pause_s))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def load_report_fields(worker: ModelServer) -> dict[str, float]:
    """A worker's figures as a load report names them."""
    told = worker.report()
    return {"qps": told["rate"], "queue": told["queue"], "x0": told["x0"]}
