"""System call errors, sorted by host and endpoint, and a dispatcher whose connections to endpoints fail."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from dunepulley.routing import inspection
from support.dispatcher_rig import DispatcherRig
from support.event_loop import until
from support.fake_server import FakeServer
from support.faulty_sockets import Fault, FaultySockets
from support.http_messages import ACCEPTED, HEALTH_REQUEST, HttpMessage, read_message, request

# Limits of this process or host: file descriptors, and memory for sockets.
NO_DESCRIPTOR = ("EMFILE", "ENFILE")
NO_MEMORY = ("ENOBUFS", "ENOMEM")
OF_THIS_HOST = (*NO_DESCRIPTOR, *NO_MEMORY, "EADDRNOTAVAIL", "ENETUNREACH", "ENETDOWN", "EPERM", "EACCES")
OF_THE_ENDPOINT = ("ECONNREFUSED", "ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET")
# The failing call: connect at once, the result of a connect in progress ("connected"), or socket.
CALLS_OF_THIS_HOST = [*[("connect", error) for error in OF_THIS_HOST], ("connected", "ENETUNREACH")]
CALLS_OF_THIS_HOST += [("socket", error) for error in (*NO_DESCRIPTOR, *NO_MEMORY, "EACCES")]
SAMPLE_OF_THIS_HOST = [("connect", "EMFILE"), ("connect", "EADDRNOTAVAIL"), ("connect", "EPERM")]
SAMPLE_OF_THIS_HOST += [("connected", "ENETUNREACH"), ("socket", "ENOBUFS")]
CALLS_OF_THE_ENDPOINT = [(call, error) for call in ("connect", "connected") for error in OF_THE_ENDPOINT]


def accept_all(message: HttpMessage) -> bytes:
    """The script of an endpoint that accepts every request."""
    return ACCEPTED


async def health_status(rig: DispatcherRig) -> str:
    """The status of a health request; uses a new connection whenever one is closed without a response."""
    while True:
        reader, writer = await rig.connect()
        writer.write(HEALTH_REQUEST)
        try:
            return (await read_message(reader)).target
        except (asyncio.IncompleteReadError, ConnectionError):
            continue
        finally:
            writer.close()


class FaultyDispatcherRig(DispatcherRig):
    """A dispatcher whose calls to its fake endpoints fail as planned in `sockets`."""

    def __init__(
        self, sockets: FaultySockets, *scripts: Callable[[HttpMessage], Any], **settings: Any
    ) -> None:
        # Leave time for several attempts before the latency objective.
        late_objectives = {f"categories__{number}__dueTimeMs": 3000.0 for number in range(3)}
        super().__init__(*scripts, **late_objectives | settings)
        self.faulty = sockets

    def fail(self, call: str, error: str, times: float = float("inf")) -> list[Fault]:
        """Have the next calls to all endpoints fail, at most `times` in all for each endpoint."""
        ports = [0] if call == "socket" else [endpoint.port for endpoint in self.endpoints]
        return [self.faulty.fail(call, error, port, times) for port in ports]

    def received_ids(self) -> list[str]:
        """The ids of the requests that the endpoints have received."""
        return [request_id for endpoint in self.endpoints for request_id in self.seen_by(endpoint)]

    @staticmethod
    def seen_by(endpoint: FakeServer) -> list[str]:
        """The ids of the requests that one endpoint has received."""
        return [message.headers["x-call-id"] for message in endpoint.seen if message.method == "POST"]

    def ejected(self) -> set[str]:
        """The ids of the ejected endpoints."""
        return inspection.ejected_endpoints(self.core.router)

    async def callback(self, *args: Any, **kwargs: Any) -> HttpMessage:
        """Send a callback, again whenever its connection is closed without a response."""
        while True:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                return await super().callback(*args, **kwargs)

    async def send(
        self,
        request_id: str = "a",
        target: str = "/look/1",
        budget: int = 4000,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None,
        close: bool = True,
    ) -> asyncio.Task[str]:
        """Send a request, over the connection `client` if given; returns a task for the response's status."""
        reader, writer = client or await self.connect()
        writer.write(request(target, request_id=request_id, budget=budget))

        async def read_status() -> str:
            status = (await read_message(reader)).target
            if close:
                writer.close()
            return status

        return asyncio.create_task(read_status())

    async def serve(self, request_id: str = "a", runs_s: float = 0.0, **options: Any) -> str:
        """Send a request and have its endpoint report it as done after `runs_s`; returns the status."""
        status_task = await self.send(request_id, **options)
        await until(lambda: request_id in self.received_ids() or status_task.done())
        await asyncio.wait([status_task], timeout=runs_s)
        if not status_task.done():
            number = next(
                n for n, endpoint in enumerate(self.endpoints) if request_id in self.seen_by(endpoint)
            )
            await self.callback(f"w{number}", "done", request_id, result="made")
        return await status_task
