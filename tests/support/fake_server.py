"""A scripted HTTP server on loopback: a fake endpoint, agent or discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from support.http_messages import HttpMessage, read_message

# What a script may return instead of bytes: reset the connection, close it, or send nothing until it ends.
ABORT, CLOSE, SILENT = object(), object(), object()


class FakeServer:
    """An HTTP server whose script maps each request to a reply.

    A script returns the bytes of a response, an asynchronous iterator over parts of a response, after which
    the connection is closed, or `ABORT`, `CLOSE` or `SILENT`. `seen` holds all received requests in order;
    `connections` and `closed` count opened and closed connections.
    """

    def __init__(self, script: Callable[[HttpMessage], Any]) -> None:
        self.script = script
        self.seen: list[HttpMessage] = []
        self.connections = self.closed = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> FakeServer:
        self.server = await asyncio.start_server(self._serve_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self.writers.add(writer)
        try:
            is_open = True
            while is_open:
                message = await read_message(reader, number)
                self.seen.append(message)
                is_open = await self._respond(self.script(message), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.closed += 1
            self.writers.discard(writer)
            writer.close()

    async def _respond(self, reply: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Act on the script's return value; returns whether the connection stays open for another request."""
        if hasattr(reply, "__aiter__"):
            async for part in reply:
                writer.write(part)
            return False
        if reply is ABORT:
            writer.transport.abort()
        if reply is SILENT:
            await reader.read()
        if reply in (ABORT, CLOSE, SILENT):
            return False
        writer.write(reply)
        return True
