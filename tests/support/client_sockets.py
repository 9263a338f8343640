"""Client sockets: an asynchronous one that reports how requests end, and one with blocking calls."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass

# Status of a request without a complete response: not read by the server, or of unknown outcome.
NOT_READ, LOST = "not read", "lost"
# How long to wait for a TCP reset, which may be delayed on a busy machine.
RESET_TIMEOUT_S = 0.3


@dataclass
class Outcome:
    """How a request ended: response status, `NOT_READ` or `LOST`, and whether the connection persists."""

    status: str
    keep_alive: bool = False
    body: bytes = b""


class ClientSocket:
    """A client connection over a raw socket, so that no transport consumes the socket's errors."""

    def __init__(self, port: int, receive_buffer: int = 0) -> None:
        self.port = port
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.setblocking(False)
        self.loop = asyncio.get_running_loop()
        self.broken = False  # whether a send failed because the connection had ended
        self.left = b""  # bytes received after the last response

    async def __aenter__(self) -> ClientSocket:
        try:
            await self.loop.sock_connect(self.socket, ("127.0.0.1", self.port))
        except OSError:
            self.socket.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        self.socket.close()

    async def send(self, raw: bytes) -> bool:
        """Send bytes; returns False if the connection has ended."""
        try:
            await self.loop.sock_sendall(self.socket, raw)
        except OSError:
            self.broken = True
        return not self.broken

    async def read_outcome(self) -> Outcome:
        """Wait for the response or for the end of the connection.

        Linux resets a connection that is closed with unread bytes or that receives bytes after the close, so
        a reset means that the request was not read. If the connection ends without a reset, the server has
        read all bytes.
        """
        response, self.left = self.left, b""
        while True:
            head, end, body = response.partition(b"\r\n\r\n")
            length = length_of(head)
            if end and len(body) >= length:
                keep_alive = b"connection: close" not in head.lower()
                self.left = body[length:]
                return Outcome(head.split(b" ")[1].decode(), keep_alive, body[:length])
            try:
                received = await self.loop.sock_recv(self.socket, 65536)
            except OSError:
                return Outcome(LOST if response else NOT_READ)
            if not received:
                return Outcome(LOST if response or not await self._reset() else NOT_READ)
            response += received

    async def _reset(self) -> bool:
        """Whether the peer resets the connection, now or within `RESET_TIMEOUT_S`."""
        deadline_s = self.loop.time() + RESET_TIMEOUT_S
        while not self.broken and self.loop.time() < deadline_s:
            self.broken = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
            await asyncio.sleep(0.002)
        return self.broken


def length_of(head: bytes) -> int:
    """The Content-Length in a response's head, 0 if there is none."""
    for line in head.lower().split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == b"content-length":
            return int(value)
    return 0


class RawClient:
    """A client with blocking calls, which also work while the event loop is blocked."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port))

    def send(self, raw: bytes) -> None:
        """Write bytes."""
        self.socket.sendall(raw)

    def close(self) -> None:
        """Close the connection with FIN."""
        self.socket.close()

    def half_close(self) -> None:
        """Close the sending side only."""
        self.socket.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Reset the connection (RST)."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()
