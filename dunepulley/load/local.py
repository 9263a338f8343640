"""What stand-ins on loopback share: ports, servers, callbacks, and a discovery whose list stays as it is."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator
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


async def serve(handler: Any) -> tuple[web.ServerRunner, str]:
    """A server at a port of its own; whoever starts it cleans it up. Its address."""
    runner = web.ServerRunner(web.Server(handler, access_log=None), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
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


async def call_back(
    session: aiohttp.ClientSession, address: str, told: dict[str, Any], pause_s: float
) -> None:
    """Tell a dispatcher what became of a hand-off, until it is answered, ten times at most."""
    for _ in range(10):
        with contextlib.suppress(aiohttp.ClientError, OSError):
            url, body = f"http://{address}/v1/job-events", json.dumps(told).encode()
            async with session.post(url, data=body) as answer:
                if answer.status in (200, 204):
                    return
        await asyncio.sleep(pause_s)


@contextlib.asynccontextmanager
async def discovery(members: list[dict[str, Any]]) -> AsyncIterator[str]:
    """A discovery that tells these workers; its address."""

    async def watch(request: web.BaseRequest) -> web.StreamResponse:
        answer = web.StreamResponse()
        await answer.prepare(request)
        told = json.dumps({"revision": 1, "complete": True, "members": members}).encode() + b"\n"
        with contextlib.suppress(ConnectionError):
            while True:
                await answer.write(told)
                told = b"\n"
                await asyncio.sleep(2.0)
        return answer

    runner, address = await serve(watch)
    try:
        yield address
    finally:
        await runner.cleanup()
