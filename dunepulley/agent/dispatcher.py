"""An agent's client of one dispatcher: calls to its admin interface, and the results of the last ones."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Any, NamedTuple

import orjson

from dunepulley.agent.admin_call import AdminReply, NoAnswerError, call
from dunepulley.agent.config import DispatcherConfig
from dunepulley.clocks import Clock
from dunepulley.control import drain_json
from dunepulley.control.drains import INFINITY, DrainSet
from dunepulley.control.fleet_view import DispatcherReport

# The value of `leaving` of a process that has passed its clients to its child in a hot restart.
_HANDED_OVER = "handed over"


class ProcessIdentity(NamedTuple):
    """The identity that a dispatcher process reports; `leaving` is empty while it accepts clients."""

    admin_address: str
    pid: int
    version: str
    leaving: str
    drain_version: tuple[float, int]


class EndpointViews(NamedTuple):
    """The kind of endpoint that each request class requires, and each endpoint as a dispatcher sees it."""

    kind_by_class: dict[str, str]
    endpoints: list[dict[str, Any]]


class Dispatcher:
    """A client of one dispatcher, which may be one process or, in a hot restart, two.

    `process` is the process that serves, as of the last poll; if none answered it is None, and `last_error`
    gives the reason. `polled` is notified after each poll. `operation` names the operator's command that is
    running on the dispatcher, empty for none. `report` is its last report about zones; if there is none, or
    the dispatcher does not follow the traffic plan, `plan_error` gives the reason.
    """

    def __init__(self, config: DispatcherConfig, answer_timeout_s: float, clock: Clock) -> None:
        """Create a client; each call waits `answer_timeout_s` for a reply, and drains expire by `clock`."""
        self.name = config.name
        self.config = config
        self.answer_timeout_s = answer_timeout_s
        self.clock = clock
        self.process: ProcessIdentity | None = None
        self.last_error = "not polled yet"
        self.drains_sent_ms = 0.0  # by the wall clock
        self.operation = ""
        self.polled = asyncio.Condition()
        self.report: DispatcherReport | None = None
        self.plan_error = "no plan was sent yet"

    @contextlib.contextmanager
    def occupied_by(self, operation: str) -> Iterator[None]:
        """Mark the dispatcher as occupied by an operator's `operation`; the caller checks that it is free."""
        self.operation = operation
        try:
            yield
        finally:
            self.operation = ""

    async def poll(self, drains: DrainSet) -> None:
        """Query the processes of the dispatcher, and send the drains to each that has an older set."""
        try:
            processes = await self.processes()
            for index, process in enumerate(processes):
                if process.drain_version < drains.version:
                    await self._send_drains(process, drains)
                    processes[index] = process._replace(drain_version=drains.version)
            self.process, self.last_error = processes[0], ""
        except NoAnswerError as error:
            self.process, self.last_error = None, str(error)
        async with self.polled:
            self.polled.notify_all()

    async def identify(self, admin_address: str) -> ProcessIdentity:
        """Query the identity of the process at an admin address. Raises `NoAnswerError`."""
        reply = await call(admin_address, "WHO", self.answer_timeout_s)
        try:
            identity = orjson.loads(reply.text) if reply.ok else {}
            epoch, revision = identity["drains"]
            return ProcessIdentity(
                admin_address,
                int(identity["pid"]),
                str(identity["version"]),
                str(identity["leaving"]),
                (float(epoch), int(revision)),
            )
        except (ValueError, TypeError, KeyError) as error:
            raise NoAnswerError("WHO: invalid reply, not a dispatcher of this version") from error

    async def processes(self) -> list[ProcessIdentity]:
        """Return the processes that answer, the serving one first. Raises `NoAnswerError` if none answers."""
        calls = [self.identify(address) for address in self.config.admin_addresses]
        results = await asyncio.gather(*calls, return_exceptions=True)
        processes = [result for result in results if isinstance(result, ProcessIdentity)]
        if not processes:
            raise next(result for result in results if isinstance(result, BaseException))
        return sorted(processes, key=lambda process: process.leaving == _HANDED_OVER)

    def has_drains(self, drains: DrainSet) -> bool:
        """Return whether the serving process has reported this set or a newer one."""
        return self.process is not None and self.process.drain_version >= drains.version

    async def call_admin(self, line: str, timeout_s: float = INFINITY) -> AdminReply:
        """Call the serving process, limited by `timeout_s` and `answer_timeout_s`. Raises `NoAnswerError`."""
        if self.process is None:
            raise NoAnswerError(self.last_error)
        return await call(self.process.admin_address, line, min(timeout_s, self.answer_timeout_s))

    async def endpoints(self, timeout_s: float = INFINITY) -> EndpointViews:
        """Return the endpoints as this dispatcher sees them. Raises `NoAnswerError`."""
        _, text = await self.call_admin("WORKERS", timeout_s)
        try:
            first, *lines, last = text.split("\n")
            if last != "EOF":
                raise ValueError(last)
            kind_by_class = dict(orjson.loads(first)["needs"])
            return EndpointViews(kind_by_class, [dict(orjson.loads(line)) for line in lines])
        except (ValueError, TypeError, KeyError) as error:
            raise NoAnswerError("WORKERS: the reply cannot be parsed") from error

    async def metrics(self) -> dict[str, int]:
        """Return its metrics by name, without their common prefix. Raises `NoAnswerError`."""
        _, text = await self.call_admin("DUMP")
        pairs = [line.partition(":") for line in text.split("\n")[1:-1]]
        try:
            return {name.partition(".")[2]: int(value.partition("|")[0]) for name, _, value in pairs}
        except ValueError as error:
            raise NoAnswerError("DUMP: the reply cannot be parsed") from error

    async def _send_drains(self, process: ProcessIdentity, drains: DrainSet) -> None:
        sent_ms = self.clock.wall_ms()
        encoded = drain_json.encode_drain_set(drains._replace(ended=()), self.clock)
        line = "DRAINS " + orjson.dumps(encoded).decode()
        reply = await call(process.admin_address, line, self.answer_timeout_s)
        if not reply.ok:
            raise NoAnswerError(f"rejected the drains: {reply.text}")
        self.drains_sent_ms = sent_ms
