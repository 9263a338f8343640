"""The clients of a run: they send each request at its time, whatever becomes of those before (open loop)."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any, NamedTuple

import aiohttp

from dunepulley.load import faults
from dunepulley.load.record import Record
from dunepulley.model.results import percentiles
from dunepulley.model.scenario import RequestClass, Scenario

# A client whose connection is refused tries so many other dispatchers.
MAX_OTHERS = 2
# A client waits so much longer than its request's timeout.
PATIENCE_S = 1.0
# What a client saw where there is no status.
REFUSED, NO_ANSWER = "refused", "no answer"


class ClientRequest(NamedTuple):
    """One request to send: when, in ms since the clients begin, and what it says of itself.

    `budget` and `hint` are the timeout and the expected run time in ms, `size` is the body's length in bytes,
    `work` how long it runs at a worker of speed 1, and `home` the number of its dispatcher.
    """

    at: float
    category: str
    budget: float
    hint: float
    size: int
    work: float
    home: int


class Dispatchers:
    """The dispatchers as clients see them: where each listens, its zone, and which of them serve."""

    def __init__(self, zones: dict[str, str], ports: dict[str, int], network: faults.Faults) -> None:
        self.zones, self.ports, self.network = zones, ports, network
        self.serving: set[str] = set()

    def address_for_clients(self, name: str) -> str:
        """Where clients reach a dispatcher, through the links that may be at fault."""
        return self.network.through(faults.CLIENTS, name, f"127.0.0.1:{self.ports[name]}")

    def others(self, name: str) -> list[str]:
        """Where a client goes instead: dispatchers that serve, of its own zone first."""
        others = self.serving - {name}
        nearest = sorted(others, key=lambda one: (self.zones[one] != self.zones[name], int(one[1:])))
        return nearest[:MAX_OTHERS]


class Clients:
    """Sends a run's requests and counts what came back."""

    def __init__(self, scenario: Scenario, dispatchers: Dispatchers, record: Record) -> None:
        self.categories: dict[str, RequestClass] = {
            category.name: category for category in scenario.categories
        }
        self.dispatchers, self.record = dispatchers, record
        # Which dispatcher each request was sent to: clients go elsewhere where their connection is refused.
        self.dispatcher_of: dict[str, str] = {}
        self.answers: Counter[str] = Counter()
        self.took_ms: list[float] = []
        self.late_ms: list[float] = []
        self.possible_payoff = self.earned_payoff = 0.0

    async def send_all(
        self, requests: dict[str, ClientRequest], begin: float, session: aiohttp.ClientSession
    ) -> dict[str, Any]:
        """Send all requests at their times since `begin`, a moment of the loop's clock; what clients saw."""
        loop = asyncio.get_running_loop()
        tasks = []
        for request_id, request in sorted(requests.items(), key=lambda pair: pair[1].at):
            self.possible_payoff += self.categories[request.category].payoff
            due = begin + request.at / 1000.0
            await asyncio.sleep(max(0.0, due - loop.time()))
            tasks.append(asyncio.create_task(self._send(request_id, request, due, session)))
        await asyncio.gather(*tasks)
        return {
            "payoff": self.earned_payoff / self.possible_payoff if self.possible_payoff else 1.0,
            "items": len(requests),
            "answers": dict(self.answers),
            "answered after ms": percentiles(self.took_ms),
            "sent late by ms": percentiles(self.late_ms),
        }

    async def _send(
        self, request_id: str, request: ClientRequest, due: float, session: aiohttp.ClientSession
    ) -> None:
        """Send one request to its dispatcher, or to others where its connection is refused."""
        loop, home = asyncio.get_running_loop(), f"n{request.home}"
        self.late_ms.append((loop.time() - due) * 1000.0)
        answer = await self._attempt(request_id, request, home, session)
        for number, other in enumerate(self.dispatchers.others(home) if answer == REFUSED else (), 1):
            answer = await self._attempt(f"{request_id}-{number}", request, other, session)
            if answer != REFUSED:
                break
        self.answers[answer] += 1
        if answer == "200":
            # From when it was due, however late it could be sent.
            passed_ms = (loop.time() - due) * 1000.0
            self.took_ms.append(passed_ms)
            category = self.categories[request.category]
            in_time = passed_ms <= category.due_ms + category.stretch * request.work
            self.earned_payoff += category.payoff * in_time

    async def _attempt(
        self, request_id: str, request: ClientRequest, name: str, session: aiohttp.ClientSession
    ) -> str:
        """Send one request to one dispatcher and wait; its status, 'no answer', or 'refused' connections."""
        self.dispatcher_of[request_id] = name
        self.record.note("sent", wi=request_id, to=name, category=request.category, budget=request.budget)
        address = self.dispatchers.address_for_clients(name)
        url = f"http://{address}/{request.category}/{request_id}"
        answer = await _post(session, url, _headers(request_id, request), request)
        self.record.note("answered", wi=request_id, how=answer)
        return answer


def _headers(request_id: str, request: ClientRequest) -> dict[str, str]:
    headers = {"X-Call-Id": request_id, "X-Budget-Ms": str(max(1, int(request.budget)))}
    headers["Idempotency-Key"] = request_id
    if request.hint:
        headers["X-Call-Cost"] = str(int(request.hint * 1000.0))
    return headers


async def _post(
    session: aiohttp.ClientSession, url: str, headers: dict[str, str], request: ClientRequest
) -> str:
    """The status of an answer, 'no answer', or 'refused'."""
    while True:
        connection: dict[str, bool] = {}
        try:
            async with (
                asyncio.timeout(request.budget / 1000.0 + PATIENCE_S),
                session.post(
                    url, data=b"x" * request.size, headers=headers, trace_request_ctx=connection
                ) as response,
            ):
                await response.read()
                return str(response.status)
        except aiohttp.ClientConnectorError:
            return REFUSED
        except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError):
            # Closed between two requests: what crossed that is sent once more, over a new connection.
            if not connection.get("reused"):
                return NO_ANSWER
        except (aiohttp.ClientError, OSError, TimeoutError):
            return NO_ANSWER


def open_session() -> aiohttp.ClientSession:
    """A session whose requests note whether they go over a connection that was open already."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(_note_reused)
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0), trace_configs=[trace])


async def _note_reused(session: aiohttp.ClientSession, context: Any, params: Any) -> None:
    if context.trace_request_ctx is not None:
        context.trace_request_ctx["reused"] = True
