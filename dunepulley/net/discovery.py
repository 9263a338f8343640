"""Keeps up with the list of workers: a watch that is opened anew whenever it ends or falls silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import aiohttp
import orjson

from dunepulley.net import log
from dunepulley.net.config import Listed, listed
from dunepulley.net.counters import Counters

# An empty line comes every 2 s: after 3 s without any the watch is dead or discovery is down, and opening a
# new one costs nothing. News counts as told 6 s late at the latest, so there is no waiting for a second one.
SILENCE_S = 3.0
# Asking costs what all dispatchers share: one that is refused, or cut before a whole line, waits twice
# as long before it asks again, up to this. News counts as told 6 s late at the latest, so no longer.
FIRST_S, LONGEST_S = 0.1, 6.0
# Discovery is one service for all. A call may wait in turn there and fail after 2 s, and what is done for it
# by then is lost: when many call at once, none of them is answered. So among more than a handful each calls
# again at a time of chance within a span that leaves each this much, twice as long when it was refused. The
# first call of all goes out at once: what discovery has to tell counts as told, heard or not.
APART_S, HANDFUL = 0.1, 8
# A list of thousands of workers is one line; beyond this it is no list.
LINE_LIMIT = 64 * 1024 * 1024


class RefusedError(Exception):
    """Discovery turns a call away; what it said before still stands."""


class Discovery:
    """Owns the watch and its connection."""

    def __init__(
        self,
        address: str,
        revision: int,
        put: Callable[[Any], None],
        counters: Counters,
        chance: Random,
        dispatchers: float = 1.0,
    ) -> None:
        self.chance = chance
        self.span = APART_S * max(0.0, dispatchers - HANDFUL)
        self.address = address
        self.revision = revision
        self.put = put
        self.counters = counters
        self.tell: Callable[[str], None] = lambda text: None
        self.heard = False  # whether the present watch has brought a whole line

    async def run(self) -> None:
        """Watch for ever."""
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=SILENCE_S, sock_read=SILENCE_S)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout, cookie_jar=aiohttp.DummyCookieJar(), trust_env=False
        ) as session:
            pause = FIRST_S
            while True:
                self.heard = False
                self.counters["discovery calls"] += 1
                self.tell(f"list-call {self.revision}")
                try:
                    await self._watch(session)
                    log.say("discovery", "the watch ended")
                except (aiohttp.ClientError, OSError) as problem:
                    log.say("discovery", f"the watch broke: {type(problem).__name__} {problem}")
                except RefusedError as problem:
                    # The list in hand still stands, and to have it whole would cost discovery the most.
                    self.counters["discovery refusals"] += 1
                    self.tell("list-refused")
                    log.say("discovery", str(problem))
                except ValueError as problem:
                    # What it said is lost: have the whole list next.
                    self.revision = 0
                    log.say("discovery", f"what came is no list: {problem}")
                self.counters["discovery watches ended"] += 1
                # A watch that brought something begins anew, others wait twice as long each time.
                # A time of chance: what broke the watches of all must not have them ask in step.
                pause = FIRST_S if self.heard else min(LONGEST_S, pause * 2.0)
                span = self.span if self.heard else self.span * 2.0
                await asyncio.sleep(pause * (0.5 + self.chance.random()) + span * self.chance.random())

    async def _watch(self, session: aiohttp.ClientSession) -> None:
        """One watch from its call to its end."""
        url = f"http://{self.address}/catalog/members?stream=1&index={self.revision}"
        async with session.get(url) as answer:
            if answer.status == 429 or answer.status >= 500:
                raise RefusedError(f"discovery answered {answer.status}")
            if answer.status != 200:
                raise ValueError(f"discovery answered {answer.status}")
            rest = b""
            async for chunk in answer.content.iter_any():
                *lines, rest = (rest + chunk).split(b"\n")
                if len(rest) > LINE_LIMIT:
                    raise ValueError("a line without end")
                for line in lines:
                    if line.strip():
                        self._take(listed(orjson.loads(line)))
                    self.heard = True
        # What is left of a line that was cut is no news.

    def _take(self, news: Listed) -> None:
        self.revision = news.revision
        self.counters["lists"] += 1
        self.put(news)
