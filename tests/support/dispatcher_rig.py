"""A dispatcher with real sockets in the test process, with fake endpoints and a fake discovery."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from dunepulley.net.config import DispatcherConfig
from dunepulley.net.endpoint_list import parse_endpoint_list
from dunepulley.net.service import Service
from dunepulley.routing.events import ListUpdateKind
from support.event_loop import until
from support.fake_discovery import FakeDiscovery, member, members
from support.fake_server import FakeServer
from support.http_messages import HttpMessage, exchange, request
from support.router_rig import SETTINGS

# Targets of the three request classes of `SETTINGS`, and an idempotency key.
LOOK, STORE, PAY = "/look/1", "/store/1", "/pay/1"
KEY = "Idempotency-Key: 5c0f6e1a2b3d4c59"
# Latency objectives so late that no attempt is abandoned early on a busy machine.
LATE_OBJECTIVES = {f"categories__{number}__dueTimeMs": 3500.0 for number in range(3)}
LATE_OBJECTIVES["familyInfo__tellsStart"] = False


class DispatcherRig:
    """A dispatcher with one fake endpoint for each script; the endpoints are named w0, w1 and so on.

    Keyword arguments override `SETTINGS`, with `__` in place of each dot. `sockets` limits the dispatcher's
    sockets.
    """

    def __init__(
        self, *scripts: Callable[[HttpMessage], Any], sockets: int = 256, **settings: object
    ) -> None:
        self.endpoints = [FakeServer(script) for script in scripts]
        self.discovery = FakeDiscovery()
        self.sockets = sockets
        self.settings = SETTINGS | {name.replace("__", "."): value for name, value in settings.items()}

    async def __aenter__(self) -> DispatcherRig:
        for server in (*self.endpoints, self.discovery):
            await server.__aenter__()
        endpoints = [member(f"w{number}", server.address) for number, server in enumerate(self.endpoints)]
        config = DispatcherConfig(
            "n0",
            ("127.0.0.1", 0),
            self.discovery.address,
            7,
            self.sockets,
            parse_endpoint_list(members(*endpoints), ListUpdateKind.FROM_DISK),
            self.settings,
            admin_address=("127.0.0.1", 0),
        )
        self.service = Service(config)
        await self.service.start()
        self.core, self.frontend = self.service.core, self.service.frontend
        await until(lambda: self.core.can_serve() or not endpoints)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.service.close()
        for server in (*self.endpoints, self.discovery):
            await server.__aexit__()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client connection."""
        return await asyncio.open_connection("127.0.0.1", self.service.port)

    async def exchange(self, raw: bytes) -> HttpMessage:
        """Send bytes over a new connection and read the response."""
        return await exchange(self.service.port, raw)

    async def admin(self, command: str) -> str:
        """The admin interface's answer to a command."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.service.admin_port)
        writer.write(command.encode())
        writer.write_eof()
        answer = (await reader.read()).decode()
        writer.close()
        return answer

    async def metrics(self) -> dict[str, str]:
        """The metrics in the output of DUMP, by name without the prefix."""
        first, *lines, last = (await self.admin("DUMP")).splitlines()
        assert first.startswith("200") and last == "EOF"
        pairs = [line.split(":") for line in lines]
        return {name.removeprefix("edge_router."): value for name, value in pairs}

    async def callback(self, endpoint: str, state: str, request_id: str = "a", **more: object) -> HttpMessage:
        """Report the state of request `request_id` as an endpoint does; returns the response."""
        body = json.dumps({"id": request_id, "from": endpoint, "state": state} | more).encode()
        return await self.exchange(request("/v1/job-events", body, request_id=None))
