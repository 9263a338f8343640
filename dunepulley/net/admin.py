"""The admin interface, where operators and agents call: one line a connection, and one reply.

`AdminServer` owns the listening socket and every connection. What the commands do is given to it
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

# A set of drains is one line.
MAX_LINE_BYTES = 65536
# Whoever has not sent a line, or not read the reply, loses the connection after this.
CONNECTION_TIMEOUT_S = 5.0
OK, FAILED = 200, 400


class Reply(NamedTuple):
    """The reply to a command: whether it was carried out, and the lines to print."""

    ok: bool
    text: str


Command = Callable[[], Awaitable[Reply]]
# A command that may have an argument, which is the rest of its line.
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
        """Begin to wait for a line."""
        self.transport = transport
        self.timer = asyncio.get_running_loop().call_later(CONNECTION_TIMEOUT_S, transport.abort)
        self.server.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give up the command, if one is under way."""
        self.timer.cancel()
        if self.task is not None:
            self.task.cancel()
        self.server.remove(self)

    def data_received(self, data: bytes) -> None:
        """Carry out a command once its line is complete; more than one line is refused."""
        if self.task is not None or self.transport.is_closing():
            return
        self.received += data
        line, newline, rest = self.received.partition(b"\n")
        if len(line) > MAX_LINE_BYTES:
            self.reply(Reply(False, "the line is too long"))
        elif rest:
            self.reply(Reply(False, "one line a connection"))
        elif newline:
            self._begin(bytes(line))

    def eof_received(self) -> bool:
        """Take what came as a line, and keep the connection open until the reply is out."""
        if self.task is None and not self.transport.is_closing() and self.received:
            self._begin(bytes(self.received))
        return self.task is not None

    def _begin(self, line: bytes) -> None:
        self.server.waiting.pop(self, None)
        self.task = asyncio.create_task(self._carry_out(line))

    async def _carry_out(self, line: bytes) -> None:
        name, _, argument = line.decode("utf-8", "replace").strip().partition(" ")
        self.reply(await self.server.carry_out(name, argument))

    def reply(self, reply: Reply) -> None:
        """Write the reply and close."""
        self.server.waiting.pop(self, None)
        self.transport.write(f"{OK if reply.ok else FAILED} {reply.text}\n".encode())
        self.transport.close()


class AdminServer:
    """Accepts connections, up to a limit, and carries out the commands that come over them."""

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
        # Both in the order in which they came; those that wait have not sent a whole line yet.
        self.connections: dict[AdminConnection, None] = {}
        self.waiting: dict[AdminConnection, None] = {}
        self.listener = Listener(
            LogEvent.CONSOLE, lambda queued_since_s: AdminConnection(self), self.close_oldest, counters
        )

    async def carry_out(self, name: str, argument: str) -> Reply:
        """Return the reply to a command; one that fails by a fault of ours is logged."""
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
        """Keep a new connection; over the limit the oldest is closed for it."""
        if len(self.connections) >= self.max_connections:
            self.close_oldest()
        self.connections[connection] = self.waiting[connection] = None

    def remove(self, connection: AdminConnection) -> None:
        """Forget a connection."""
        self.connections.pop(connection, None)
        self.waiting.pop(connection, None)

    def close_oldest(self) -> bool:
        """Close the oldest connection that has sent no whole line, else the oldest that waits for a reply.

        Whether there was one.
        """
        connection = next(iter(self.waiting or self.connections), None)
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
