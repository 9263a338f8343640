"""Stub servers: server models in real time behind HTTP sockets, with the protocol of real endpoints.

One process can run any number of them. The load tool, the benchmarks in `bench/` and their tests use them.
"""

from __future__ import annotations

import asyncio
import functools
from typing import Any, Protocol

import aiohttp
from aiohttp import web

from dunepulley.load.local import RealTime, send_callback, serve
from dunepulley.model.server import Job, ModelServer

# Pause before a callback that was not acknowledged is sent again.
RETRY_PAUSE_S = 0.05
# The states that callbacks report for the events of a job.
STATES = {"began": "started", "finished": "done"}


class StubServerHost(Protocol):
    """The program that runs stub servers: it knows the requests' work and records events."""

    def find_work_ms(self, request_id: str, headers: Any) -> float | None:
        """Return the run time of a request at a server of speed 1, in ms; None for an unknown id."""

    def callback_address(self, request_id: str, server: str) -> str:
        """Return the address at which the request's dispatcher receives callbacks from this server."""

    def record_event(self, event: str, server: str, request_id: str, work: float) -> None:
        """Record an event of an attempt.

        `event` is 'arrived', 'full' (rejected, as the queue is full), 'began', 'finished', 'lost', 'given up'
        (cancelled) or 'unheard' (sent to an unresponsive server).
        """

    def load_report(self, server: ModelServer) -> dict[str, float] | None:
        """Return the load report for the callback at the end of an attempt, if any."""


class StubServers:
    """Server models behind sockets, used as an async context manager.

    `cancels` is whether running jobs can be cancelled, `reports_start` whether callbacks report their start.
    """

    def __init__(
        self,
        host: StubServerHost,
        time: RealTime,
        cancels: bool = True,
        reports_start: bool = True,
        retry_pause_s: float = RETRY_PAUSE_S,
    ) -> None:
        self.host, self.time = host, time
        self.cancels, self.reports_start, self.retry_pause_s = cancels, reports_start, retry_pause_s
        self.workers: dict[str, ModelServer] = {}
        self.addresses: dict[str, str] = {}
        self.jobs: dict[tuple[str, str], Job] = {}
        self.http_servers: dict[str, tuple[web.Server, web.ServerRunner]] = {}
        # Unresponsive servers, with the event that ends the wait of their open requests.
        self.unresponsive: dict[str, asyncio.Event] = {}
        self.tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> StubServers:
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for name in list(self.http_servers):
            await self.close_server(name)
        await self.session.close()

    # ---------------------------------------------------------------- start and stop

    async def open(self, server: ModelServer, port: int = 0) -> str:
        """Have a server listen on a port, by default a free one; return its address."""
        self.workers[server.name] = server
        http_server = web.Server(functools.partial(self._serve, server), access_log=None)
        runner, address = await serve(http_server, port)
        self.http_servers[server.name] = http_server, runner
        self.addresses[server.name] = address
        return address

    async def close_server(self, name: str) -> None:
        """Stop a server's process: open connections are reset, and new ones refused."""
        http_server, runner = self.http_servers.pop(name, (None, None))
        if name in self.unresponsive:
            self.unresponsive.pop(name).set()
        if http_server is not None:
            for handler in list(http_server.connections):
                if handler.transport is not None:
                    handler.transport.abort()
            await runner.cleanup()

    async def crash(self, name: str) -> None:
        """Crash a server: its jobs are lost, and callbacks report that, as an agent of its machine would."""
        self.workers[name].crash()
        await self.close_server(name)

    def stop_responding(self, name: str) -> None:
        """Make a server unresponsive, as after a failure of its machine: connections stay open."""
        self.unresponsive[name] = asyncio.Event()
        self.workers[name].stop_responding()

    # ---------------------------------------------------------------- attempts

    async def _serve(self, server: ModelServer, request: web.BaseRequest) -> web.Response:
        if server.name in self.unresponsive:
            self.host.record_event("unheard", server.name, request.headers.get("X-Call-Id", ""), 0.0)
            await self.unresponsive[server.name].wait()
            return web.Response(status=503)  # never received: the connection is closed by now
        if request.method == "DELETE":
            request_id = request.path.rpartition("/")[2]
            job = self.jobs.get((server.name, request_id))
            # Recorded even if the attempt has not been read yet: its connection is closed, and the
            # cancellation may overtake it.
            self.host.record_event("given up", server.name, request_id, 0.0)
            if job is not None and server.drop(job, self.cancels):
                del self.jobs[server.name, request_id]
            return web.Response(status=204)
        if request.method != "POST":
            return web.Response(status=404)
        await request.read()
        request_id = request.headers.get("X-Call-Id", "")
        work = self.host.find_work_ms(request_id, request.headers)
        if work is None:
            return web.Response(status=400)
        self.host.record_event("arrived", server.name, request_id, work)
        job = Job(request_id, work, 1.0, functools.partial(self._report_job_event, server, request_id, work))
        # Added before `offer`, which may report the job's start immediately.
        self.jobs[server.name, request_id] = job
        if not server.offer(job):
            del self.jobs[server.name, request_id]
            self.host.record_event("full", server.name, request_id, work)
            return web.Response(status=503, headers={"X-Rejected": "1"})
        return web.Response(status=202)

    def _report_job_event(self, server: ModelServer, request_id: str, work: float, event: str) -> None:
        self.host.record_event(event, server.name, request_id, work)
        if event == "began" and not self.reports_start:
            return
        document: dict[str, Any] = {"id": request_id, "from": server.name, "state": STATES.get(event, "lost")}
        if event == "finished":
            document["result"] = "made"
            report = self.host.load_report(server)
            if report is not None:
                document["load"] = report
        if event != "began":
            self.jobs.pop((server.name, request_id), None)
        address = self.host.callback_address(request_id, server.name)
        task = asyncio.create_task(send_callback(self.session, address, document, self.retry_pause_s))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def load_report_fields(server: ModelServer) -> dict[str, float]:
    """Return a server's load report with the field names of the load report protocol."""
    report = server.report()
    return {"qps": report["rate"], "queue": report["queue"], "x0": report["x0"]}
