"""Stand-ins for clients, workers and the platform, and a record of what they saw.

Standard library only. Every address is a loopback address with a free port. Times in the record are seconds
since its start, by the monotonic clock.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"


def free_port():
    """A port of the loopback address on which nobody listens."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def category(name, effect, expiry_ms, due_ms=1000, scope="all", window_ms=5000):
    """One category of the settings, with the names and units of the simulator's first message."""
    return {
        "name": name,
        "effect": effect,
        "keyScope": scope,
        "windowUs": window_ms * 1000,
        "dueTimeUs": due_ms * 1000,
        "expiryUs": expiry_ms * 1000,
        "overduePayoff": 0.0,
        "payoff": 1.0,
        "stream": False,
    }


def settings(categories, zone="kingston", zones=("kingston",), dispatchers=1, second_copies=True, **rules):
    """Settings of a small deployment; all figures are those of the example on the page of the wire."""
    count = len(categories)
    return {
        "areas": list(zones),
        "zone": zone,
        "balancers": dispatchers,
        "me": 0,
        "categories": categories,
        "clients": {"marksRetry": True},
        "discovery": "automatic",
        "family": "jobs",
        "familyInfo": {
            "classKind": [-1] * count,
            "classPriority": [0] * count,
            "classStretch": [2.0] * count,
            "progressUs": 0,
            "queueOrder": "fifo",
            "reportX0": "free_slots",
            "tellsStart": True,
        },
        "kinds": ["mid-box"],
        "overagePayoff": 0.1,
        "payoffBy": "work",
        "policyLimits": {
            "cancel": True,
            "connIdleUs": 10_000_000,
            "connectTimeoutUs": 250_000,
            "cpuUsPerS": 8000,
            "maxRetryAfterUs": 2_000_000,
            "maxStreams": 1,
            "mostHandOffs": 5,
            "openCap": 20000,
            "peers": False,
            "probing": True,
            "retryAfter": True,
            "secondCopies": second_copies,
        },
        "prices": {"crossZone": 0.0067, "probe": 0.004, "waste": 0.04, "handshake": 0.0},
        "reporting": {"how": "answers", "fields": ["throughput", "backlog", "x0"]},
        "rules": {
            "answerSlackUs": 8000,
            "askEveryUs": 10_000_000,
            "coldFrom": 0.13,
            "coldUs": 24_000_000,
            "drainGraceUs": 300_000,
            "fallMultiple": 4.0,
            "tipAfterUs": 1_000_000,
        }
        | rules,
        "stages": ["intake-boxes"],
        "stepUs": 2000,
        "tier": 0,
        "weightSource": "nominal",
    }


class Record:
    """What was sent, answered and run: printed, and kept for `record.txt`."""

    def __init__(self, path):
        self.path = Path(path)
        self.started = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.lines.append(f"{self.now():9.4f} {text}")

    def save(self):
        self.path.write_text("\n".join(self.lines) + "\n")


async def read_message(reader):
    """One HTTP message with a Content-Length: its first line, its headers (lower case) and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def answer(status, body=b"", *headers):
    """An HTTP answer."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Discovery:
    """The agent of discovery: a watch that tells the whole list first, then changes; empty lines each 2 s."""

    def __init__(self, record):
        self.record = record
        self.revision = 0
        self.members = {}
        self.watches = set()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def document(self, members, complete):
        return {"revision": self.revision, "complete": complete, "members": members}

    def put(self, *members):
        """Add or change members, and tell all watches."""
        self.revision += 1
        for member in members:
            self.members[member["id"]] = member
        for member in members:
            self.record(f"discovery tells {member['id']} {member['phase']}")
        line = json.dumps(self.document(list(members), False)).encode() + b"\n"
        for writer in self.watches:
            self._write(writer, line)

    @staticmethod
    def _write(writer, line):
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))

    async def _serve(self, reader, writer):
        try:
            first, _, _ = await read_message(reader)
            whole = json.dumps(self.document(list(self.members.values()), True)).encode()
            if "stream=1" not in first:
                writer.write(answer(200, whole))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._write(writer, whole + b"\n")
            self.watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                self._write(writer, b"\n")
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


class Worker:
    """A sound worker: takes jobs with 202 up to its queue's limit, runs them in order, and tells their ends.

    A job that is taken back (DELETE, or a connection that is closed before the 202) is dropped if it waits;
    running work is not stopped. Subclasses change what they are told to change, and nothing else.
    """

    def __init__(self, record, name, back, zone="kingston", cell=0, slots=4, queue=16, work_s=0.05):
        self.record = record
        self.name = name
        self.back = back  # host and port of the dispatcher
        self.zone, self.cell = zone, cell
        self.slots, self.queue_limit, self.work_s = slots, queue, work_s
        self.port = 0
        self.waiting = []
        self.running = {}
        self.tasks = set()
        self.attempts = []
        self.done = set()  # ids of the jobs whose result was told and acknowledged
        self.server = None
        self.accepting = True

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def member(self, phase="Ready", up_since_ms=0):
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": self.zone,
            "flavor": "mid-box",
            "cell": self.cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": up_since_ms,
        }

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def time_of(self, request_id):
        """How long a job runs; its id begins with its category."""
        return self.work_s

    def load(self):
        return {
            "qps": len(self.running) / self.work_s,
            "queue": len(self.waiting),
            "x0": max(0, self.slots - len(self.running)),
        }

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                await self.handle(method, target, headers, body, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        if method == "DELETE":
            self.take_back(target.rpartition("/")[2])
            writer.write(answer(204))
        elif target in ("/ping", "/_load"):
            writer.write(answer(200, json.dumps(self.load()).encode()))
        else:
            await self.take(headers["x-call-id"], target, headers, writer)

    async def take(self, request_id, target, headers, writer):
        attempt = Attempt(request_id, self.name, self.record.now())
        self.attempts.append(attempt)
        if not self.accepting or len(self.waiting) >= self.queue_limit:
            self.record(f"{self.name} is sent {request_id}, turns it away (503, X-Rejected)")
            attempt.over_s = self.record.now()
            writer.write(answer(503, b"", "X-Rejected: 1"))
            return
        self.record(f"{self.name} is sent {request_id}, takes it (202)")
        self.waiting.append(request_id)
        writer.write(answer(202))
        self.spawn(self.begin_next())

    def take_back(self, request_id):
        dropped = request_id in self.waiting
        if dropped:
            self.waiting.remove(request_id)
        for attempt in self.attempts_of(request_id):
            attempt.over_s = min(attempt.over_s, self.record.now())
        self.record(f"{self.name} is told to drop {request_id}: {'dropped' if dropped else 'not waiting'}")

    def attempts_of(self, request_id):
        return [attempt for attempt in self.attempts if attempt.request_id == request_id]

    async def begin_next(self):
        if self.waiting and len(self.running) < self.slots:
            request_id = self.waiting.pop(0)
            self.running[request_id] = self.record.now()
            self.attempts_of(request_id)[-1].ran_s = self.record.now()
            self.record(f"{self.name} runs {request_id}")
            self.spawn(self.run(request_id))

    async def run(self, request_id):
        self.spawn(self.tell(request_id, "started"))
        await asyncio.sleep(self.time_of(request_id))
        await self.finish(request_id)

    async def finish(self, request_id):
        self.running.pop(request_id, None)
        self.spawn(self.begin_next())
        await self.tell(request_id, "done", result=f"{request_id} by {self.name}")

    async def tell(self, request_id, state, **fields):
        """Call back until it is answered, ten times at most."""
        event = {"id": request_id, "from": self.name, "state": state, **fields}
        if state in ("done", "failed", "returned", "lost"):
            event["load"] = self.load()
            attempt = self.attempts_of(request_id)[-1]
            attempt.over_s = min(attempt.over_s, self.record.now())
        body = json.dumps(event).encode()
        for _ in range(10):
            try:
                first, _, _ = await call(*self.back, "POST", "/v1/job-events", body, timeout_s=0.5)
            except (OSError, EOFError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            if first.split(" ")[1] in ("200", "204"):
                self.record(f"{self.name} tells {request_id} {state}")
                if state == "done":
                    self.done.add(request_id)
                return
            await asyncio.sleep(0.1)


class Link:
    """A proxy in front of a port: where `loses()` says so, the answers of a connection are lost in silence.

    What the connection carries the other way still arrives.
    """

    def __init__(self, record, name, target_port, loses):
        self.record = record
        self.name = name
        self.target_port = target_port
        self.loses = loses
        self.port = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        there = None
        try:
            lost = self.loses()
            back, there = await asyncio.open_connection(HOST, self.target_port)
            if lost:
                self.record(f"{self.name} loses the answer to a call")
            answers = asyncio.create_task(self._pass(back, None if lost else writer))
            await self._pass(reader, there)
            answers.cancel()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if there is not None:
                there.close()

    @staticmethod
    async def _pass(reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if writer is not None:
                    writer.write(data)


async def call(host, port, method, target, body=b"", *headers, timeout_s=5.0):
    """One call on a connection of its own: first line, headers and body of the answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {target} HTTP/1.1", "Host: app.svc", f"Content-Length: {len(body)}", *headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_message(reader)
        finally:
            writer.close()


class Attempt:
    """One attempt as its worker saw it: when its last byte came, when it ran, and when it was over.

    It is over when it was turned away, taken back, or its end was told to the dispatcher.
    """

    def __init__(self, request_id, worker, at_s):
        self.request_id = request_id
        self.worker = worker
        self.at_s = at_s
        self.ran_s = 0.0
        self.over_s = float("inf")

    def __repr__(self):
        ran = f"ran from {self.ran_s:.3f} s" if self.ran_s else "did not run"
        return f"at {self.worker}, come at {self.at_s:.3f} s, {ran}, over at {self.over_s:.3f} s"


class Answered:
    """What a client was answered: a status, or 0 where there was no whole answer."""

    def __init__(self, request_id, target, budget_ms):
        self.request_id = request_id
        self.target = target
        self.budget_ms = budget_ms
        self.sent_s = self.after_s = 0.0
        self.status = 0
        self.body = b""


class Client:
    """A client that sends one request at a time on one kept connection, and waits for each answer."""

    def __init__(self, record, name, host, port):
        self.record = record
        self.name = name
        self.address = (host, port)
        self.sent = 0
        self.answers = []
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address)

    async def ask(self, target, budget_ms, *headers, patience_s=None, request_id=""):
        """Send one request, with a new id if none is given.

        Without `patience_s` the client waits for the answer 1 s longer than it must.
        """
        if self.writer is None or self.writer.is_closing():
            await self.connect()
        self.sent += 1
        request_id = request_id or f"{target.split('/')[1]}-{self.name}-{self.sent}"
        asked = Answered(request_id, target, budget_ms)
        self.answers.append(asked)
        lines = [
            f"POST {target} HTTP/1.1",
            "Host: app.svc",
            f"X-Call-Id: {asked.request_id}",
            f"X-Budget-Ms: {budget_ms}",
            "Content-Length: 4",
            *headers,
        ]
        asked.sent_s = self.record.now()
        self.record(f"{self.name} asks {asked.request_id} {target}, budget {budget_ms} ms")
        try:
            self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\nwork")
            async with asyncio.timeout(patience_s or budget_ms / 1000.0 + 1.0):
                first, headers_back, asked.body = await read_message(self.reader)
            asked.status = int(first.split(" ")[1])
            if headers_back.get("connection", "").lower() == "close":
                self.drop()
        except (OSError, EOFError, TimeoutError) as error:
            self.record(f"{asked.request_id} has no answer: {type(error).__name__}")
            self.drop()
        asked.after_s = self.record.now() - asked.sent_s
        self.record(f"{asked.request_id} answered {asked.status} after {asked.after_s:.3f} s")
        return asked

    def drop(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


class Clients:
    """Clients that keep connections, and open more when all are busy; requests come at a given rate."""

    def __init__(self, record, host, port):
        self.record = record
        self.address = (host, port)
        self.all = []
        self.idle = []

    @property
    def answers(self):
        return [asked for client in self.all for asked in client.answers]

    async def ask(self, target, budget_ms, *headers):
        if self.idle:
            client = self.idle.pop()
        else:
            client = Client(self.record, f"c{len(self.all)}", *self.address)
            self.all.append(client)
        asked = await client.ask(target, budget_ms, *headers)
        self.idle.append(client)
        return asked

    async def ask_for(self, length_s, rate, name, budget_ms, random, work_ms=0):
        """Ask for jobs of a category at random times, `rate` a second; return when all is answered.

        With `work_ms` the clients give a hint of the work.
        """
        hint = [f"X-Call-Cost: {work_ms * 1000}"] if work_ms else []
        end_s = self.record.now() + length_s
        tasks = []
        while self.record.now() < end_s:
            tasks.append(asyncio.create_task(self.ask(f"/{name}/7f3a9c", budget_ms, *hint)))
            await asyncio.sleep(random.expovariate(rate))
        await asyncio.gather(*tasks)


class Dispatcher:
    """One dispatcher, started by the line `run` of the deploy file."""

    def __init__(self, record, name, folder, port, config, temporary=None):
        """`name` is that of the process in the record; `temporary` is a TMPDIR that processes share."""
        self.record = record
        self.name = name
        self.port = port
        self.folder = Path(folder)
        self.config = config
        self.temporary = temporary
        self.process = None
        self.log = None

    async def start(self):
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        temporary = Path(self.temporary or self.folder / f"{self.name}.tmp")
        temporary.mkdir(exist_ok=True)  # noqa: ASYNC240
        environment = {
            "PATH": os.environ["PATH"],
            "ROUTER_NAME": self.config["name"],
            "ROUTER_LISTEN": self.config["listen"],
            "ROUTER_DISCOVERY": self.config["discovery"],
            "ROUTER_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        if "console" in self.config:
            environment["ROUTER_CONSOLE"] = self.config["console"]
        self.log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        self.record(f"{self.name} starts")

    async def ready(self, limit_s=30.0):
        """Wait until the health call says 200."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                first, _, _ = await call(HOST, self.port, "GET", "/_health", timeout_s=1.0)
                if first.split(" ")[1] == "200":
                    self.record(f"{self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} was not ready within {limit_s} s")

    async def healthy(self, limit_s=6.0):
        """Wait until the second address says yes to HEALTH."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError, TimeoutError):
                if (await self.console("HEALTH")).startswith("200"):
                    self.record(f"{self.name} says yes to HEALTH")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} did not say yes within {limit_s} s")

    async def console(self, line):
        """One call to the second address."""
        host, _, port = self.config["console"].rpartition(":")
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(line.encode() + b"\n")
                return (await reader.read()).decode()
            finally:
                writer.close()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.record(f"{self.name} gets {signal.Signals(number).name}")

    async def end(self):
        """End the process, whatever it does."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.log is not None:
            self.log.close()


class CannotRunError(Exception):
    """The case could not be run."""


def config(name, port, discovery, given, members, **more):
    """The configuration of one dispatcher, as the platform writes it."""
    return {
        "name": name,
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 0, "complete": True, "members": members},
        "settings": given,
        **more,
    }


def main(case, folder):
    """Run a case: `case(record, temporary folder, trouble)` returns the breaks. Exits with 0, 1 or 2."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="review-")
    breaks = None
    try:
        breaks = asyncio.run(asyncio.wait_for(case(record, temporary, trouble), 110.0))
    except Exception as error:  # whatever it is, the rule was not judged
        record(f"the case could not run: {error!r}")
    finally:
        for log in sorted(Path(temporary).glob("*.log")):
            record(f"{log.name}: {log.read_text(errors='replace')[-2000:]}")
        shutil.rmtree(temporary, ignore_errors=True)
        for line in breaks or []:
            record(f"BROKEN: {line}")
        record.save()
    if breaks is None:
        print("could not run; see record.txt")
        raise SystemExit(2)
    for line in breaks[:10]:
        print(line)
    print("broken" if breaks else "held", f"({len(breaks)} breaks)" if breaks else "")
    raise SystemExit(1 if breaks else 0)
