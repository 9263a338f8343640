"""A discovery stub that sends each watch the whole list at most once, then only the changed entries."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from random import Random
from typing import Any

from aiohttp import web

HEARTBEAT_S = 2.0


class ChangingCatalog:
    """An endpoint list with its change history; counts the bytes that it sends to watches."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.members = {member["id"]: member for member in members}
        self.revision = 1
        # The revision at which each entry last changed; entries that never changed are missing.
        self.changed_at: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.watches: set[asyncio.Transport] = set()
        self.bytes_sent = 0
        self.calls = 0

    def full_list(self) -> dict[str, Any]:
        """The whole list, in the form of a dispatcher's configuration and of the first line of a watch."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def change(self, endpoint: str, **fields: Any) -> None:
        """Change fields of one entry and notify every watch."""
        self.revision += 1
        self.members[endpoint] = self.members[endpoint] | fields
        self.changed_at[endpoint] = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def after(self, revision: int) -> dict[str, Any]:
        """The entries that changed after a revision; the whole list if the revision is unknown."""
        if not 0 < revision <= self.revision:
            return self.full_list()
        changed = [name for name, at in self.changed_at.items() if at > revision]
        members = [self.members[name] for name in changed]
        return {"revision": self.revision, "complete": False, "members": members}

    def break_watches(self) -> None:
        """Reset the connection of every watch, as the restart of an agent does."""
        for transport in self.watches:
            transport.abort()
        self.watches.clear()

    async def watch(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one watch until its connection closes."""
        self.calls += 1
        response = web.StreamResponse()
        await response.prepare(request)
        sent_revision = int(request.query.get("index", "0"))
        self.watches.add(request.transport)
        with contextlib.suppress(ConnectionError):
            while request.transport is not None:
                changed, line = self.changed, b""
                if sent_revision != self.revision:
                    line = json.dumps(self.after(sent_revision)).encode()
                    sent_revision = self.revision
                await response.write(line + b"\n")
                self.bytes_sent += len(line) + 1
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(HEARTBEAT_S):
                        await changed.wait()
        return response


async def keep_changing(catalog: ChangingCatalog, rng: Random, rate: float) -> None:
    """Alternately drain an endpoint and list a drained one as restarted, `rate` changes per second."""
    started_s = asyncio.get_running_loop().time()
    draining: list[str] = []
    number = 0
    while True:
        number += 1
        await asyncio.sleep(max(0.0, started_s + number / rate - asyncio.get_running_loop().time()))
        if number % 2 or not draining:
            ready = [name for name, member in catalog.members.items() if member["phase"] == "Ready"]
            draining.append(rng.choice(ready))
            catalog.change(draining[-1], phase="Terminating")
        else:
            catalog.change(draining.pop(0), phase="Ready", up_since_ms=int(time.time() * 1000.0))
