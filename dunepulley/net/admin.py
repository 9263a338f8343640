"""The admin interface for operators and agents: one command line per connection, and one reply.

`AdminServer` owns the listening socket and every connection. The commands are passed to it
(`admin_commands.py`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from dunepulley.net import log
from dunepulley.net.counters import Counters
from dunepulley.net.listener import Listener
from dunepulley.net.log_events import LogEvent

# Long enough for a set of drains, which is sent as one line.
MAX_LINE_BYTES = 65536
# Limit on the duration of a connection, from its start until the reply has been read.
CONNECTION_TIMEOUT_S = 5.0
OK, FAILED = 200, 400


class Reply(NamedTuple):
    """The reply to a command: whether it succeeded, and the text to print."""

    ok: bool
    text: str


Command = Callable[[], Awaitable[Reply]]
# A command that may have an argument: everything after the first space of the line.
CommandWithArgument = Callable[[str], Awaitable[Reply]]


class AdminConnection(asyncio.Protocol):
    """One connection to the admin interface."""

    __slots__ = ("server", "transport", "received", "timer", "task")

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.transport: asyncio.Transport
        self.received = bytearray()
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection and start its timeout."""
        self.transport = transport
        self.timer = asyncio.get_running_loop().call_later(CONNECTION_TIMEOUT_S, transport.abort)
        self.server.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the command in progress, if any."""
        self.timer.cancel()
        if self.task is not None:
            self.task.cancel()
        self.server.remove(self)

    def data_received(self, data: bytes) -> None:
        """Run the command once its line is complete; more than one line is rejected."""
        if self.task is not None or self.transport.is_closing():
            return
        self.received += data
        line, newline, rest = self.received.partition(b"\n")
        if len(line) > MAX_LINE_BYTES:
            self.reply(Reply(False, "the line is too long"))
        elif rest:
            self.reply(Reply(False, "one line a connection"))
        elif newline:
            self._start(bytes(line))

    def eof_received(self) -> bool:
        """Treat the received bytes as a complete line, and keep the connection open for the reply."""
        if self.task is None and not self.transport.is_closing() and self.received:
            self._start(bytes(self.received))
        return self.task is not None

    def _start(self, line: bytes) -> None:
        self.server.incomplete.pop(self, None)
        self.task = asyncio.create_task(self._execute(line))

    async def _execute(self, line: bytes) -> None:
        name, _, argument = line.decode("utf-8", "replace").strip().partition(" ")
        self.reply(await self.server.execute(name, argument))

    def reply(self, reply: Reply) -> None:
        """Write the reply and close the connection."""
        self.server.incomplete.pop(self, None)
        self.transport.write(f"{OK if reply.ok else FAILED} {reply.text}\n".encode())
        self.transport.close()


class AdminServer:
    """Accepts connections, up to a limit, and runs the commands that are received on them."""

    def __init__(
        self,
        commands: dict[str, Command],
        commands_with_argument: dict[str, CommandWithArgument],
        max_connections: int,
        counters: Counters,
    ) -> None:
        self.commands = commands
        self.commands_with_argument = commands_with_argument
        self.max_connections = max_connections
        self.counters = counters
        # Both in the order of arrival; `incomplete` are those that have not sent a complete line yet.
        self.connections: dict[AdminConnection, None] = {}
        self.incomplete: dict[AdminConnection, None] = {}
        self.listener = Listener(
            LogEvent.ADMIN, lambda queued_since_s: AdminConnection(self), self.close_oldest, counters
        )

    async def execute(self, name: str, argument: str) -> Reply:
        """Run a command and return its reply; an exception in the command is logged as a fault."""
        command, with_argument = self.commands.get(name), self.commands_with_argument.get(name)
        if with_argument is None and (command is None or argument):
            self.counters["console unknown"] += 1
            return Reply(False, "calls are " + " ".join([*self.commands, *self.commands_with_argument]))
        self.counters[f"console {name}"] += 1
        try:
            return await (with_argument(argument) if with_argument is not None else command())
        except Exception as error:
            self.counters["faults"] += 1
            log.write(LogEvent.FAULT, f"console {name}: {error!r}")
            return Reply(False, "this call failed")

    def add(self, connection: AdminConnection) -> None:
        """Register a new connection; at the limit, the oldest connection is closed first."""
        if len(self.connections) >= self.max_connections:
            self.close_oldest()
        self.connections[connection] = self.incomplete[connection] = None

    def remove(self, connection: AdminConnection) -> None:
        """Unregister a connection."""
        self.connections.pop(connection, None)
        self.incomplete.pop(connection, None)

    def close_oldest(self) -> bool:
        """Close the oldest connection without a complete line, or else the oldest that awaits a reply.

        Returns False if there is no connection.
        """
        connection = next(iter(self.incomplete or self.connections), None)
        if connection is None:
            return False
        self.counters["console callers closed"] += 1
        self.remove(connection)
        connection.transport.abort()
        return True

    def close(self) -> None:
        """Close the listening socket and every connection."""
        self.listener.close()
        for connection in list(self.connections):
            connection.transport.abort()
