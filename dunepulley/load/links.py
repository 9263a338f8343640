"""TCP proxies between processes on loopback that can be cut (also in one direction), delayed, lossy or reset.

A `Link` listens at its own address and forwards bytes to a target and back. A user-space program cannot
prevent a TCP connection from being established: a connection made while the link is cut is accepted and
stays silent, as do the open ones. Data sent meanwhile arrives once the link is restored, as with TCP
retransmission.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

# The additional delay of data that counts as lost, about that of a TCP retransmission.
RETRANSMIT_MS = 200.0
CHUNK_BYTES = 65536
FORWARD, BACKWARD = "there", "back"


class Direction:
    """The state of one direction of a link: cut or connected, its delay, and the ratio of lost chunks."""

    def __init__(self) -> None:
        self.connected = asyncio.Event()
        self.connected.set()
        self.delay_ms = 0.0
        self.loss_ratio = 0.0


class Link:
    """A link to a target address, used as an async context manager; `log` is called with each change."""

    def __init__(self, target: str, seed: int = 0, log: Callable[[str], None] = lambda text: None) -> None:
        self.target = target
        self.directions = {FORWARD: Direction(), BACKWARD: Direction()}
        self.refusing = False
        self.rng = random.Random(seed)
        self.log = log
        self.tasks: set[asyncio.Task] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def __aenter__(self) -> Link:
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        self.reset()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def cut(self, *directions: str) -> None:
        """Stop forwarding in these directions, by default in both."""
        for direction in directions or (FORWARD, BACKWARD):
            self.directions[direction].connected.clear()
        self.log(f"cut {' '.join(directions) or 'both ways'}")

    def mend(self) -> None:
        """Restore the link: forward in both directions, without delay or loss."""
        self.refusing = False
        for direction in self.directions.values():
            direction.connected.set()
            direction.delay_ms = direction.loss_ratio = 0.0
        self.log("whole")

    def slow(self, delay_ms: float, loss_ratio: float = 0.0) -> None:
        """Delay all data by `delay_ms`, and the fraction `loss_ratio` also by `RETRANSMIT_MS`."""
        for direction in self.directions.values():
            direction.delay_ms, direction.loss_ratio = delay_ms, loss_ratio
        self.log(f"late by {delay_ms:g} ms, lossy {loss_ratio:g}")

    def refuse(self) -> None:
        """Reset every connection, and each new one immediately."""
        self.refusing = True
        self.reset()

    def reset(self) -> None:
        """Reset every connection."""
        for writer in list(self.writers):
            writer.transport.abort()
        self.log("reset")

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        remote_writer: asyncio.StreamWriter | None = None
        try:
            if self.refusing:
                writer.transport.abort()
                return
            # Do not connect to the target while the forward direction is cut.
            await self.directions[FORWARD].connected.wait()
            host, _, port = self.target.rpartition(":")
            remote_reader, remote_writer = await asyncio.open_connection(host, int(port))
            self.writers.add(remote_writer)
            forward = asyncio.create_task(self._forward(reader, remote_writer, self.directions[FORWARD]))
            backward = asyncio.create_task(self._forward(remote_reader, writer, self.directions[BACKWARD]))
            await asyncio.wait([forward, backward], return_when=asyncio.ALL_COMPLETED)
        except OSError:
            writer.transport.abort()
        finally:
            for open_writer in (writer, remote_writer):
                if open_writer is not None:
                    self.writers.discard(open_writer)
                    open_writer.close()
            self.tasks.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                chunk_delay_ms = direction.delay_ms + (
                    RETRANSMIT_MS if self.rng.random() < direction.loss_ratio else 0.0
                )
                if chunk_delay_ms:
                    await asyncio.sleep(chunk_delay_ms / 1000.0)
                await direction.connected.wait()
                writer.write(chunk)
                await writer.drain()
            await direction.connected.wait()
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()
        except OSError:
            writer.transport.abort()
