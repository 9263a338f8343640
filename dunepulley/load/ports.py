"""Ports on loopback for processes that are started later.

A port that the kernel chose belongs to nobody once its socket is closed: the kernel may give it to the next
listener or connection, before the process that it was meant for listens there. The ports of this module lie
below the range from which the kernel chooses. Each process reserves blocks of them: it holds the first port
of a block, which no other process can then bind.
"""

from __future__ import annotations

import itertools
import socket
from collections.abc import Iterator

HOST = "127.0.0.1"
FIRST_PORT = 10_000
# The kernel chooses from 32768 (Linux) or 49152 (most others).
END_PORT = 30_000
BLOCK_PORTS = 500


class PortBlocks:
    """The blocks of ports that one process has reserved; they stay reserved until `close`."""

    def __init__(self) -> None:
        self._reservations: list[socket.socket] = []
        self._ports: list[int] = []
        self._next = 0

    def take(self, count: int) -> list[int]:
        """Return different ports on which no process listens; raises OSError if no block is left.

        A port is returned again only after all others of the blocks.
        """
        while len(ports := list(itertools.islice(self._free_ports(), count))) < count:
            self._reserve_block()
        return ports

    def close(self) -> None:
        """Give all blocks back."""
        for reservation in self._reservations:
            reservation.close()
        self._reservations.clear()
        self._ports.clear()

    def _free_ports(self) -> Iterator[int]:
        """Yield each free port of the blocks once, beginning behind the one that was yielded last."""
        for _ in range(len(self._ports)):
            port = self._ports[self._next % len(self._ports)]
            self._next += 1
            if _is_free(port):
                yield port

    def _reserve_block(self) -> None:
        for first in range(FIRST_PORT, END_PORT, BLOCK_PORTS):
            reservation = _bind_exclusively(first)
            if reservation is not None:
                self._reservations.append(reservation)
                self._ports += range(first + 1, first + BLOCK_PORTS)
                return
        raise OSError(f"other processes have reserved all ports from {FIRST_PORT} to {END_PORT - 1}")


def _bind_exclusively(port: int) -> socket.socket | None:
    """Return a socket that holds a port, or None if another process has it."""
    reservation = socket.socket()
    try:
        reservation.bind((HOST, port))
    except OSError:
        reservation.close()
        return None
    return reservation


def _is_free(port: int) -> bool:
    """Whether a process could listen at a port now, for TCP and for UDP."""
    with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
        # As servers do: a port is free although closed connections of its last server are remembered.
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            stream.bind((HOST, port))
            datagrams.bind((HOST, port))
        except OSError:
            return False
    return True


_blocks = PortBlocks()


def free_ports(count: int) -> list[int]:
    """Return ports for processes that are started later; the kernel gives them to no other socket."""
    return _blocks.take(count)


def free_port() -> int:
    """Return a port for a process that is started later, or one at which nobody listens."""
    return free_ports(1)[0]
