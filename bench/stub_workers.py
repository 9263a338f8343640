"""Stubs of what dispatchers speak with: workers and clients, one process for all.

They speak the protocol that the dispatchers speak, no more of it than a measurement needs.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any, NamedTuple

import aiohttp

from dunepulley.load.local import RealTime, member
from dunepulley.load.stub_servers import StubServers
from dunepulley.model.server import ModelServer

# A dispatcher that is killed and started again is back after a few of these.
PAUSE_S = 0.2
# So many slots: whatever comes begins at once.
MANY = 1_000_000


class Sent(NamedTuple):
    """A hand-off as a worker saw it begin."""

    at: float
    instance: str
    worker: str
    request_id: str


class Workers:
    """Workers that take what comes, and say some milliseconds later that it is done.

    A work item's id begins with the name of the instance that was given it, and a point: callbacks go there.
    """

    def __init__(self, zones: list[str], runs_ms: float, addresses: dict[str, str]) -> None:
        self.zones = zones
        self.runs_ms = runs_ms
        self.addresses = addresses
        self.sent: list[Sent] = []
        self.members: list[dict[str, Any]] = []

    async def __aenter__(self) -> Workers:
        clock = RealTime()
        self.stub_servers = await StubServers(
            self, clock, reports_start=False, retry_pause_s=PAUSE_S
        ).__aenter__()
        for number, zone in enumerate(self.zones):
            worker = ModelServer(clock, f"w{number}", zone, "box", "0", MANY, MANY, 1.0)
            address = await self.stub_servers.open(worker)
            self.members.append(member(worker.name, address, zone, "box", "0"))
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stub_servers.__aexit__()

    def find_work_ms(self, request_id: str, headers: Any) -> float:
        """What an item takes, in ms."""
        return self.runs_ms

    def callback_address(self, request_id: str, worker: str) -> str:
        """The instance that was given an item."""
        return self.addresses[request_id.partition(".")[0]]

    def record_event(self, what: str, worker: str, request_id: str, work: float) -> None:
        """Note the hand-offs."""
        if what == "arrived":
            self.sent.append(Sent(time.time() * 1000.0, request_id.partition(".")[0], worker, request_id))

    def load_report(self, worker: ModelServer) -> None:
        """No load report."""


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

    async def _one(self, request_id: str) -> None:
        headers = {"X-Call-Id": request_id, "X-Budget-Ms": "3000"}
        try:
            async with asyncio.timeout(4.0), self.session.post(self.url, data=b"x", headers=headers) as told:
                await told.read()
                how = str(told.status)
        except (aiohttp.ClientError, OSError, TimeoutError):
            how = "no answer"
        self.answers[how] = self.answers.get(how, 0) + 1
