"""Shares the event loop's time between connections whose received bytes are expensive to decode."""

from __future__ import annotations

import asyncio
from typing import Protocol


class Decoder(Protocol):
    """A connection with received bytes that are not decoded yet."""

    def decode_some(self) -> None:
        """Decode some more; it may add itself to the queue again."""


class DecodingQueue:
    """Lets one waiting connection decode some more in each turn of the event loop, one after the other.

    So what many clients send together holds up no other client for longer than one step.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: dict[Decoder, None] = {}
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, decoder: Decoder) -> None:
        """Add a connection behind all others that wait."""
        self._waiting[decoder] = None
        self._schedule()

    def discard(self, decoder: Decoder) -> None:
        """Remove a connection, which holds its received bytes, if it waits."""
        self._waiting.pop(decoder, None)

    def _schedule(self) -> None:
        if not self._is_scheduled and self._waiting:
            self._is_scheduled = True
            self._loop.call_soon(self._run_next)

    def _run_next(self) -> None:
        self._is_scheduled = False
        if not self._waiting:
            return
        decoder = next(iter(self._waiting))
        del self._waiting[decoder]
        try:
            decoder.decode_some()
        finally:
            self._schedule()
