"""Calls to the admin interface of a dispatcher: a connection carries one line each way."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

from dunepulley.errors import UnavailableError
from dunepulley.net.addresses import parse_address

MAX_REPLY_BYTES = 4 * 1024 * 1024
"""A longer reply is an error; a thousand endpoints in detail take well under half of this."""

_CHUNK_BYTES = 65536
_STATUS_OK, _STATUS_ERROR = "200", "400"


class NoAnswerError(UnavailableError):
    """A dispatcher did not answer, or its answer is malformed; the text gives the reason."""


class AdminReply(NamedTuple):
    """Whether a call succeeded, and the text of the reply without its status and last newline."""

    ok: bool
    text: str


async def call(address: str, line: str, timeout_s: float) -> AdminReply:
    """Send one line to the admin interface at `host:port` and return the reply.

    Raises `NoAnswerError` if no valid reply arrives within `timeout_s` seconds.
    """
    try:
        async with asyncio.timeout(timeout_s):
            raw = await _exchange(address, line.encode() + b"\n")
    except TimeoutError as error:
        raise NoAnswerError(f"no answer within {timeout_s:g} s") from error
    except OSError as error:
        raise NoAnswerError(error.strerror or str(error)) from error
    status, _, text = raw.decode("utf-8", "replace").partition(" ")
    if status not in (_STATUS_OK, _STATUS_ERROR) or not text.endswith("\n"):
        raise NoAnswerError("invalid reply: not the admin interface of a dispatcher")
    return AdminReply(status == _STATUS_OK, text[:-1])


async def _exchange(address: str, request: bytes) -> bytes:
    """Send a request and return all bytes until the other side closes the connection."""
    reader, writer = await asyncio.open_connection(*parse_address(address))
    try:
        writer.write(request)
        raw = b""
        while chunk := await reader.read(_CHUNK_BYTES):
            raw += chunk
            if len(raw) > MAX_REPLY_BYTES:
                raise NoAnswerError(f"the reply is longer than {MAX_REPLY_BYTES} bytes")
        return raw
    finally:
        with contextlib.suppress(OSError):
            writer.close()
