"""Errors of system calls by whose fault they are, and a dispatcher whose endpoints' connections fail."""

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

# Of this process or of the whole host: descriptors, and memory for sockets.
NO_DESCRIPTOR = ("EMFILE", "ENFILE")
NO_MEMORY = ("ENOBUFS", "ENOMEM")
OF_THIS_HOST = (*NO_DESCRIPTOR, *NO_MEMORY, "EADDRNOTAVAIL", "ENETUNREACH", "ENETDOWN", "EPERM", "EACCES")
OF_THE_ENDPOINT = ("ECONNREFUSED", "ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET")
# The call that fails: connect at once, or as the result of one that was under way; or socket, before it.
CALLS_OF_THIS_HOST = [*[("connect", error) for error in OF_THIS_HOST], ("connected", "ENETUNREACH")]
CALLS_OF_THIS_HOST += [("socket", error) for error in (*NO_DESCRIPTOR, *NO_MEMORY, "EACCES")]
SOME_OF_THIS_HOST = [("connect", "EMFILE"), ("connect", "EADDRNOTAVAIL"), ("connect", "EPERM")]
SOME_OF_THIS_HOST += [("connected", "ENETUNREACH"), ("socket", "ENOBUFS")]
CALLS_OF_THE_ENDPOINT = [(call, error) for call in ("connect", "connected") for error in OF_THE_ENDPOINT]


def taken(message: HttpMessage) -> bytes:
    """A script of an endpoint that accepts all requests."""
    return ACCEPTED


async def healthy(rig: DispatcherRig) -> str:
    """Ask for the health over a new connection, and over another one as long as that is closed unread."""
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
    """A dispatcher with fake endpoints to which calls fail as `sockets` plans, and what comes of that."""

    def __init__(
        self, sockets: FaultySockets, *scripts: Callable[[HttpMessage], Any], **settings: Any
    ) -> None:
        # Time for several attempts before an answer would come late.
        patient = {f"categories__{number}__dueTimeMs": 3000.0 for number in range(3)}
        super().__init__(*scripts, **patient | settings)
        self.faulty = sockets

    def fail(self, call: str, error: str, times: float = float("inf")) -> list[Fault]:
        """Have the next calls to all endpoints fail, so many in all."""
        ports = [0] if call == "socket" else [endpoint.port for endpoint in self.endpoints]
        return [self.faulty.fail(call, error, port, times) for port in ports]

    def posts(self) -> list[str]:
        """The ids of the requests that the endpoints have seen."""
        return [request_id for endpoint in self.endpoints for request_id in self.seen_by(endpoint)]

    @staticmethod
    def seen_by(endpoint: FakeServer) -> list[str]:
        """The ids of the requests that one endpoint has seen."""
        return [message.headers["x-call-id"] for message in endpoint.seen if message.method == "POST"]

    def ejected(self) -> set[str]:
        """The endpoints that get no usual turns."""
        return inspection.ejected_endpoints(self.core.router)

    async def callback(self, *what: Any, **more: Any) -> HttpMessage:
        """A callback, sent again as long as its connection is closed unread."""
        while True:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                return await super().callback(*what, **more)

    async def send(
        self,
        wi: str = "a",
        target: str = "/look/1",
        budget: int = 4000,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None,
        close: bool = True,
    ) -> asyncio.Task[str]:
        """Send a request, over the connection `client` if given; the task returns the status."""
        reader, writer = client or await self.connect()
        writer.write(request(target, wi=wi, budget=budget))

        async def read_status() -> str:
            status = (await read_message(reader)).target
            if close:
                writer.close()
            return status

        return asyncio.create_task(read_status())

    async def serve(self, wi: str = "a", runs_s: float = 0.0, **how: Any) -> str:
        """Send a request, have its endpoint report it as done after `runs_s`; the status of the response."""
        answered = await self.send(wi, **how)
        await until(lambda: wi in self.posts() or answered.done())
        await asyncio.wait([answered], timeout=runs_s)
        if not answered.done():
            number = next(n for n, endpoint in enumerate(self.endpoints) if wi in self.seen_by(endpoint))
            await self.callback(f"w{number}", "done", wi, result="made")
        return await answered
