"""Messages between agents and `ctl`, and among agents: a connection carries one line of JSON each way.

Every message has its protocol version under `v`. Version 2 added the messages of a fleet
(docs/design-failover.md). A peer of another version gets one line that names both versions.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import orjson

from dunepulley.errors import UnavailableError
from dunepulley.json_values import describe
from dunepulley.net.addresses import parse_address

VERSION = 2

MAX_LINE_BYTES = 4 * 1024 * 1024
"""The maximum length of a line; a thousand endpoints at each of twenty dispatchers need about this much."""

_MAX_SHOWN_VERSION = 20


class WireError(UnavailableError):
    """No valid answer was received; the text gives the reason in one line."""


class VersionError(WireError):
    """The peer uses another version of the protocol."""


def encode_line(message: dict[str, Any]) -> bytes:
    """Return a message as a line of JSON."""
    return orjson.dumps({"v": VERSION} | message) + b"\n"


def decode_line(line: bytes, peer: str) -> dict[str, Any]:
    """Return the message in a line from `peer`, whose name is used in error texts. Raises `WireError`."""
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise WireError(f"{peer} sent no JSON") from error
    if not isinstance(message, dict) or "v" not in message:
        raise WireError(f"{peer} speaks another wire")
    if message["v"] != VERSION:
        version = message["v"] if isinstance(message["v"], str) else describe(message["v"])
        raise VersionError(
            f"{peer} speaks version {version[:_MAX_SHOWN_VERSION]} of the wire, this is version {VERSION}"
        )
    return message


async def ask(address: str, message: dict[str, Any], timeout_s: float) -> dict[str, Any]:
    """Send a message to the agent at `host:port` and return its answer.

    Raises `WireError` if no valid answer arrives within `timeout_s` seconds.
    """
    agent = f"the agent at {address}"
    try:
        async with asyncio.timeout(timeout_s):
            line = await _exchange(address, encode_line(message))
    except TimeoutError as error:
        raise WireError(f"{agent} did not answer within {timeout_s:g} s") from error
    except asyncio.LimitOverrunError as error:
        raise WireError(f"{agent} sent a line that is too long") from error
    except asyncio.IncompleteReadError as error:
        raise WireError(f"{agent} closed the connection before the end of its answer") from error
    except OSError as error:
        raise WireError(f"no agent at {address}: {error.strerror or error}") from error
    return decode_line(line, agent)


async def _exchange(address: str, request: bytes) -> bytes:
    """Send one line and return the line that is received."""
    reader, writer = await asyncio.open_connection(*parse_address(address), limit=MAX_LINE_BYTES)
    try:
        writer.write(request)
        return await reader.readuntil(b"\n")
    finally:
        with contextlib.suppress(OSError):
            writer.close()
