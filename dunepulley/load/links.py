"""Links between processes on loopback that can be cut, also one way, slowed, made lossy, or reset.

A `Link` listens at an address of its own and carries bytes to a target and back. A user's program cannot
keep a connection from coming up: one that is made while a link is cut comes up and stays silent, as does
every open one; what was sent meanwhile arrives when the link is whole again, as TCP would send it once more.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

# A lost segment is sent again after about so long.
AGAIN_MS = 200.0
MOST = 65536
THERE, BACK = "there", "back"


class Way:
    """One direction: whether it is cut, how late it is, and which part of what is carried is sent twice."""

    def __init__(self) -> None:
        self.whole = asyncio.Event()
        self.whole.set()
        self.late_ms = 0.0
        self.lossy = 0.0


class Link:
    """One link; whoever starts it closes it."""

    def __init__(self, target: str, seed: int = 0, log: Callable[[str], None] = lambda text: None) -> None:
        self.target = target
        self.ways = {THERE: Way(), BACK: Way()}
        self.refusing = False
        self.chance = random.Random(seed)
        self.log = log
        self.tasks: set[asyncio.Task] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def __aenter__(self) -> Link:
        self.server = await asyncio.start_server(self._came, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        self.reset()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def cut(self, *ways: str) -> None:
        """Carry nothing any more, in these directions or in both."""
        for way in ways or (THERE, BACK):
            self.ways[way].whole.clear()
        self.log(f"cut {' '.join(ways) or 'both ways'}")

    def mend(self) -> None:
        """Be whole, at once and without loss."""
        self.refusing = False
        for way in self.ways.values():
            way.whole.set()
            way.late_ms = way.lossy = 0.0
        self.log("whole")

    def slow(self, late_ms: float, lossy: float = 0.0) -> None:
        """Carry all so much later, and this part of it later still, as what is lost is sent again."""
        for way in self.ways.values():
            way.late_ms, way.lossy = late_ms, lossy
        self.log(f"late by {late_ms:g} ms, lossy {lossy:g}")

    def refuse(self) -> None:
        """Break every connection, and each new one at once."""
        self.refusing = True
        self.reset()

    def reset(self) -> None:
        """Break every connection."""
        for writer in list(self.writers):
            writer.transport.abort()
        self.log("reset")

    async def _came(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        other: asyncio.StreamWriter | None = None
        try:
            if self.refusing:
                writer.transport.abort()
                return
            # Who comes while the way there is cut does not reach the target.
            await self.ways[THERE].whole.wait()
            host, _, port = self.target.rpartition(":")
            far, other = await asyncio.open_connection(host, int(port))
            self.writers.add(other)
            there = asyncio.create_task(self._carry(reader, other, self.ways[THERE]))
            back = asyncio.create_task(self._carry(far, writer, self.ways[BACK]))
            await asyncio.wait([there, back], return_when=asyncio.ALL_COMPLETED)
        except OSError:
            writer.transport.abort()
        finally:
            for one in (writer, other):
                if one is not None:
                    self.writers.discard(one)
                    one.close()
            self.tasks.discard(task)

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way) -> None:
        try:
            while chunk := await reader.read(MOST):
                late = way.late_ms + (AGAIN_MS if self.chance.random() < way.lossy else 0.0)
                if late:
                    await asyncio.sleep(late / 1000.0)
                await way.whole.wait()
                writer.write(chunk)
                await writer.drain()
            await way.whole.wait()
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()
        except OSError:
            writer.transport.abort()
