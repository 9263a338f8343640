"""One dispatcher as its agent sees it: calls to its admin interface, and what they last returned."""

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

# What a process says of itself once a hot restart has handed its clients to another.
_HANDED_OVER = "handed over"


class ProcessIdentity(NamedTuple):
    """What a dispatcher process says of itself; `leaving` is empty while it accepts clients."""

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

    `process` is the one that serves, as of the last poll; where none answered it is None, and `last_error`
    says why. `polled` is notified after each poll. `operation` names what an operator is having done with the
    dispatcher, empty for nothing. `report` is what it last reported to the fleet; where it did not or does
    not follow the traffic plan, `plan_error` says why.
    """

    def __init__(self, config: DispatcherConfig, answer_timeout_s: float, clock: Clock) -> None:
        """Prepare calls that each wait `answer_timeout_s` for a reply; expiries of drains are by `clock`."""
        self.name = config.name
        self.config = config
        self.answer_timeout_s = answer_timeout_s
        self.clock = clock
        self.process: ProcessIdentity | None = None
        self.last_error = "not asked yet"
        self.drains_sent_ms = 0.0  # by the wall clock
        self.operation = ""
        self.polled = asyncio.Condition()
        self.report: DispatcherReport | None = None
        self.plan_error = "not told yet"

    @contextlib.contextmanager
    def occupied_by(self, operation: str) -> Iterator[None]:
        """Mark the dispatcher as occupied by an operator's `operation`; the caller checks that it is free."""
        self.operation = operation
        try:
            yield
        finally:
            self.operation = ""

    async def poll(self, wanted: DrainSet) -> None:
        """Ask which processes there are, and send the drains to each that has an older set."""
        try:
            processes = await self.processes()
            for index, process in enumerate(processes):
                if process.drain_version < wanted.version:
                    await self._send_drains(process, wanted)
                    processes[index] = process._replace(drain_version=wanted.version)
            self.process, self.last_error = processes[0], ""
        except NoAnswerError as error:
            self.process, self.last_error = None, str(error)
        async with self.polled:
            self.polled.notify_all()

    async def identify(self, admin_address: str) -> ProcessIdentity:
        """Ask the process at an admin address for its identity. Raises `NoAnswerError`."""
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
            raise NoAnswerError("what answers is no dispatcher of this version") from error

    async def processes(self) -> list[ProcessIdentity]:
        """Return the processes that answer, the one that serves first. Raises `NoAnswerError` for none."""
        calls = [self.identify(address) for address in self.config.admin_addresses]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        processes = [answer for answer in answers if isinstance(answer, ProcessIdentity)]
        if not processes:
            raise next(answer for answer in answers if isinstance(answer, BaseException))
        return sorted(processes, key=lambda process: process.leaving == _HANDED_OVER)

    def has_drains(self, wanted: DrainSet) -> bool:
        """Return whether the serving process is known to have this set, or a newer one."""
        return self.process is not None and self.process.drain_version >= wanted.version

    async def call_admin(self, line: str, timeout_s: float = INFINITY) -> AdminReply:
        """Call the process that serves, within `timeout_s` and `answer_timeout_s`. Raises `NoAnswerError`."""
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
            raise NoAnswerError("its workers cannot be read") from error

    async def metrics(self) -> dict[str, int]:
        """Return its metrics by name, without the prefix that all of them have. Raises `NoAnswerError`."""
        _, text = await self.call_admin("DUMP")
        pairs = [line.partition(":") for line in text.split("\n")[1:-1]]
        try:
            return {name.partition(".")[2]: int(value.partition("|")[0]) for name, _, value in pairs}
        except ValueError as error:
            raise NoAnswerError("its figures cannot be read") from error

    async def _send_drains(self, process: ProcessIdentity, wanted: DrainSet) -> None:
        sent_ms = self.clock.wall_ms()
        encoded = drain_json.encode_drain_set(wanted._replace(ended=()), self.clock)
        line = "DRAINS " + orjson.dumps(encoded).decode()
        reply = await call(process.admin_address, line, self.answer_timeout_s)
        if not reply.ok:
            raise NoAnswerError(f"did not take the drains: {reply.text}")
        self.drains_sent_ms = sent_ms
