"""The agent's listening socket: each connection carries one command, which its handler answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from dunepulley.agent import wire
from dunepulley.agent.acceptor_store import AcceptorStoreError
from dunepulley.agent.command_request import RequestError
from dunepulley.agent.config import AgentConfigError
from dunepulley.agent.drain_file import DrainFileError
from dunepulley.agent.results import ResultState
from dunepulley.control.drains import DrainRefusedError
from dunepulley.json_values import describe
from dunepulley.net import log
from dunepulley.net.log_events import LogEvent

Handler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]

_CLIENT_TIMEOUT_S = 2.0  # to send a command, and to read the reply
_MAX_CONNECTIONS = 32
_MAX_SHOWN_COMMAND = 40
_FLEET_COMMANDS = ("zones", "zone", "meet", "prepare", "accept")
# Errors whose text is sent as the reply; any other error is a bug. Malformed messages raise ValueError.
_REFUSALS = (
    wire.WireError,
    RequestError,
    DrainRefusedError,
    DrainFileError,
    AcceptorStoreError,
    ValueError,
)


class CommandServer:
    """Accepts connections and calls `handlers`, which take a command's message and return the reply.

    `reply_header` returns the first fields of every reply.
    """

    def __init__(self, handlers: Mapping[str, Handler], reply_header: Callable[[], dict[str, Any]]) -> None:
        """Create a server; `start` makes it listen."""
        self.port = 0
        self._handlers = handlers
        self._reply_header = reply_header
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[Any]] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen, and set `port` to the port that is used. Raises `AgentConfigError`."""
        try:
            self._server = await asyncio.start_server(
                self._serve_client, host, port, limit=wire.MAX_LINE_BYTES
            )
        except OSError as error:
            raise AgentConfigError(f"cannot listen on {host}:{port}: {error.strerror}") from error
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Accept no more connections; open ones stay open."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stop listening and end all connections."""
        self.stop_listening()
        connections = list(self._connections)
        for task in connections:
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)

    async def _serve_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None, "asyncio runs each client callback in a task"
        self._connections.add(task)
        try:
            if len(self._connections) > _MAX_CONNECTIONS:
                writer.write(self._encode({"refused": "too many connections"}))
                return
            async with asyncio.timeout(_CLIENT_TIMEOUT_S):
                line = await reader.readuntil(b"\n")
            writer.write(self._encode(await self._reply_to(line)))
            async with asyncio.timeout(_CLIENT_TIMEOUT_S):
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError, OSError):
            pass  # the client has disconnected, sent no complete command, or does not read the reply
        finally:
            self._connections.discard(task)
            writer.close()

    def _encode(self, reply: dict[str, Any]) -> bytes:
        return wire.encode_line(self._reply_header() | reply)

    async def _reply_to(self, line: bytes) -> dict[str, Any]:
        """Execute a command and return the reply with `ok` and, if it was refused, the reason."""
        try:
            message = wire.decode_line(line, "the tool")
            reply = await self._handler_of(message.get("do"))(message)
            states = [result["state"] for result in reply.get("dispatchers", [])]
            reply.setdefault("ok", all([state == ResultState.DONE for state in states]))
            return reply
        except _REFUSALS as error:
            return _refusal(str(error).replace("\n", " "))
        except Exception as error:
            log.write(LogEvent.FAULT, f"{error!r}")
            return _refusal("internal error of the agent, see its log")

    def _handler_of(self, command: object) -> Handler:
        """Return the handler of a command. Raises `RequestError` if there is none."""
        handler = self._handlers.get(command) if isinstance(command, str) else None
        if handler is not None:
            return handler
        if command in _FLEET_COMMANDS:
            raise RequestError("this agent is of no fleet")
        name = command if isinstance(command, str) else describe(command)
        raise RequestError(f"there is no {name[:_MAX_SHOWN_COMMAND]!r} to do")


def _refusal(reason: str) -> dict[str, Any]:
    return {"ok": False, "refused": reason}
