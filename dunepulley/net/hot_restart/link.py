"""The connection between parent and child: messages, and the answers to some of them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from functools import partial
from typing import Any

import orjson

from dunepulley.net.hot_restart.messages import (
    MAX_MESSAGE_BYTES,
    Answered,
    CallbackForwarded,
    DrainsForwarded,
    Received,
    Sent,
    parse,
)

# How long a forwarded message waits for an answer. After that the endpoint, or the agent, retries.
ANSWER_TIMEOUT_S = 1.0
SERVICE_UNAVAILABLE = 503
DRAINS_APPLIED = 200


class Link:
    """Sends messages to, and receives them from, the parent or the child of this process."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.closed = False
        self._unanswered: dict[int, asyncio.Future[int | None]] = {}
        self._last_number = 0

    @classmethod
    async def over(cls, connection: socket.socket) -> Link:
        """Return a link over a connected socket, of which it takes ownership."""
        return cls(*await asyncio.open_connection(sock=connection, limit=MAX_MESSAGE_BYTES))

    def send(self, message: Sent) -> None:
        """Write one message; it is lost if the other process ends before it has read it."""
        self.send_json(message.to_json())

    def send_json(self, message: dict[str, Any]) -> None:
        """Write one message that is already in its JSON form."""
        self.writer.write(orjson.dumps(message) + b"\n")

    async def receive(self) -> Received | None:
        """Return the next message that is not an answer; None if the link was closed or carries no JSON."""
        with contextlib.suppress(OSError, ValueError):
            while line := await self.reader.readline():
                document = orjson.loads(line)
                if not isinstance(document, dict):
                    break
                message = parse(document)
                if not isinstance(message, Answered):
                    return message
                self._resolve(message)
        return None

    def _resolve(self, message: Answered) -> None:
        answer = self._unanswered.get(message.number)
        if answer is not None and not answer.done():
            answer.set_result(message.status)

    async def forward_callback(self, body: bytes) -> int | None:
        """Forward a callback to the other process and return the HTTP status of its answer.

        None if the request is open neither there nor in a process linked to it; 503 if there is no answer
        within `ANSWER_TIMEOUT_S`.
        """
        try:
            return await self._ask(partial(CallbackForwarded, body.decode()))
        except TimeoutError:
            return SERVICE_UNAVAILABLE

    async def forward_drains(self, drains: dict[str, Any]) -> bool:
        """Have the other process apply drains in their JSON form.

        Returns whether it has confirmed that within `ANSWER_TIMEOUT_S`, or has ended.
        """
        with contextlib.suppress(TimeoutError):
            return await self._ask(partial(DrainsForwarded, drains)) == DRAINS_APPLIED or self.closed
        return False

    async def _ask(self, message_of: Callable[[int], Sent]) -> int | None:
        """Send a message with a number; return the status of its answer, None if the link is closed.

        Raises TimeoutError.
        """
        if self.closed:
            return None
        self._last_number += 1
        number = self._last_number
        answer = self._unanswered[number] = asyncio.get_running_loop().create_future()
        try:
            self.send(message_of(number))
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await answer
        finally:
            del self._unanswered[number]

    def close(self) -> None:
        """Close the connection; messages that wait for an answer get None."""
        self.closed = True
        self.writer.close()
        for answer in self._unanswered.values():
            if not answer.done():
                answer.set_result(None)
