"""Stubs of the peers of dispatchers, endpoints and clients, all in one process.

They implement only as much of the dispatchers' protocol as a measurement needs.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any, NamedTuple

import aiohttp

from dunepulley.load.local import RealTime, member
from dunepulley.load.stub_servers import StubServers
from dunepulley.model.server import ModelServer

# Pause between retries of a callback; a dispatcher that is killed and restarted is back after a few.
CALLBACK_RETRY_S = 0.2
# Slots and queue length of an endpoint; large enough that every request starts at once.
MANY_SLOTS = 1_000_000


class ArrivedAttempt(NamedTuple):
    """An attempt as it arrived at an endpoint, with the time in Unix ms."""

    at_ms: float
    dispatcher: str
    endpoint: str
    request_id: str


class StubEndpoints:
    """Endpoints that accept every request and report it as done after `runs_ms`.

    A request id begins with the name of the dispatcher that received the request, followed by a dot.
    Callbacks go to that dispatcher.
    """

    def __init__(self, zones: list[str], runs_ms: float, addresses: dict[str, str]) -> None:
        self.zones = zones
        self.runs_ms = runs_ms
        self.addresses = addresses
        self.sent: list[ArrivedAttempt] = []
        self.members: list[dict[str, Any]] = []

    async def __aenter__(self) -> StubEndpoints:
        clock = RealTime()
        self.stub_servers = await StubServers(
            self, clock, reports_start=False, retry_pause_s=CALLBACK_RETRY_S
        ).__aenter__()
        for number, zone in enumerate(self.zones):
            worker = ModelServer(clock, f"w{number}", zone, "box", "0", MANY_SLOTS, MANY_SLOTS, 1.0)
            address = await self.stub_servers.open(worker)
            self.members.append(member(worker.name, address, zone, "box", "0"))
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stub_servers.__aexit__()

    def find_work_ms(self, request_id: str, headers: Any) -> float:
        """How long a request runs, in ms."""
        return self.runs_ms

    def callback_address(self, request_id: str, worker: str) -> str:
        """The address of the dispatcher that received the request."""
        return self.addresses[request_id.partition(".")[0]]

    def record_event(self, what: str, worker: str, request_id: str, work: float) -> None:
        """Record each attempt that arrives."""
        if what == "arrived":
            self.sent.append(
                ArrivedAttempt(time.time() * 1000.0, request_id.partition(".")[0], worker, request_id)
            )

    def load_report(self, worker: ModelServer) -> None:
        """Return None: these endpoints send no load report."""


class LoadGenerator:
    """Sends requests to one dispatcher at a steady rate, without waiting for responses (open loop)."""

    def __init__(self, dispatcher: str, address: str, rate: float, session: aiohttp.ClientSession) -> None:
        self.dispatcher = dispatcher
        self.url = f"http://{address}/look/x"
        self.rate = rate
        self.session = session
        self.answers: dict[str, int] = {}
        self.open_requests: set[asyncio.Task] = set()

    async def run(self, stop: asyncio.Event, max_s: float) -> None:
        """Send until `stop` is set, for at most `max_s` seconds, then wait for the open requests."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for number in range(int(max_s * self.rate)):
            # Scheduled by the clock, regardless of earlier responses.
            await asyncio.sleep(max(0.0, started_s + number / self.rate - loop.time()))
            if stop.is_set():
                break
            task = asyncio.create_task(self._send(f"{self.dispatcher}.{number}"))
            self.open_requests.add(task)
            task.add_done_callback(self.open_requests.discard)
        if self.open_requests:
            await asyncio.wait(set(self.open_requests), timeout=5.0)

    async def _send(self, request_id: str) -> None:
        headers = {"X-Call-Id": request_id, "X-Budget-Ms": "3000"}
        try:
            async with (
                asyncio.timeout(4.0),
                self.session.post(self.url, data=b"x", headers=headers) as response,
            ):
                await response.read()
                outcome = str(response.status)
        except (aiohttp.ClientError, OSError, TimeoutError):
            outcome = "no answer"
        self.answers[outcome] = self.answers.get(outcome, 0) + 1
