"""Writes and reads HTTP/1.1 messages as the peers of a dispatcher do."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
HEALTH_REQUEST = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"


class HttpMessage(NamedTuple):
    """A message that a peer received; `target` is the status if it is a response.

    `connection` is the number of its connection, counted by the peer from 1.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int


def request(
    target: str, body: bytes = b"x", *headers: str, request_id: str | None = "a", budget: int = 4000
) -> bytes:
    """A client's POST with the request id `request_id` and a timeout of `budget` ms.

    If `request_id` is None, both headers are left out.
    """
    lines = [f"POST {target} HTTP/1.1", "Host: app.svc", f"Content-Length: {len(body)}", *headers]
    if request_id is not None:
        lines += [f"X-Call-Id: {request_id}", f"X-Budget-Ms: {budget}"]
    return "\r\n".join([*lines, "", ""]).encode() + body


def response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """A complete response with a Content-Length."""
    lines = [f"HTTP/1.1 {status} Any", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def chunk(data: bytes) -> bytes:
    """One chunk of a response that began with `CHUNKED_HEAD`."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def read_message(reader: asyncio.StreamReader, connection: int = 0) -> HttpMessage:
    """Read a request or response with a Content-Length; raises IncompleteReadError at the end of stream."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")[:-2]
    headers = {name.lower(): value.strip() for name, _, value in [line.partition(":") for line in lines]}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    method, target, *_ = first.split(" ")
    return HttpMessage(method, target, headers, body, connection)


async def exchange(port: int, raw: bytes, host: str = "127.0.0.1") -> HttpMessage:
    """Send bytes over a new connection and read the response."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(raw)
    message = await read_message(reader)
    writer.close()
    return message
