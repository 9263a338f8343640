"""Stand-ins for what dispatchers speak with: workers and clients, one process for all.

They speak the protocol that the dispatchers speak, no more of it than a measurement needs.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any, NamedTuple

import aiohttp
from aiohttp import web

from dunepulley.load.local import call_back, member, serve

# A dispatcher that is killed and started again is back after a few of these.
PAUSE_S = 0.2


class Sent(NamedTuple):
    """A hand-off as a worker saw it begin."""

    at: float
    instance: str
    worker: str
    wi: str


class Workers:
    """Workers that take what comes, and say some milliseconds later that it is done.

    A work item's id begins with the name of the instance that was given it, and a point: callbacks go there.
    """

    def __init__(self, zones: list[str], runs_ms: float, addresses: dict[str, str]) -> None:
        self.zones = zones
        self.runs_ms = runs_ms
        self.addresses = addresses
        self.sent: list[Sent] = []
        self.runners: list[web.ServerRunner] = []
        self.members: list[dict[str, Any]] = []
        self.tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> Workers:
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        for number, zone in enumerate(self.zones):
            name = f"w{number}"
            runner, address = await serve(self._taker(name))
            self.runners.append(runner)
            self.members.append(member(name, address, zone, "box", "0"))
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for runner in self.runners:
            await runner.cleanup()
        await self.session.close()

    def _taker(self, name: str) -> Any:
        async def take(request: web.BaseRequest) -> web.Response:
            at = time.time() * 1000.0
            if request.method != "POST":
                return web.Response(status=204 if request.method == "DELETE" else 404)
            await request.read()
            wi = request.headers.get("X-Call-Id", "")
            instance = wi.partition(".")[0]
            self.sent.append(Sent(at, instance, name, wi))
            task = asyncio.create_task(self._run(name, instance, wi))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            return web.Response(status=202)

        return take

    async def _run(self, name: str, instance: str, wi: str) -> None:
        await asyncio.sleep(self.runs_ms / 1000.0)
        told = {"id": wi, "from": name, "state": "done", "result": "made"}
        await call_back(self.session, self.addresses[instance], told, PAUSE_S)


class Clients:
    """Work items for one instance at a steady rate, whatever becomes of those before (open loop)."""

    def __init__(self, instance: str, address: str, rate: float, session: aiohttp.ClientSession) -> None:
        self.instance = instance
        self.url = f"http://{address}/look/x"
        self.rate = rate
        self.session = session
        self.answers: dict[str, int] = {}
        self.open: set[asyncio.Task] = set()

    async def run(self, stop: asyncio.Event, most_s: float) -> None:
        """Send until told to stop, for so long at most, then wait for what is open."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        for number in range(int(most_s * self.rate)):
            # Due by the clock, not by the answer before.
            await asyncio.sleep(max(0.0, begun + number / self.rate - loop.time()))
            if stop.is_set():
                break
            task = asyncio.create_task(self._one(f"{self.instance}.{number}"))
            self.open.add(task)
            task.add_done_callback(self.open.discard)
        if self.open:
            await asyncio.wait(set(self.open), timeout=5.0)

    async def _one(self, wi: str) -> None:
        headers = {"X-Call-Id": wi, "X-Budget-Ms": "3000"}
        try:
            async with asyncio.timeout(4.0), self.session.post(self.url, data=b"x", headers=headers) as told:
                await told.read()
                how = str(told.status)
        except (aiohttp.ClientError, OSError, TimeoutError):
            how = "no answer"
        self.answers[how] = self.answers.get(how, 0) + 1
