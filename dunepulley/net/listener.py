"""A listening socket, and accepting connections from it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from dunepulley.net import log
from dunepulley.net.counters import Counters
from dunepulley.net.log_events import LogEvent
from dunepulley.net.system_errors import OUT_OF_DESCRIPTORS, PENDING_SOCKET_ERRORS

# Without a descriptor the next attempt may find one.
RETRY_S = 0.02
# After an error of a connection the next one in the queue is accepted at once; after so many in a row, with a
# pause between them, as nothing says that any of them has left the queue.
MAX_IMMEDIATE_RETRIES = 8
BACKLOG = 1024


class Listener:
    """Owns one listening socket, and accepts connections from it while it is told to.

    asyncio's own server accepts a thousand at one go, and without a descriptor left tries as often and then
    accepts none for a second; callbacks would wait as long. And a task that accepts may be stopped with a
    connection in its hands, which would then be lost: here to stop is to look no more.
    """

    def __init__(
        self,
        event: LogEvent,
        protocol: Callable[[float], asyncio.Protocol],
        free_descriptor: Callable[[], bool],
        counters: Counters,
    ) -> None:
        """`event` is that of its log lines; `protocol` makes that of a connection from `queued_since_s`.

        `free_descriptor` closes another connection.
        """
        self.event = event
        self.protocol = protocol
        self.free_descriptor = free_descriptor
        self.counters = counters
        self.socket: socket.socket | None = None
        self.accepting = False
        # Since when connections may have waited unseen, by the event loop's clock in s; 0 if none has.
        self.queued_since_s = 0.0
        self._failed_in_a_row = 0
        self._connecting: set[asyncio.Task] = set()

    def bind(self, host: str, port: int) -> int:
        """Listen at an address, from which nothing is accepted yet; return the port. Raises OSError."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.queued_since_s = asyncio.get_running_loop().time()
        return self.adopt(socket.create_server((host, port), family=family, backlog=BACKLOG))

    def adopt(self, listening: socket.socket) -> int:
        """Own a socket that listens already; return its port."""
        listening.setblocking(False)
        self.socket = listening
        return listening.getsockname()[1]

    def start_accepting(self) -> None:
        """Accept connections, one in each turn of the event loop.

        So what came over one is read before the next is accepted.
        """
        self.accepting = True
        if self.queued_since_s:
            asyncio.get_running_loop().call_soon(self._accept)
        else:
            self._watch()

    def stop_accepting(self) -> None:
        """Accept none; what comes waits in the kernel's queue."""
        self.accepting = False
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)

    def _watch(self) -> None:
        """Have the event loop call when a connection waits."""
        if not self.accepting:
            return
        loop = asyncio.get_running_loop()
        try:
            loop.add_reader(self.socket, self._accept)
        except OSError:
            loop.call_later(RETRY_S, self._watch)  # no memory for it in the kernel

    def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        if not self.accepting:
            return
        try:
            connection, _ = self.socket.accept()
        except BlockingIOError:
            if self.queued_since_s:
                self.queued_since_s = 0.0
                self._watch()
            return  # it has gone again, or the other process that shares this socket has it
        except OSError as error:
            self._accept_failed(error)
            return
        self._failed_in_a_row = 0
        connection.setblocking(False)
        if self.queued_since_s:
            # Until the queue is empty: what comes then has not waited.
            loop.remove_reader(self.socket)
            loop.call_soon(self._accept)
        task = loop.create_task(self._connect(connection, self.queued_since_s))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def _accept_failed(self, error: OSError) -> None:
        """Go on after an accept that failed: at once where it took a connection, else after a pause."""
        loop = asyncio.get_running_loop()
        self.counters["not accepted"] += 1
        self._failed_in_a_row += 1
        log.write(self.event, f"a connection was not accepted: {error.strerror}")
        if error.errno in OUT_OF_DESCRIPTORS:
            # What has come over the others is read first: one that seems silent may not be.
            loop.call_soon(self.free_descriptor)
        if error.errno not in PENDING_SOCKET_ERRORS or self._failed_in_a_row > MAX_IMMEDIATE_RETRIES:
            self.queued_since_s = self.queued_since_s or loop.time()
            loop.remove_reader(self.socket)
            loop.call_later(RETRY_S, self._watch)
        elif self.queued_since_s:
            loop.call_soon(self._accept)

    async def _connect(self, connection: socket.socket, queued_since_s: float) -> None:
        """Give a connection its protocol."""
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: self.protocol(queued_since_s), connection)
        except OSError:
            connection.close()

    async def wait_connected(self) -> None:
        """Wait until every connection that was accepted has its protocol."""
        if self._connecting:
            await asyncio.wait(self._connecting)

    def close(self) -> None:
        """Close the socket; another process that shares it goes on."""
        self.stop_accepting()
        if self.socket is not None:
            self.socket.close()
            self.socket = None
