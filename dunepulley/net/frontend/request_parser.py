"""What a request holds: its class, id, timeout and hints; or why it is rejected."""

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

# The id becomes part of a path when an attempt is cancelled: no character that means something there.
_REQUEST_ID = re.compile(r"[A-Za-z0-9._~-]{1,128}")
_TARGET = re.compile(r"/[!-~]*")
_IDEMPOTENCY_KEY = re.compile(r"[!-~]{1,512}")
_TIMEOUT = re.compile(r"[0-9]{1,9}")
# What tells an endpoint how to read the body is forwarded with it.
_BODY_HEADERS = ("Content-Type", "Content-Encoding")
# The timeout counts from when the client sent. The way here, the answer's way back and the moment after the
# deadline in which the router answers what no endpoint did are to fit in: a hundredth of a second is several
# times each of them on a machine that is not overloaded, and no part of a timeout that matters.
DELIVERY_MARGIN_MS = 10.0
# Hints beyond this make no sense.
_MOST_HINT = 1e12

_Headers = Mapping[str, str]


class RequestParser:
    """Reads requests; raises `MalformedError` with a status and a reason."""

    def __init__(
        self,
        clock: Clock,
        needs_key: Mapping[str, bool],
        affinity_by_path: bool,
        is_in_hand: Callable[[str], bool],
    ) -> None:
        self._clock = clock
        # By request class, whether it needs an idempotency key.
        self._needs_key = needs_key
        self._affinity_by_path = affinity_by_path
        self._is_in_hand = is_in_hand

    async def parse(self, request: web.BaseRequest, connection: Connection) -> PendingRequest:
        """The request, with its body."""
        target, headers = request.raw_path, request.headers
        path = target.partition("?")[0]
        received_ms = self._clock() - connection.take_unread_ms()
        request_class = self._request_class(target, path)
        request_id = _matching(_REQUEST_ID, headers.get("X-Call-Id", ""), "X-Call-Id is missing or odd")
        timeout = _matching(
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
        if self._is_in_hand(request_id):
            raise MalformedError(409, "this id is in hand")
        return PendingRequest(arrived, received_ms, target, forwarded, body, connection.client_closed)

    def _request_class(self, target: str, path: str) -> str:
        """The first part of the path."""
        _matching(_TARGET, target, "the target is no path")
        request_class = unquote(path.split("/", 2)[1])
        if request_class not in self._needs_key:
            raise MalformedError(404, "unknown category")
        return request_class

    def _forwarded_headers(self, headers: _Headers, request_class: str) -> dict[str, str]:
        """The headers that go to the endpoint with the body."""
        key = headers.get("Idempotency-Key", "")
        if key:
            _matching(_IDEMPOTENCY_KEY, key, "Idempotency-Key is odd")
        elif self._needs_key[request_class]:
            raise MalformedError(400, "this category needs Idempotency-Key")
        forwarded = {name: headers[name] for name in _BODY_HEADERS if name in headers}
        if not all([text.isascii() and text.isprintable() for text in forwarded.values()]):
            raise MalformedError(400, "a header that tells of the body is odd")
        if key:
            forwarded["Idempotency-Key"] = key
        return forwarded


def _matching(pattern: re.Pattern[str], text: str, reason: str) -> str:
    """The text, if all of it matches; else the request is rejected for this reason."""
    if not pattern.fullmatch(text):
        raise MalformedError(400, reason)
    return text


async def read_body(request: web.BaseRequest) -> bytes:
    """A request's body, which has come with its head; one in chunks may be too large."""
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as problem:
        raise MalformedError(413, "the body is too large") from problem


def parse_hints(text: str) -> dict[str, str]:
    """`name=value` pairs set apart by commas."""
    pairs = [pair.partition("=") for pair in text.split(",")]
    return {name.strip(): value.strip() for name, _, value in pairs}


def parse_hint_number(text: str) -> float:
    """A number that is only a hint: what cannot be read, or makes no sense, counts as not given."""
    try:
        number = float(text)
    except ValueError:
        return 0.0
    return number if 0.0 <= number < _MOST_HINT else 0.0
