"""What endpoints' responses say, and what a broken connection proves."""

from __future__ import annotations

import asyncio
import errno

import aiohttp
import orjson
from yarl import URL

from dunepulley import load_reports
from dunepulley.net.addresses import parse_address
from dunepulley.net.messages import UpstreamAttempt
from dunepulley.routing.events import AttemptResult

# What is left of a response behind its head comes with it, or is one without end: no more of it is waited for
# or read than this, as a body holds at most 64 KB.
BODY_READ_TIMEOUT_S, MAX_BODY_BYTES = 0.5, 65536
ACCEPTED = 202
# What no endpoint can read: the fault of what was sent.
_UNPROCESSABLE_STATUSES = (400, 413, 414, 431)
# An endpoint that rejects an attempt has one of these, and says so in a header.
_REJECTED_STATUSES = (503, 504)


def endpoint_url(address: str, target: str) -> URL:
    """Where to send; the whole target stands as a path, as a URL would quote it anew."""
    host, port = parse_address(address)
    return URL.build(scheme="http", host=host, port=port, path=target, encoded=True)


async def read_response_body(response: aiohttp.ClientResponse) -> bytes:
    """The body of a response, within bounds.

    Raises TimeoutError if it does not end in time, and ClientPayloadError if it is longer than any body.
    """
    rest = bytearray()
    async with asyncio.timeout(BODY_READ_TIMEOUT_S):
        async for part in response.content.iter_any():
            rest += part
            if len(rest) > MAX_BODY_BYTES:
                raise aiohttp.ClientPayloadError("an answer without end")
    return bytes(rest)


def result_of_response(response: aiohttp.ClientResponse) -> AttemptResult:
    """How an attempt ended by its response, where that is not `ACCEPTED`."""
    if response.status in _REJECTED_STATUSES and response.headers.get("X-Rejected") == "1":
        return AttemptResult.REJECTED
    if response.status in _UNPROCESSABLE_STATUSES:
        return AttemptResult.UNPROCESSABLE
    return AttemptResult.ERRORED


def result_of_failure(attempt: UpstreamAttempt, error: Exception, is_local: bool) -> AttemptResult:
    """What a broken exchange proves; `is_local` says that the fault is this host's."""
    # Broken after the last byte was written it may have run, before that it cannot have. A fault of this host
    # is no sign of an outlier. Nor is a kept connection that breaks: the endpoint, or what is in between, may
    # close those at any time.
    is_blameless = is_local or attempt.reused_connection
    if attempt.fully_written:
        return AttemptResult.STALE_CONNECTION if is_blameless else AttemptResult.CONNECTION_LOST
    if attempt.start_refused:
        return AttemptResult.NOT_SENT
    if isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
        is_blameless = is_local
    return AttemptResult.NOT_SENT if is_blameless else AttemptResult.CONNECT_FAILED


def ended_by_endpoint(error: Exception) -> bool:
    """Whether the endpoint's side ended the connection: not silence, nor a fault of this host."""
    is_reset = getattr(error, "errno", None) in (errno.ECONNRESET, errno.EPIPE)
    return is_reset or isinstance(error, aiohttp.ServerDisconnectedError)


def parse_health_report(text: str) -> dict[str, float] | None:
    """A load report as a body: an object, or the header's form."""
    if not text.lstrip().startswith("{"):
        return load_reports.parse_report_text(text, "=")
    try:
        return load_reports.parse_report(orjson.loads(text))
    except (orjson.JSONDecodeError, AttributeError):
        return None
