"""The clients of a run: an open loop that sends each request at its scheduled time."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any, NamedTuple

import aiohttp

from dunepulley.load import faults
from dunepulley.load.record import Record
from dunepulley.model.results import percentiles
from dunepulley.model.scenario import RequestClass, Scenario

# How many other dispatchers a client tries if its connection is refused.
MAX_OTHERS = 2
# How much longer than its request's timeout a client waits for the response.
EXTRA_WAIT_S = 1.0
# The results of requests without a response status.
REFUSED, NO_ANSWER = "refused", "no answer"


class ClientRequest(NamedTuple):
    """One request to send, `at` ms after the start of the clients.

    `timeout_ms` is the timeout and `expected_ms` the expected run time (0: not sent) in its headers.
    `body_bytes` is the length of the body, `work` the run time in ms at a server of speed 1, and `dispatcher`
    the number of the dispatcher that it is sent to.
    """

    at: float
    request_class: str
    timeout_ms: float
    expected_ms: float
    body_bytes: int
    work: float
    dispatcher: int


class Dispatchers:
    """The dispatchers as clients see them: their zones and ports, and which of them are running."""

    def __init__(self, zones: dict[str, str], ports: dict[str, int], network: faults.Faults) -> None:
        self.zones, self.ports, self.network = zones, ports, network
        self.serving: set[str] = set()

    def address_for_clients(self, name: str) -> str:
        """Return the address at which clients reach a dispatcher, through a link where a fault needs one."""
        return self.network.routed_address(faults.CLIENTS, name, f"127.0.0.1:{self.ports[name]}")

    def fallbacks(self, name: str) -> list[str]:
        """Return the running dispatchers to try instead of `name`, those of its own zone first."""
        others = self.serving - {name}
        nearest = sorted(
            others, key=lambda candidate: (self.zones[candidate] != self.zones[name], int(candidate[1:]))
        )
        return nearest[:MAX_OTHERS]


class Clients:
    """Sends a run's requests, and collects the answers, latencies and payoff."""

    def __init__(self, scenario: Scenario, dispatchers: Dispatchers, record: Record) -> None:
        self.request_classes: dict[str, RequestClass] = {
            request_class.name: request_class for request_class in scenario.categories
        }
        self.dispatchers, self.record = dispatchers, record
        # The dispatcher that each request was sent to: another one than planned if a connection was refused.
        self.dispatcher_of: dict[str, str] = {}
        self.answers: Counter[str] = Counter()
        self.latencies_ms: list[float] = []
        self.send_delays_ms: list[float] = []
        self.possible_payoff = self.earned_payoff = 0.0

    async def send_all(
        self, requests: dict[str, ClientRequest], begin: float, session: aiohttp.ClientSession
    ) -> dict[str, Any]:
        """Send all requests at their times after `begin`, in s of the loop's clock; return the results."""
        loop = asyncio.get_running_loop()
        tasks = []
        for request_id, request in sorted(requests.items(), key=lambda pair: pair[1].at):
            self.possible_payoff += self.request_classes[request.request_class].payoff
            scheduled_at = begin + request.at / 1000.0
            await asyncio.sleep(max(0.0, scheduled_at - loop.time()))
            tasks.append(asyncio.create_task(self._send(request_id, request, scheduled_at, session)))
        await asyncio.gather(*tasks)
        return {
            "payoff": self.earned_payoff / self.possible_payoff if self.possible_payoff else 1.0,
            "items": len(requests),
            "answers": dict(self.answers),
            "answered after ms": percentiles(self.latencies_ms),
            "sent late by ms": percentiles(self.send_delays_ms),
        }

    async def _send(
        self, request_id: str, request: ClientRequest, scheduled_at: float, session: aiohttp.ClientSession
    ) -> None:
        """Send a request to its dispatcher, or to others where the connection is refused."""
        loop, dispatcher = asyncio.get_running_loop(), f"n{request.dispatcher}"
        self.send_delays_ms.append((loop.time() - scheduled_at) * 1000.0)
        answer = await self._attempt(request_id, request, dispatcher, session)
        for number, other in enumerate(
            self.dispatchers.fallbacks(dispatcher) if answer == REFUSED else (), 1
        ):
            answer = await self._attempt(f"{request_id}-{number}", request, other, session)
            if answer != REFUSED:
                break
        self.answers[answer] += 1
        if answer == "200":
            # Measured from the scheduled time, even if the request was sent later.
            latency_ms = (loop.time() - scheduled_at) * 1000.0
            self.latencies_ms.append(latency_ms)
            request_class = self.request_classes[request.request_class]
            in_time = latency_ms <= request_class.due_ms + request_class.stretch * request.work
            self.earned_payoff += request_class.payoff * in_time

    async def _attempt(
        self, request_id: str, request: ClientRequest, name: str, session: aiohttp.ClientSession
    ) -> str:
        """Send a request to one dispatcher; return the response status, `NO_ANSWER` or `REFUSED`."""
        self.dispatcher_of[request_id] = name
        self.record.add_event(
            "sent", wi=request_id, to=name, category=request.request_class, budget=request.timeout_ms
        )
        address = self.dispatchers.address_for_clients(name)
        url = f"http://{address}/{request.request_class}/{request_id}"
        answer = await _post(session, url, _headers(request_id, request), request)
        self.record.add_event("answered", wi=request_id, how=answer)
        return answer


def _headers(request_id: str, request: ClientRequest) -> dict[str, str]:
    headers = {"X-Call-Id": request_id, "X-Budget-Ms": str(max(1, int(request.timeout_ms)))}
    headers["Idempotency-Key"] = request_id
    if request.expected_ms:
        headers["X-Call-Cost"] = str(int(request.expected_ms * 1000.0))
    return headers


async def _post(
    session: aiohttp.ClientSession, url: str, headers: dict[str, str], request: ClientRequest
) -> str:
    """Send a POST request; return the response status, `NO_ANSWER` or `REFUSED`."""
    while True:
        connection: dict[str, bool] = {}
        try:
            async with (
                asyncio.timeout(request.timeout_ms / 1000.0 + EXTRA_WAIT_S),
                session.post(
                    url, data=b"x" * request.body_bytes, headers=headers, trace_request_ctx=connection
                ) as response,
            ):
                await response.read()
                return str(response.status)
        except aiohttp.ClientConnectorError:
            return REFUSED
        except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError):
            # The dispatcher closed an idle connection while the request was sent: retry over a new one.
            if not connection.get("reused"):
                return NO_ANSWER
        except (aiohttp.ClientError, OSError, TimeoutError):
            return NO_ANSWER


def open_session() -> aiohttp.ClientSession:
    """Return a client session whose requests record whether they reused an open connection."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(_record_reuse)
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0), trace_configs=[trace])


async def _record_reuse(session: aiohttp.ClientSession, context: Any, params: Any) -> None:
    if context.trace_request_ctx is not None:
        context.trace_request_ctx["reused"] = True
