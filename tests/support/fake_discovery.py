"""A fake discovery service, and the messages of its endpoint list."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator

from support.fake_server import FakeServer
from support.http_messages import CHUNKED_HEAD, chunk


def member(name: str, address: str, phase: str = "Ready", **more: object) -> dict[str, object]:
    """An entry of the endpoint list."""
    entry = {"id": name, "host_port": address, "locality": "here", "flavor": "box", "cell": 1, "phase": phase}
    return entry | {"size": 1.0, "up_since_ms": 0} | more


def members(*entries: dict[str, object], revision: int = 1, complete: bool = True) -> dict[str, object]:
    """A message of the endpoint list: all entries if `complete`, else the changed ones."""
    return {"revision": revision, "complete": complete, "members": list(entries)}


class FakeDiscovery(FakeServer):
    """A discovery service whose watches stream the messages that a test announces."""

    def __init__(self) -> None:
        super().__init__(lambda message: self._watch())
        self.lines: asyncio.Queue[bytes | None] = asyncio.Queue()

    async def _watch(self) -> AsyncIterator[bytes]:
        """A watch that streams what is put into `lines`, until None ends it."""
        yield CHUNKED_HEAD
        while (line := await self.lines.get()) is not None:
            yield chunk(line)

    def announce(self, message: dict[str, object]) -> None:
        """Have a watch send a message as a line."""
        self.lines.put_nowait(json.dumps(message).encode() + b"\n")
