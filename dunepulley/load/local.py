"""What runs on loopback need: ports that are free, and a discovery whose list stays as it is."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator
from typing import Any

from aiohttp import web


def free_ports(count: int) -> list[int]:
    """Ports that nobody listens at now."""
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


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

    runner = web.ServerRunner(web.Server(watch, access_log=None), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield f"127.0.0.1:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()
