"""Helpers for stub servers on loopback: HTTP servers, real time, callbacks and a discovery."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
from aiohttp import web


class RealTime:
    """A timeline for server models on the event loop's clock, in ms."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()

    @property
    def now(self) -> float:
        return self.loop.time() * 1000.0

    def at(self, when: float, action: Any) -> Any:
        """Schedule a call at a time in ms."""
        return self.loop.call_at(when / 1000.0, action)


async def serve(server: web.Server, port: int = 0) -> tuple[web.ServerRunner, str]:
    """Start a server on a port, by default a free one; return its runner and its address.

    The caller cleans up the runner.
    """
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port, reuse_address=bool(port)).start()
    return runner, f"127.0.0.1:{runner.addresses[0][1]}"


def member(server: str, address: str, zone: str, kind: str, cell: str) -> dict[str, Any]:
    """Return the entry of a server in discovery's list."""
    return {
        "id": server,
        "host_port": address,
        "locality": zone,
        "flavor": kind,
        "cell": cell,
        "phase": "Ready",
        "size": 1.0,
        "up_since_ms": 0,
    }


async def send_callback(
    session: aiohttp.ClientSession, address: str, document: dict[str, Any], retry_pause_s: float
) -> None:
    """Send the result of an attempt to a dispatcher; retry until it is acknowledged, at most ten times."""
    for _ in range(10):
        with contextlib.suppress(aiohttp.ClientError, OSError):
            url, body = f"http://{address}/v1/job-events", json.dumps(document).encode()
            async with session.post(url, data=body) as response:
                if response.status in (200, 204):
                    return
        await asyncio.sleep(retry_pause_s)


class Catalog:
    """A discovery's list of servers; each watch receives the complete list on every change."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.members = members
        self.revision = 1
        self.changed = asyncio.Event()
        # Called with the list after it was written to a watch.
        self.on_written: Callable[[list[dict[str, Any]]], None] = lambda members: None

    def change(self, server: str, **fields: Any) -> None:
        """Change fields of a server's entry, as its phase, start time or size."""
        self.replace([entry | fields if entry["id"] == server else entry for entry in self.members])

    def replace(self, members: list[dict[str, Any]]) -> None:
        """Replace the list."""
        self.members = members
        self.revision += 1
        # Watches wait for the event that they read last, so each change sets it and creates a new one.
        self.changed.set()
        self.changed = asyncio.Event()

    async def watch(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a watch until its connection is closed."""
        response = web.StreamResponse()
        await response.prepare(request)
        revision = 0
        with contextlib.suppress(ConnectionError):
            while True:
                changed, members, is_new = self.changed, self.members, revision != self.revision
                revision, line = self.revision, b""
                if is_new:
                    line = json.dumps({"revision": revision, "complete": True, "members": members}).encode()
                await response.write(line + b"\n")
                if is_new:
                    self.on_written(members)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(2.0):
                        await changed.wait()
        return response


@contextlib.asynccontextmanager
async def serve_catalog(members: list[dict[str, Any]]) -> AsyncIterator[tuple[Catalog, str]]:
    """Run a discovery with these entries; yields its list and its address."""
    catalog = Catalog(members)
    runner, address = await serve(web.Server(catalog.watch, access_log=None))
    try:
        yield catalog, address
    finally:
        await runner.cleanup()


@contextlib.asynccontextmanager
async def discovery(members: list[dict[str, Any]]) -> AsyncIterator[str]:
    """Run a discovery whose list does not change; yields its address."""
    async with serve_catalog(members) as (_, address):
        yield address
