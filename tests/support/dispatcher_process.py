"""Dispatcher processes, and the host that successive processes of one dispatcher share."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from pathlib import Path

from dunepulley.load.ports import free_port
from dunepulley.net import hot_restart
from support.event_loop import WAIT_TIMEOUT_S, until
from support.fake_discovery import member, members
from support.fake_server import SILENT, FakeServer
from support.http_messages import ACCEPTED, HttpMessage, exchange, request

ENDPOINT_COUNT = 4


class DispatcherHost:
    """What the processes of one dispatcher share: the address, $TMPDIR, a fake endpoint and a fake discovery.

    The endpoint is listed under `ENDPOINT_COUNT` names; discovery never answers. Without `scratch` the
    processes have no $TMPDIR. All processes are killed at the end.
    """

    def __init__(self, folder: Path, scratch: bool = True) -> None:
        self.folder = folder
        self.scratch = folder / "tmp"
        self.scratch.mkdir()
        self.limits = {"sockets": 256}
        self.environment = {name: value for name, value in os.environ.items() if name != "TMPDIR"}
        if scratch:
            self.environment["TMPDIR"] = str(self.scratch)
        self.port = free_port()
        self.path = hot_restart.socket_path(str(self.scratch), "127.0.0.1", self.port)
        self.nodes: list[DispatcherProcess] = []

    async def __aenter__(self) -> DispatcherHost:
        self.worker = await FakeServer(lambda message: ACCEPTED).__aenter__()
        self.watch = await FakeServer(lambda message: SILENT).__aenter__()
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self.nodes:
            if node.process.returncode is None:
                node.process.kill()
            await node.process.wait()
        await self.worker.__aexit__()
        await self.watch.__aexit__()

    async def start(self, known: int = ENDPOINT_COUNT) -> DispatcherProcess:
        """Start another process, configured with `known` endpoints, without waiting until it serves."""
        node = DispatcherProcess(self)
        self.nodes.append(node)
        await node.start(known)
        return node

    async def start_healthy(self) -> DispatcherProcess:
        """Start another process and wait until it is healthy."""
        node = await self.start()
        await node.wait_until_healthy()
        return node

    async def exchange(self, raw: bytes) -> HttpMessage:
        """Send bytes over a new connection and read the response."""
        return await exchange(self.port, raw)

    async def open(self, raw: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and send bytes over it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(raw)
        return reader, writer

    async def send_callbacks(self, request_id: str, state: str = "done") -> set[str]:
        """Send a callback for a request under each endpoint name; returns the statuses.

        Only one of the names has the request, but the test does not know which.
        """
        statuses = set()
        for number in range(ENDPOINT_COUNT):
            body = json.dumps(
                {"id": request_id, "from": f"w{number}", "state": state, "result": request_id}
            ).encode()
            statuses.add((await self.exchange(request("/v1/job-events", body, request_id=None))).target)
        return statuses

    async def seen(self, *expected: str) -> None:
        """Wait until the endpoint has received each of these requests once, and no others."""
        await until(lambda: sorted(self.received_ids()) == sorted(expected))

    def received_ids(self) -> list[str]:
        """The ids of all requests that the endpoint has received."""
        return [message.headers["x-call-id"] for message in self.worker.seen if message.method == "POST"]


class DispatcherProcess:
    """One process of a dispatcher, with an admin interface of its own."""

    def __init__(self, site: DispatcherHost) -> None:
        self.site = site
        self.console = free_port()

    def config(self, known: int = ENDPOINT_COUNT) -> Path:
        """Write the configuration to a file and return its path."""
        endpoints = [member(f"w{number}", self.site.worker.address) for number in range(known)]
        request_class = {"name": "look", "effect": "read_like", "dueTimeUs": 3000000, "expiryUs": 4000000}
        settings = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.site.port}",
            "discovery": self.site.watch.address,
            "console": f"127.0.0.1:{self.console}",
            "limits": self.site.limits,
            "known": members(*endpoints, revision=7),
            "settings": {"categories": [request_class], "policyLimits": {"mostHandOffs": 5}},
        }
        path = self.site.folder / f"config-{self.console}.json"
        path.write_text(json.dumps(settings))
        return path

    def command(self, known: int = ENDPOINT_COUNT) -> list[str]:
        """The command line that starts the process."""
        return [sys.executable, "-m", "dunepulley", "serve", "--config", str(self.config(known))]

    async def start(self, known: int) -> None:
        """Start the process, configured with `known` endpoints."""
        self.process = await asyncio.create_subprocess_exec(
            *self.command(known),
            stderr=asyncio.subprocess.PIPE,
            env=self.site.environment,
        )

    async def call(self, line: str) -> str:
        """The admin interface's answer to a command, empty if nothing listens."""
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.console)
            writer.write(line.encode() + b"\n")
            answer = (await reader.read()).decode()
            writer.close()
            return answer
        return ""

    async def wait_until_healthy(self) -> None:
        """Wait until the process is healthy; fails if it exits, raises TimeoutError if it takes too long."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not (await self.call("HEALTH")).startswith("200"):
                assert self.process.returncode is None
                await asyncio.sleep(0.01)

    async def metric(self, name: str) -> str | None:
        """The value of a metric in the output of DUMP, None if it is not printed."""
        lines = (await self.call("DUMP")).splitlines()
        return next((line.split(":")[1] for line in lines if line.startswith(f"edge_router.{name}:")), None)

    async def wait_for_exit(self) -> tuple[int, str]:
        """Wait until the process exits; returns its exit code and its log."""
        log = (await self.process.stderr.read()).decode()
        return await self.process.wait(), log
