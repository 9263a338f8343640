"""Parses a client's request: its class, id, timeout, hints, forwarded headers and body."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from urllib.parse import unquote

from aiohttp import web

from dunepulley.clocks import Clock
from dunepulley.net.callbacks import MalformedError
from dunepulley.net.frontend.connection import Connection
from dunepulley.net.messages import MIN_TIMEOUT_MS, PendingRequest
from dunepulley.routing.events import RequestArrived

# The id becomes a path segment when an attempt is cancelled: only unreserved characters are allowed.
_REQUEST_ID = re.compile(r"[A-Za-z0-9._~-]{1,128}")
_TARGET = re.compile(r"/[!-~]*")
_IDEMPOTENCY_KEY = re.compile(r"[!-~]{1,512}")
_TIMEOUT = re.compile(r"[0-9]{1,9}")
# Headers that describe the body; they are forwarded to the endpoint.
_BODY_HEADERS = ("Content-Type", "Content-Encoding")
# The client's timeout starts when it sends the request. This margin covers the network latency both ways and
# the moment after the deadline in which the router responds itself. 10 ms is several times each of these on a
# machine that is not overloaded, and negligible compared with usual timeouts.
DELIVERY_MARGIN_MS = 10.0
# Hints of this size or larger are ignored as implausible.
_MAX_HINT = 1e12

_Headers = Mapping[str, str]


class RequestParser:
    """Parses requests.

    Args:
        clock: returns Unix time in ms.
        needs_key: by request class, whether it requires an idempotency key.
        affinity_by_path: whether the last segment of the path is the affinity key.
        is_taken: whether a request id was taken before and must not be taken now.

    Methods raise `MalformedError` with a status and a reason.
    """

    def __init__(
        self,
        clock: Clock,
        needs_key: Mapping[str, bool],
        affinity_by_path: bool,
        is_taken: Callable[[str], bool],
    ) -> None:
        self._clock = clock
        self._needs_key = needs_key
        self._affinity_by_path = affinity_by_path
        self._is_taken = is_taken

    async def parse(self, request: web.BaseRequest, connection: Connection) -> PendingRequest:
        """Parse a request and read its body."""
        target, headers = request.raw_path, request.headers
        path = target.partition("?")[0]
        received_ms = self._clock() - connection.take_wait_ms()
        request_class = self._request_class(target, path)
        request_id = _require_match(_REQUEST_ID, headers.get("X-Call-Id", ""), "X-Call-Id is missing or odd")
        timeout = _require_match(
            _TIMEOUT, headers.get("X-Budget-Ms", ""), "X-Budget-Ms is missing or no whole number"
        )
        forwarded = self._forwarded_headers(headers, request_class)
        hints = parse_hints(headers.get("X-Call-Info", ""))
        arrived = RequestArrived(
            request_id,
            request_class,
            max(MIN_TIMEOUT_MS, float(timeout) - DELIVERY_MARGIN_MS),
            slots=parse_hint_number(hints.get("slots", "1")) or 1.0,
            tenant=headers.get("X-Caller", ""),
            expected_ms=parse_hint_number(headers.get("X-Call-Cost", "0")) / 1000.0,
            is_retry=headers.get("X-Again") == "1",
            affinity_key=path.rpartition("/")[2] if self._affinity_by_path else "",
            memory=parse_hint_number(hints.get("memory", "0")),
        )
        body = await read_body(request)
        if self._is_taken(request_id):
            raise MalformedError(409, "this id is in hand")
        return PendingRequest(arrived, received_ms, target, forwarded, body, connection.client_closed)

    def _request_class(self, target: str, path: str) -> str:
        """Return the request class: the first segment of the path."""
        _require_match(_TARGET, target, "the target is no path")
        request_class = unquote(path.split("/", 2)[1])
        if request_class not in self._needs_key:
            raise MalformedError(404, "unknown category")
        return request_class

    def _forwarded_headers(self, headers: _Headers, request_class: str) -> dict[str, str]:
        """Return the headers that are sent to the endpoint with the body."""
        key = headers.get("Idempotency-Key", "")
        if key:
            _require_match(_IDEMPOTENCY_KEY, key, "Idempotency-Key is odd")
        elif self._needs_key[request_class]:
            raise MalformedError(400, "this category needs Idempotency-Key")
        forwarded = {name: headers[name] for name in _BODY_HEADERS if name in headers}
        if not all([text.isascii() and text.isprintable() for text in forwarded.values()]):
            raise MalformedError(400, "a header that tells of the body is odd")
        if key:
            forwarded["Idempotency-Key"] = key
        return forwarded


def _require_match(pattern: re.Pattern[str], text: str, reason: str) -> str:
    """Return the text if all of it matches the pattern. Raises MalformedError with the reason otherwise."""
    if not pattern.fullmatch(text):
        raise MalformedError(400, reason)
    return text


async def read_body(request: web.BaseRequest) -> bytes:
    """Read a request's body, which was received with its head. Raises MalformedError if it is too large."""
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as problem:
        raise MalformedError(413, "the body is too large") from problem


def parse_hints(text: str) -> dict[str, str]:
    """Parse `name=value` pairs separated by commas."""
    pairs = [pair.partition("=") for pair in text.split(",")]
    return {name.strip(): value.strip() for name, _, value in pairs}


def parse_hint_number(text: str) -> float:
    """Parse a number that is only a hint: an invalid or implausible one counts as 0, as if not given."""
    try:
        number = float(text)
    except ValueError:
        return 0.0
    return number if 0.0 <= number < _MAX_HINT else 0.0
