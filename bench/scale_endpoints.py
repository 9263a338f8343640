"""Runs all stub endpoints of a measurement in one process: thousands of listening sockets on loopback.

    python -m bench.scale_endpoints FILE

FILE is a JSON object: `endpoints` (their number), `slots` and `queue` (of each), `dispatcher` (the address
for callbacks) and `report`, the path of a JSON file. The report holds `addresses` once all endpoints listen;
at the end (SIGTERM) it is replaced by one that holds `connections`, the number of connections accepted.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from functools import partial
from pathlib import Path
from typing import Any

import aiohttp

from dunepulley.load.local import RealTime, send_callback
from dunepulley.load.stub_servers import load_report_fields
from dunepulley.model.server import Job, ModelServer

# Prefix of the endpoints' names, which is followed by their number.
PREFIX = "w"
CALLBACK_RETRY_S = 0.1
# The number of endpoints that share one loopback address, each with a port of its own.
ENDPOINTS_PER_ADDRESS = 400
CALLBACK_STATES = {"began": "started", "finished": "done"}
LISTEN_BACKLOG = 16


def loopback_address(number: int) -> str:
    """The address that endpoint `number` listens at."""
    return f"127.0.0.{2 + number // ENDPOINTS_PER_ADDRESS}"


class Endpoints:
    """All endpoints, their jobs, and the number of connections made to them."""

    def __init__(self, config: dict[str, Any]) -> None:
        self.config = config
        self.time = RealTime()
        self.connections = 0
        self.model_servers: list[ModelServer] = []
        self.servers: list[asyncio.Server] = []
        self.jobs: dict[tuple[str, str], Job] = {}
        self.callbacks: set[asyncio.Task] = set()
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def open(self) -> list[str]:
        """Have all endpoints listen; return their addresses in order."""
        loop, addresses = asyncio.get_running_loop(), []
        slots, queue = self.config["slots"], self.config["queue"]
        for number in range(self.config["endpoints"]):
            model_server = ModelServer(self.time, f"{PREFIX}{number}", "", "box", "0", slots, queue, 1.0)
            host = loopback_address(number)
            server = await loop.create_server(
                partial(Connection, self, model_server), host, 0, backlog=LISTEN_BACKLOG
            )
            self.model_servers.append(model_server)
            self.servers.append(server)
            addresses.append(f"{host}:{server.sockets[0].getsockname()[1]}")
        return addresses

    async def close(self) -> None:
        """Close all sockets and cancel all tasks."""
        for task in self.callbacks:
            task.cancel()
        await asyncio.gather(*self.callbacks, return_exceptions=True)
        for server in self.servers:
            server.close()
        await self.session.close()

    def accept_or_reject(self, model_server: ModelServer, request_id: str, work_ms: float) -> bytes:
        """Accept or reject a request; return the response."""
        job = Job(request_id, work_ms, 1.0, partial(self._send_callback, model_server, request_id))
        self.jobs[model_server.name, request_id] = job
        if model_server.offer(job):
            return response(202)
        del self.jobs[model_server.name, request_id]
        return response(503, b"X-Rejected: 1\r\n")

    def cancel(self, model_server: ModelServer, request_id: str) -> bytes:
        """Cancel a request if it is present; return the response."""
        job = self.jobs.pop((model_server.name, request_id), None)
        if job is not None:
            model_server.drop(job, running=True)
        return response(204)

    def _send_callback(self, model_server: ModelServer, request_id: str, job_event: str) -> None:
        message: dict[str, Any] = {
            "id": request_id,
            "from": model_server.name,
            "state": CALLBACK_STATES.get(job_event, "lost"),
        }
        if job_event != "began":
            self.jobs.pop((model_server.name, request_id), None)
            message |= {"result": "made", "load": load_report_fields(model_server)}
        call = send_callback(self.session, self.config["dispatcher"], message, CALLBACK_RETRY_S)
        task = asyncio.create_task(call)
        self.callbacks.add(task)
        task.add_done_callback(self.callbacks.discard)


def response(status: int, headers: bytes = b"") -> bytes:
    """An HTTP response without a body."""
    return b"HTTP/1.1 %d -\r\n%sContent-Length: 0\r\n\r\n" % (status, headers)


class Connection(asyncio.Protocol):
    """A connection from the dispatcher to an endpoint; serves one request with a Content-Length at a time."""

    def __init__(self, endpoints: Endpoints, model_server: ModelServer) -> None:
        self.endpoints, self.server = endpoints, model_server
        self.received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.endpoints.connections += 1
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data
        while b"\r\n\r\n" in self.received:
            head, _, rest = self.received.partition(b"\r\n\r\n")
            first, *lines = head.decode("latin-1").split("\r\n")
            fields = [line.partition(":") for line in lines]
            headers = {name.lower(): value.strip() for name, _, value in fields}
            length = int(headers.get("content-length", "0"))
            if len(rest) < length:
                return
            self.received = rest[length:]
            self.transport.write(self._respond(first, headers.get("x-call-id", ""), rest[:length]))

    def _respond(self, first: str, request_id: str, body: bytes) -> bytes:
        method, target, _ = first.split(" ")
        if method == "POST":
            # The body is the run time of the request in milliseconds.
            return self.endpoints.accept_or_reject(self.server, request_id, float(body))
        if method == "DELETE":
            return self.endpoints.cancel(self.server, target.rpartition("/")[2])
        fields = ",".join([f"{name}={value:g}" for name, value in load_report_fields(self.server).items()])
        return response(200, f"X-Load-Report: {fields}\r\n".encode()) if target == "/ping" else response(404)


def write_atomically(path: Path, report: dict[str, Any]) -> None:
    """Write a file atomically: a reader finds either no new content or all of it."""
    path.with_suffix(".new").write_text(json.dumps(report))
    path.with_suffix(".new").replace(path)


async def main(config: dict[str, Any]) -> None:
    """Serve until SIGTERM, then report the number of connections."""
    terminated = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, terminated.set)
    endpoints = Endpoints(config)
    report = Path(config["report"])
    try:
        write_atomically(report, {"addresses": await endpoints.open()})
        await terminated.wait()
    finally:
        await endpoints.close()
    write_atomically(report, {"connections": endpoints.connections})


if __name__ == "__main__":
    asyncio.run(main(json.loads(Path(sys.argv[1]).read_text())))
