"""A listening socket that accepts connections one at a time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from dunepulley.net import log
from dunepulley.net.counters import Counters
from dunepulley.net.log_events import LogEvent
from dunepulley.net.system_errors import OUT_OF_DESCRIPTORS, PENDING_SOCKET_ERRORS

# Delay after a failed accept, for example until a descriptor is available.
RETRY_DELAY_S = 0.02
# After an error of one connection the next in the queue is accepted at once. After this many errors in a row
# there is a delay between them, because it is unclear whether the failed connections have left the queue.
MAX_IMMEDIATE_RETRIES = 8
BACKLOG = 1024


class Listener:
    """Owns one listening socket, and accepts connections while it is started.

    asyncio's own server is not used for two reasons. It accepts up to a thousand connections per iteration of
    the event loop; if no descriptor is left, it tries as often and then accepts none for a second, which
    delays callbacks. And cancelling a task that accepts may lose a connection that it has just accepted;
    here, stopping only unregisters the socket from the event loop.
    """

    def __init__(
        self,
        event: LogEvent,
        protocol: Callable[[float], asyncio.Protocol],
        free_descriptor: Callable[[], bool],
        counters: Counters,
    ) -> None:
        """Initialise the listener.

        Args:
            event: the event of its log lines.
            protocol: creates the protocol of a connection; its argument is the value of `queued_since_s`.
            free_descriptor: closes another connection if no descriptor is left.
            counters: counts failed accepts.
        """
        self.event = event
        self.protocol = protocol
        self.free_descriptor = free_descriptor
        self.counters = counters
        self.socket: socket.socket | None = None
        self.accepting = False
        # Since when connections may have waited in the kernel's queue, by the event loop's clock; 0 if none.
        self.queued_since_s = 0.0
        self._failed_in_a_row = 0
        self._connecting: set[asyncio.Task] = set()

    def bind(self, host: str, port: int) -> int:
        """Listen at an address without accepting connections yet; return the port. Raises OSError."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.queued_since_s = asyncio.get_running_loop().time()
        return self.adopt(socket.create_server((host, port), family=family, backlog=BACKLOG))

    def adopt(self, listening: socket.socket) -> int:
        """Take ownership of a socket that is already listening; return its port."""
        listening.setblocking(False)
        self.socket = listening
        return listening.getsockname()[1]

    def start_accepting(self) -> None:
        """Start accepting connections, one per iteration of the event loop.

        So the data of one connection is read before the next is accepted.
        """
        self.accepting = True
        if self.queued_since_s:
            asyncio.get_running_loop().call_soon(self._accept)
        else:
            self._watch()

    def stop_accepting(self) -> None:
        """Stop accepting connections; new ones wait in the kernel's queue."""
        self.accepting = False
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)

    def _watch(self) -> None:
        """Register `_accept` with the event loop, to be called when a connection is waiting."""
        if not self.accepting:
            return
        loop = asyncio.get_running_loop()
        try:
            loop.add_reader(self.socket, self._accept)
        except OSError:
            loop.call_later(RETRY_DELAY_S, self._watch)  # the kernel has no memory for the registration

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
            return  # the connection was closed, or the other process that shares this socket accepted it
        except OSError as error:
            self._accept_failed(error)
            return
        self._failed_in_a_row = 0
        if self.queued_since_s:
            # Accept until the queue is empty; connections that arrive after that have not waited.
            loop.remove_reader(self.socket)
            loop.call_soon(self._accept)
        self._start_connecting(connection)

    def _start_connecting(self, connection: socket.socket) -> None:
        """Connect an accepted socket to its protocol in a task."""
        connection.setblocking(False)
        task = asyncio.get_running_loop().create_task(self._connect(connection, self.queued_since_s))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def _accept_failed(self, error: OSError) -> None:
        """Retry a failed accept: at once if it removed a connection from the queue, else after a delay."""
        loop = asyncio.get_running_loop()
        self.counters["not accepted"] += 1
        self._failed_in_a_row += 1
        log.write(self.event, f"a connection was not accepted: {error.strerror}")
        if error.errno in OUT_OF_DESCRIPTORS:
            # Deferred, so that the data of all connections is read first: one that seems idle may not be.
            loop.call_soon(self.free_descriptor)
        if error.errno not in PENDING_SOCKET_ERRORS or self._failed_in_a_row > MAX_IMMEDIATE_RETRIES:
            self.queued_since_s = self.queued_since_s or loop.time()
            loop.remove_reader(self.socket)
            loop.call_later(RETRY_DELAY_S, self._watch)
        elif self.queued_since_s:
            loop.call_soon(self._accept)

    async def _connect(self, connection: socket.socket, queued_since_s: float) -> None:
        """Connect an accepted socket to its protocol."""
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: self.protocol(queued_since_s), connection)
        except OSError:
            connection.close()

    async def wait_connected(self) -> None:
        """Wait until every accepted connection has its protocol."""
        if self._connecting:
            await asyncio.wait(self._connecting)

    def accept_waiting(self) -> None:
        """Accept all connections in the kernel's queue, which are reset otherwise when the socket closes."""
        if not self.accepting or self.socket is None:
            return
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.socket.accept()
                self._start_connecting(connection)

    def close(self) -> None:
        """Close the socket; another process that shares it is not affected."""
        self.stop_accepting()
        if self.socket is not None:
            self.socket.close()
            self.socket = None
