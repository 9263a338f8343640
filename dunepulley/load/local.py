"""What stub servers on loopback share: ports, servers, time, callbacks, and a discovery."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
from aiohttp import web


def free_ports(count: int) -> list[int]:
    """Ports that nobody listens at now."""
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


class RealTime:
    """A timeline by the loop's clock, in ms."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()

    @property
    def now(self) -> float:
        return self.loop.time() * 1000.0

    def at(self, when: float, what: Any) -> Any:
        """Have something called at a moment."""
        return self.loop.call_at(when / 1000.0, what)


async def serve(server: web.Server, port: int = 0) -> tuple[web.ServerRunner, str]:
    """Have a server listen, at a port of its own or at this one; its address. Who starts it cleans it up."""
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port, reuse_address=bool(port)).start()
    return runner, f"127.0.0.1:{runner.addresses[0][1]}"


def member(worker: str, address: str, zone: str, kind: str, cell: str) -> dict[str, Any]:
    """A worker in discovery's list."""
    return {
        "id": worker,
        "host_port": address,
        "locality": zone,
        "flavor": kind,
        "cell": cell,
        "phase": "Ready",
        "size": 1.0,
        "up_since_ms": 0,
    }


async def send_callback(
    session: aiohttp.ClientSession, address: str, told: dict[str, Any], retry_pause_s: float
) -> None:
    """Tell a dispatcher what became of a hand-off, until it is answered, ten times at most."""
    for _ in range(10):
        with contextlib.suppress(aiohttp.ClientError, OSError):
            url, body = f"http://{address}/v1/job-events", json.dumps(told).encode()
            async with session.post(url, data=body) as answer:
                if answer.status in (200, 204):
                    return
        await asyncio.sleep(retry_pause_s)


class Catalog:
    """A discovery's list, which may change; whoever watches is told the whole of it each time."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.members = members
        self.revision = 1
        self.changed = asyncio.Event()
        # Called with the list once it is written to whoever watches.
        self.wrote: Callable[[list[dict[str, Any]]], None] = lambda members: None

    def change(self, worker: str, **figures: Any) -> None:
        """Tell another phase, start or size of a worker."""
        self.replace([each | figures if each["id"] == worker else each for each in self.members])

    def replace(self, members: list[dict[str, Any]]) -> None:
        """Tell another list."""
        self.members = members
        self.revision += 1
        # Each watch waits for the event that it saw last.
        self.changed.set()
        self.changed = asyncio.Event()

    async def watch(self, request: web.BaseRequest) -> web.StreamResponse:
        """A watch that lasts until it is broken."""
        answer = web.StreamResponse()
        await answer.prepare(request)
        told = 0
        with contextlib.suppress(ConnectionError):
            while True:
                changed, members, new = self.changed, self.members, told != self.revision
                told, line = self.revision, b""
                if new:
                    line = json.dumps({"revision": told, "complete": True, "members": members}).encode()
                await answer.write(line + b"\n")
                if new:
                    self.wrote(members)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(2.0):
                        await changed.wait()
        return answer


@contextlib.asynccontextmanager
async def serve_catalog(members: list[dict[str, Any]]) -> AsyncIterator[tuple[Catalog, str]]:
    """A discovery that tells these workers, and its address."""
    here = Catalog(members)
    runner, address = await serve(web.Server(here.watch, access_log=None))
    try:
        yield here, address
    finally:
        await runner.cleanup()


@contextlib.asynccontextmanager
async def discovery(members: list[dict[str, Any]]) -> AsyncIterator[str]:
    """A discovery whose list stays as it is; its address."""
    async with serve_catalog(members) as (_, address):
        yield address
