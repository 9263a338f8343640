"""Stub endpoints of one measurement, as a process of its own: thousands of listening sockets on loopback.

    python -m bench.scale_endpoints FILE

FILE is a JSON object: `endpoints` (how many), `slots` and `queue` (of each), `dispatcher` (the address that
callbacks go to) and `report`, a file that gets the addresses once all listen, and `connections` in place of
them at the end (SIGTERM).
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

# The name of endpoint number n is this and n.
PREFIX = "w"
RETRY_CALLBACK_S = 0.1
# Endpoints share each address of the loopback network among so many ports.
PORTS_OF_ADDRESS = 400
STATES = {"began": "started", "finished": "done"}
BACKLOG = 16


def loopback_address(number: int) -> str:
    """The address that endpoint `number` listens at."""
    return f"127.0.0.{2 + number // PORTS_OF_ADDRESS}"


class Endpoints:
    """All endpoints, their jobs, and the count of connections made to them."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.told = told
        self.time = RealTime()
        self.connections = 0
        self.workers: list[ModelServer] = []
        self.servers: list[asyncio.Server] = []
        self.jobs: dict[tuple[str, str], Job] = {}
        self.callbacks: set[asyncio.Task] = set()
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def open(self) -> list[str]:
        """Have all listen; their addresses in order."""
        loop, addresses = asyncio.get_running_loop(), []
        slots, queue = self.told["slots"], self.told["queue"]
        for number in range(self.told["endpoints"]):
            worker = ModelServer(self.time, f"{PREFIX}{number}", "", "box", "0", slots, queue, 1.0)
            host = loopback_address(number)
            server = await loop.create_server(partial(Connection, self, worker), host, 0, backlog=BACKLOG)
            self.workers.append(worker)
            self.servers.append(server)
            addresses.append(f"{host}:{server.sockets[0].getsockname()[1]}")
        return addresses

    async def close(self) -> None:
        """Give back every socket and task."""
        for task in self.callbacks:
            task.cancel()
        await asyncio.gather(*self.callbacks, return_exceptions=True)
        for server in self.servers:
            server.close()
        await self.session.close()

    def take(self, worker: ModelServer, request_id: str, work_ms: float) -> bytes:
        """Take a job in or turn it away; the answer."""
        job = Job(request_id, work_ms, 1.0, partial(self._tell, worker, request_id))
        self.jobs[worker.name, request_id] = job
        if worker.offer(job):
            return answer(202)
        del self.jobs[worker.name, request_id]
        return answer(503, b"X-Rejected: 1\r\n")

    def give_up(self, worker: ModelServer, request_id: str) -> bytes:
        """Drop a job, if it is here; the answer."""
        job = self.jobs.pop((worker.name, request_id), None)
        if job is not None:
            worker.drop(job, running=True)
        return answer(204)

    def _tell(self, worker: ModelServer, request_id: str, what: str) -> None:
        told: dict[str, Any] = {"id": request_id, "from": worker.name, "state": STATES.get(what, "lost")}
        if what != "began":
            self.jobs.pop((worker.name, request_id), None)
            told |= {"result": "made", "load": load_report_fields(worker)}
        call = send_callback(self.session, self.told["dispatcher"], told, RETRY_CALLBACK_S)
        task = asyncio.create_task(call)
        self.callbacks.add(task)
        task.add_done_callback(self.callbacks.discard)


def answer(status: int, headers: bytes = b"") -> bytes:
    """An HTTP answer without a body."""
    return b"HTTP/1.1 %d -\r\n%sContent-Length: 0\r\n\r\n" % (status, headers)


class Connection(asyncio.Protocol):
    """One connection of the dispatcher to an endpoint: requests with their length given, one at a time."""

    def __init__(self, endpoints: Endpoints, worker: ModelServer) -> None:
        self.endpoints, self.server = endpoints, worker
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
            self.transport.write(self._answer(first, headers.get("x-call-id", ""), rest[:length]))

    def _answer(self, first: str, request_id: str, body: bytes) -> bytes:
        method, target, _ = first.split(" ")
        if method == "POST":
            # The body says how many milliseconds the work takes.
            return self.endpoints.take(self.server, request_id, float(body))
        if method == "DELETE":
            return self.endpoints.give_up(self.server, target.rpartition("/")[2])
        figures = ",".join([f"{name}={figure:g}" for name, figure in load_report_fields(self.server).items()])
        return answer(200, f"X-Load-Report: {figures}\r\n".encode()) if target == "/ping" else answer(404)


def write_whole(path: Path, told: dict[str, Any]) -> None:
    """Write a file in one step: who looks for it finds all of it or nothing."""
    path.with_suffix(".new").write_text(json.dumps(told))
    path.with_suffix(".new").replace(path)


async def main(told: dict[str, Any]) -> None:
    """Serve until SIGTERM, then tell how many connections were made."""
    ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended.set)
    endpoints = Endpoints(told)
    report = Path(told["report"])
    try:
        write_whole(report, {"addresses": await endpoints.open()})
        await ended.wait()
    finally:
        await endpoints.close()
    write_whole(report, {"connections": endpoints.connections})


if __name__ == "__main__":
    asyncio.run(main(json.loads(Path(sys.argv[1]).read_text())))
