"""Reads endpoints' responses and maps responses and connection failures to `AttemptResult`."""

from __future__ import annotations

import asyncio
import errno

import aiohttp
import orjson
from yarl import URL

from dunepulley import load_reports
from dunepulley.net.addresses import parse_address
from dunepulley.net.messages import UpstreamAttempt
from dunepulley.net.system_errors import is_local_error
from dunepulley.routing.events import AttemptResult

# Limits for the body of a response, which is at most 64 KB and normally arrives together with the head. They
# guard against a response that never ends.
BODY_READ_TIMEOUT_S, MAX_BODY_BYTES = 0.5, 65536
ACCEPTED = 202
# The request itself is at fault, so that any other endpoint would answer the same.
_UNPROCESSABLE_STATUSES = (400, 413, 414, 431)
# Statuses of an endpoint that rejects an attempt, together with the header X-Rejected.
_REJECTED_STATUSES = (503, 504)


def endpoint_url(address: str, target: str) -> URL:
    """Return the URL of a request target at an endpoint.

    The target, with its query, is passed as an encoded path: yarl would otherwise quote it again.
    """
    host, port = parse_address(address)
    return URL.build(scheme="http", host=host, port=port, path=target, encoded=True)


async def read_response_body(response: aiohttp.ClientResponse) -> bytes:
    """Read and return the body of a response.

    Raises TimeoutError if it takes longer than `BODY_READ_TIMEOUT_S`, and ClientPayloadError if it is longer
    than `MAX_BODY_BYTES`.
    """
    body = bytearray()
    async with asyncio.timeout(BODY_READ_TIMEOUT_S):
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > MAX_BODY_BYTES:
                raise aiohttp.ClientPayloadError(f"response body is longer than {MAX_BODY_BYTES} bytes")
    return bytes(body)


def result_of_response(response: aiohttp.ClientResponse) -> AttemptResult:
    """Return the result of an attempt from a response whose status is not `ACCEPTED`."""
    if response.status in _REJECTED_STATUSES and response.headers.get("X-Rejected") == "1":
        return AttemptResult.REJECTED
    if response.status in _UNPROCESSABLE_STATUSES:
        return AttemptResult.UNPROCESSABLE
    return AttemptResult.ERRORED


def result_of_failure(attempt: UpstreamAttempt, error: Exception, is_local: bool) -> AttemptResult:
    """Return the result of an attempt whose exchange failed; `is_local` means that this host is at fault."""
    # If the failure came after the last byte was written, the attempt may have run; before that it cannot
    # have. Neither a fault of this host nor a failure on a reused connection indicates an outlier: the
    # endpoint or a middlebox may close idle connections at any time.
    is_blameless = is_local or attempt.reused_connection
    if attempt.fully_written:
        return AttemptResult.STALE_CONNECTION if is_blameless else AttemptResult.CONNECTION_LOST
    if attempt.start_refused:
        return AttemptResult.NOT_SENT
    if isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
        is_blameless = is_local
    return AttemptResult.NOT_SENT if is_blameless else AttemptResult.CONNECT_FAILED


def result_of_failed_check(error: Exception) -> AttemptResult:
    """Return the result of a health check whose exchange failed."""
    if isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
        return AttemptResult.NOT_SENT if is_local_error(error) else AttemptResult.CONNECT_FAILED
    return AttemptResult.TIMED_OUT if isinstance(error, TimeoutError) else AttemptResult.CONNECTION_LOST


def ended_by_endpoint(error: Exception) -> bool:
    """Return whether the endpoint closed or reset the connection, as opposed to a timeout or local fault."""
    is_reset = getattr(error, "errno", None) in (errno.ECONNRESET, errno.EPIPE)
    return is_reset or isinstance(error, aiohttp.ServerDisconnectedError)


def parse_health_report(text: str) -> dict[str, float] | None:
    """Parse a load report from a response body: a JSON object, or `name=value` pairs as in the header.

    Returns None if it is malformed.
    """
    if not text.lstrip().startswith("{"):
        return load_reports.parse_report_text(text, "=")
    try:
        return load_reports.parse_report(orjson.loads(text))
    except (orjson.JSONDecodeError, AttributeError):
        return None
