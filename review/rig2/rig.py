"""Stand-ins of the cases 6 to 10: clients, workers and discovery on loopback, and the dispatcher's processes.

Only the standard library is used. Times in a record are in ms since the case began, by the monotonic clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, UNUSABLE = 0, 1, 2
CALLBACK_TRIES = 10
CALLBACK_PAUSE_S = 0.2
EMPTY_LINE_S = 2.0
# The stand-ins of one case are one process; the dispatchers have the limit of their settings.
USUAL_DESCRIPTORS, MANY_DESCRIPTORS = 512, 4096
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not run; nothing is known about the rule."""


def free_port() -> int:
    """Return a port of 127.0.0.1 at which nothing listens now."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        return free.getsockname()[1]


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)
        self.began = time.monotonic()

    def now_ms(self) -> float:
        """Return the ms since the case began."""
        return (time.monotonic() - self.began) * 1000.0

    def write(self, who: str, text: str) -> float:
        """Write one line; return its time."""
        now = self.now_ms()
        self.file.write(f"{now:11.1f} {who}: {text}\n")
        return now

    def append_logs(self, folder: Path) -> None:
        """Append what the dispatchers have logged."""
        for log in sorted(folder.glob("*.log")):
            for line in log.read_text(encoding="utf-8", errors="replace").splitlines():
                self.file.write(f"  log of {log.stem}: {line}\n")


class Message:
    """One HTTP message: its first line, its headers with names in lower case, and its body."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body
        parts = first.split(" ")
        self.method, self.target = parts[0], parts[1] if len(parts) > 1 else ""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.target)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message that tells its length; None if the connection ends before it is whole."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        pairs = [line.partition(":") for line in lines]
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError, asyncio.LimitOverrunError):
        return None
    return Message(first, headers, body)


def response(status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} X", *[f"{name}: {value}" for name, value in (headers or {}).items()]]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


class Discovery:
    """The agent that tells the list of workers: a watch gets the whole list, then each change."""

    def __init__(self, record: Record, name: str = "discovery") -> None:
        self.record, self.name = record, name
        self.port = 0
        self.revision = 1
        self.members: dict[str, dict[str, Any]] = {}
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.watches: set[asyncio.Queue[bytes | None]] = set()
        self.server: asyncio.Server | None = None
        self.delay_s = 0.0  # how long a call waits for its answer

    @property
    def address(self) -> str:
        """Its address."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def whole(self) -> dict[str, Any]:
        """Return the whole list as a message."""
        listed = [member for member in self.members.values() if member["phase"] != "Gone"]
        return {"revision": self.revision, "complete": True, "members": listed}

    def set(self, *members: dict[str, Any]) -> float:
        """Put entries into the list and tell them to all watches; return when that was."""
        self.revision += 1
        for member in members:
            self.members[member["id"]] = member
            self.log.append((self.revision, member))
        change = {"revision": self.revision, "complete": False, "members": list(members)}
        for watch in self.watches:
            watch.put_nowait(json.dumps(change).encode() + b"\n")
        text = ", ".join([f"{member['id']} {member['phase']}" for member in members])
        return self.record.write(self.name, f"tells {len(self.watches)} watches: {text}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        try:
            message = await read_message(reader)
            if message is None:
                return
            self.record.write(self.name, f"is called: {message.target}")
            await asyncio.sleep(self.delay_s)
            if "stream=1" not in message.target:
                writer.write(response(200, {}, json.dumps(self.whole()).encode()))
                return
            index = int(message.target.partition("index=")[2] or 0)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            queue.put_nowait(self._first_line(index))
            self.watches.add(queue)
            while True:
                line: bytes | None = b"\n"
                with contextlib.suppress(TimeoutError):
                    line = await asyncio.wait_for(queue.get(), EMPTY_LINE_S)
                if line is None:
                    return
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
        except OSError:
            pass
        finally:
            self.watches.discard(queue)
            writer.close()

    def _first_line(self, index: int) -> bytes:
        if index <= 1 or index > self.revision:
            return json.dumps(self.whole()).encode() + b"\n"
        changed = {member["id"]: member for revision, member in self.log if revision > index}
        if not changed:
            return b"\n"
        message = {"revision": self.revision, "complete": False, "members": list(changed.values())}
        return json.dumps(message).encode() + b"\n"

    async def stop(self) -> None:
        """Stop listening and end all watches."""
        if self.server is not None:
            self.server.close()
        for watch in self.watches:
            watch.put_nowait(None)


# Answers one request of a worker's connection; None stands for the usual way.
Special = Callable[["Worker", Message, asyncio.StreamWriter], Awaitable[bool]]


class Worker:
    """A worker: accepts a job with 202, runs it for `run_s`, and tells its start and its end by callbacks."""

    def __init__(
        self,
        record: Record,
        name: str,
        run_s: Callable[[Message], float] = lambda message: 0.05,
        special: Special | None = None,
        zone: str = "here",
        cell: int = 0,
    ) -> None:
        self.record, self.name, self.run_s, self.special = record, name, run_s, special
        self.zone, self.cell = zone, cell
        self.tells_start = True
        self.report: dict[str, float] | None = {"x0": 4.0, "backlog": 0.0, "throughput": 12.0}
        self.port = 0
        self.listed_port = 0  # the port in the list, if it is another one: that of a proxy
        self.dispatcher = 0  # the port at which callbacks are due
        self.server: asyncio.Server | None = None
        self.jobs: dict[str, asyncio.Task[None]] = {}
        self.runs: list[tuple[str, float]] = []  # the ids that were begun, and when
        self.arrivals: list[tuple[str, float]] = []  # requests whose last byte has come
        self.tasks: set[asyncio.Task[Any]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    def member(self, phase: str = "Ready", up_since_ms: float = 0.0) -> dict[str, Any]:
        """Return its entry in the list."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.listed_port or self.port}",
            "locality": self.zone,
            "flavor": "box",
            "cell": self.cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": up_since_ms,
        }

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if message.method == "POST":
                    request_id = message.headers.get("x-call-id", "?")
                    peer = writer.get_extra_info("peername")[1]
                    now = self.record.write(self.name, f"gets {request_id} {message.target} from port {peer}")
                    self.arrivals.append((request_id, now))
                if self.special is not None and await self.special(self, message, writer):
                    continue
                await self.usual(message, writer)
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def usual(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer as a sound worker does."""
        if message.method == "POST":
            self.begin(message)
            writer.write(response(202))
        elif message.method == "DELETE":
            self.end(message.target.rpartition("/")[2])
            writer.write(response(200))
        else:
            writer.write(response(200, {}, json.dumps(self.report or {}).encode()))
        await writer.drain()

    def begin(self, message: Message) -> None:
        """Run a job in a task of its own."""
        request_id = message.headers["x-call-id"]
        self.jobs[request_id] = self.spawn(self._run(request_id, message))

    def end(self, request_id: str) -> None:
        """Stop a job, if it still runs."""
        job = self.jobs.pop(request_id, None)
        self.record.write(self.name, f"is told to give up {request_id}, {'runs' if job else 'unknown'}")
        if job is not None:
            job.cancel()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine in a task that is kept."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _run(self, request_id: str, message: Message) -> None:
        self.runs.append((request_id, self.record.write(self.name, f"runs {request_id}")))
        if self.tells_start:
            self.spawn(self.tell({"id": request_id, "from": self.name, "state": "started"}))
        await asyncio.sleep(self.run_s(message))
        self.jobs.pop(request_id, None)
        done = {
            "id": request_id,
            "from": self.name,
            "state": "done",
            "result": f"{request_id} by {self.name}",
        }
        if self.report is not None:
            done["load"] = self.report
        self.spawn(self.tell(done))

    async def tell(self, event: dict[str, Any]) -> None:
        """Make a callback; try until it is answered, ten times at most."""
        body = json.dumps(event).encode()
        head = f"POST /v1/job-events HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n"
        head += "Connection: close\r\n\r\n"
        for _ in range(CALLBACK_TRIES):
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.dispatcher)
                try:
                    writer.write(head.encode() + body)
                    answer = await read_message(reader)
                finally:
                    writer.close()
                if answer is not None and answer.status in (200, 204):
                    self.record.write(self.name, f"told {event['state']} of {event['id']}")
                    return
            await asyncio.sleep(CALLBACK_PAUSE_S)
        self.record.write(self.name, f"could not tell {event['state']} of {event['id']}")

    async def stop(self) -> None:
        """Stop all work and listen no more."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()


class Proxy:
    """The network before a worker: hands on the bytes of each connection, each way `lag_s` later."""

    def __init__(self, target: Callable[[], int], lag_s: float = 0.0) -> None:
        self.target, self.lag_s = target, lag_s
        self.port = 0
        self.server: asyncio.Server | None = None
        self.links: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.silent = False  # nothing passes any more, and no connection ends
        # Whether the connection is reset in place of handing on these bytes of the worker.
        self.resets: Callable[[bytes], bool] = lambda data: False

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target())
        except OSError:
            writer.transport.abort()
            return
        link = (writer, far_writer)
        self.links.add(link)
        pumps = [self._pump(reader, far_writer), self._pump(far_reader, writer, self._reset_instead)]
        for pump in pumps:
            task = asyncio.ensure_future(pump)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _reset_instead(self, data: bytes, writer: asyncio.StreamWriter) -> bool:
        if not self.resets(data):
            return False
        writer.transport.abort()
        return True

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        ends: Callable[[bytes, asyncio.StreamWriter], bool] = lambda data, writer: False,
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if ends(data, writer):
                    return
                if not self.silent:
                    loop.call_later(self.lag_s, writer.write, data)
        if not self.silent:
            loop.call_later(self.lag_s, writer.close)

    def reset(self) -> None:
        """Reset all connections towards the dispatcher and end those towards the worker."""
        for near, far in self.links:
            near.transport.abort()
            far.transport.abort()
        self.links.clear()

    async def stop(self) -> None:
        """Listen no more and end all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        self.reset()


class Dispatcher:
    """A dispatcher's process, started by the line `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, document: dict[str, Any]) -> None:
        self.record, self.folder, self.name, self.document = record, folder, name, document
        self.port = int(document["listen"].rpartition(":")[2])
        self.file = folder / f"{name}.json"
        self.scratch = folder / f"{name}.tmp"
        self.scratch.mkdir(exist_ok=True)
        self.processes: list[asyncio.subprocess.Process] = []
        # As the platform has it, a process may hold so many descriptors.
        self.limit = int(document["limits"]["sockets"])

    async def start(self, **environment: str) -> asyncio.subprocess.Process:
        """Start a process; it may not be ready yet."""
        self.file.write_text(json.dumps(self.document), encoding="utf-8")
        line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        variables = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith("ROUTER_") and key != "TROUBLE"
        }
        variables |= {"ROUTER_CONFIG": str(self.file), "TMPDIR": str(self.scratch)} | environment
        with (self.folder / f"{self.name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                f"ulimit -n {self.limit}; {line}",
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.processes.append(process)
        self.record.write(self.name, f"process {len(self.processes)} starts")
        return process

    async def healthy(self, within_s: float = 30.0) -> None:
        """Wait until `GET /_health` says 200."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                    answer = await asyncio.wait_for(read_message(reader), 2.0)
                except TimeoutError:
                    answer = None
                finally:
                    writer.close()
                if answer is not None and answer.status == 200:
                    self.record.write(self.name, "is healthy")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} did not become healthy")

    def signal(self, number: signal.Signals, index: int = -1) -> None:
        """Send a signal to one of its processes."""
        process = self.processes[index]
        if process.returncode is None:
            self.record.write(self.name, f"gets {number.name}")
            process.send_signal(number)

    async def stop(self) -> None:
        """Kill all processes."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(process.pid, signal.SIGKILL)
            await process.wait()


class Client:
    """One connection of a client; it opens a new one when the dispatcher has closed the old one."""

    def __init__(self, record: Record, name: str, port: int) -> None:
        self.record, self.name, self.port = record, name, port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Open a connection."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    async def ask(
        self,
        request_id: str,
        target: str,
        budget_ms: int,
        key: str = "",
        body: bytes = b"work",
        patience_s: float = 0.0,
    ) -> Message | None:
        """Hand in a request and wait for its answer; None if none came.

        Without `patience_s` the client waits for one second beyond the request's time.
        """
        if self.writer is None or self.writer.is_closing() or (self.reader and self.reader.at_eof()):
            await self.open()
        assert self.reader is not None and self.writer is not None
        head = (
            f"POST {target} HTTP/1.1\r\nHost: app\r\nX-Call-Id: {request_id}\r\nX-Budget-Ms: {budget_ms}\r\n"
        )
        head += f"Idempotency-Key: {key}\r\n" if key else ""
        self.record.write(self.name, f"sends {request_id} {target} with {budget_ms} ms")
        try:
            self.writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            answer = await asyncio.wait_for(read_message(self.reader), patience_s or budget_ms / 1000.0 + 1.0)
        except (TimeoutError, OSError):
            answer = None
        if answer is None:
            self.record.write(self.name, f"gets no answer to {request_id}")
            self.close()
            return None
        self.record.write(self.name, f"gets {answer.status} {answer.body.decode()!r} to {request_id}")
        if answer.headers.get("connection") == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def category(name: str, effect: str, due_ms: int, expiry_ms: int, **more: Any) -> dict[str, Any]:
    """Return the settings of a class."""
    return {
        "name": name,
        "effect": effect,
        "dueTimeUs": due_ms * 1000,
        "expiryUs": expiry_ms * 1000,
        "payoff": 1.0,
        "overduePayoff": 0.0,
        "stream": False,
    } | more


def settings(categories: list[dict[str, Any]], **limits: Any) -> dict[str, Any]:
    """Return the settings of a small deployment; `limits` replace those of `policyLimits`."""
    return {
        "zone": "here",
        "areas": ["here"],
        "balancers": 1,
        "me": 0,
        "kinds": ["box"],
        "categories": categories,
        "clients": {"marksRetry": True},
        "discovery": "automatic",
        "family": "jobs",
        "familyInfo": {"tellsStart": True, "progressUs": 0, "queueOrder": "fifo", "reportX0": "free_slots"},
        "policyLimits": {
            "cancel": True,
            "connIdleUs": 10_000_000,
            "connectTimeoutUs": 250_000,
            "maxRetryAfterUs": 2_000_000,
            "mostHandOffs": 5,
            "openCap": 20_000,
            "peers": False,
            "probing": True,
            "retryAfter": True,
            "secondCopies": True,
        }
        | limits,
        "reporting": {"how": "answers", "fields": ["throughput", "backlog", "x0"]},
        "rules": {
            "answerSlackUs": 8_000,
            "drainGraceUs": 300_000,
            "coldFrom": 0.13,
            "coldUs": 24_000_000,
            "fallMultiple": 4.0,
            "tipAfterUs": 1_000_000,
        },
        "weightSource": "nominal",
    }


class Case:
    """What a case has started; all of it is stopped at the end."""

    def __init__(self, folder: Path, scratch: Path) -> None:
        self.folder, self.scratch = folder, scratch
        self.record = Record(folder)
        self.parts: list[Any] = []

    async def add(self, part: Any) -> Any:
        """Start a part that listens, and stop it at the end."""
        await part.start()
        self.parts.append(part)
        return part

    async def dispatcher(
        self,
        discovery: Discovery,
        workers: list[Worker],
        class_settings: dict[str, Any],
        name: str = "n0",
        sockets: int = 1024,
        **more: Any,
    ) -> Dispatcher:
        """Start a dispatcher and wait until it is healthy."""
        document = {
            "name": name,
            "listen": f"127.0.0.1:{free_port()}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": discovery.whole(),
            "settings": class_settings,
        } | more
        dispatcher = Dispatcher(self.record, self.scratch, name, document)
        self.parts.append(dispatcher)
        for worker in workers:
            worker.dispatcher = dispatcher.port
        await dispatcher.start()
        await dispatcher.healthy()
        return dispatcher

    async def stop(self) -> None:
        """Stop all parts, the dispatchers first."""
        for part in sorted(self.parts, key=lambda part: not isinstance(part, Dispatcher)):
            await part.stop()


def _raise_descriptors(wanted: int) -> None:
    """Allow this process, which stands in for many, the descriptors that the case needs."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return
    if hard != resource.RLIM_INFINITY and hard < wanted:
        raise CannotRunError(f"{wanted} descriptors are needed, {hard} are allowed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def run(
    folder: Path,
    body: Callable[[Case], Awaitable[str]],
    limit_s: float = 110.0,
    descriptors: int = USUAL_DESCRIPTORS,
) -> None:
    """Run a case and exit; `body` returns how the rule was broken, or an empty text if it held."""
    sys.exit(asyncio.run(_run(folder, body, limit_s, descriptors)))


async def _run(folder: Path, body: Callable[[Case], Awaitable[str]], limit_s: float, descriptors: int) -> int:
    with tempfile.TemporaryDirectory() as scratch:
        case = Case(folder, Path(scratch))
        try:
            _raise_descriptors(descriptors)
            broken = await asyncio.wait_for(body(case), limit_s)
        except (CannotRunError, OSError, TimeoutError) as error:
            case.record.write("case", f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return UNUSABLE
        finally:
            await case.stop()
            case.record.append_logs(Path(scratch))
        verdict = f"the rule was broken: {broken}" if broken else "the rule held"
        case.record.write("case", verdict)
        print(verdict)
        return BROKEN if broken else HELD
