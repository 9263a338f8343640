"""A listening socket, and taking connections from it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from dunepulley.net import log
from dunepulley.net.counters import Counters

# Without a descriptor the next look may find one.
LACKING_S = 0.02


class Listener:
    """Owns one listening socket and the task that takes connections from it.

    asyncio's own server takes a thousand at one go, and without a descriptor left tries as often and then
    takes none for a second; callbacks would wait as long.
    """

    def __init__(
        self,
        name: str,
        protocol: Callable[[], asyncio.Protocol],
        make_room: Callable[[], bool],
        counters: Counters,
    ) -> None:
        self.name = name
        self.protocol = protocol
        self.make_room = make_room
        self.counters = counters
        self.socket: socket.socket | None = None
        self.task: asyncio.Task | None = None

    def listen(self, host: str, port: int) -> int:
        """Bind an address and take what comes; the port."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.socket = socket.create_server((host, port), family=family, backlog=1024)
        return self.resume()

    def resume(self) -> int:
        """Take connections; the port."""
        self.socket.setblocking(False)
        self.task = asyncio.create_task(self._accept(self.socket))
        return self.socket.getsockname()[1]

    async def _accept(self, listening: socket.socket) -> None:
        """Take connections one by one, what has come over one before the next."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                connection, _ = await loop.sock_accept(listening)
            except OSError as problem:
                self.counters["not accepted"] += 1
                log.say(self.name, f"a connection has to wait: {problem.strerror}")
                self.make_room()
                await asyncio.sleep(LACKING_S)
                continue
            try:
                await loop.connect_accepted_socket(self.protocol, connection)
            except OSError:
                connection.close()

    async def close(self) -> None:
        """Give back the task and the socket."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        if self.socket is not None:
            self.socket.close()
