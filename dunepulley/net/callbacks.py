"""Callbacks: endpoints report the state of accepted attempts by POST to the frontend's address."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from aiohttp import web

from dunepulley import json_values, load_reports
from dunepulley.net.counters import CALLBACKS_MALFORMED, Counters, callbacks_with
from dunepulley.net.messages import CallbackReceived, CallbackState

PATH = "/v1/job-events"
STATES = frozenset(CallbackState)
STATUS_NO_CONTENT = 204


class MalformedError(Exception):
    """A received message is malformed; `args` are the HTTP status of the response and the reason."""


def parse_callback(body: bytes) -> CallbackReceived:
    """Return the callback in a body.

    Raises:
        MalformedError: the body is not a valid callback.
    """
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise MalformedError(400, f"no JSON: {error}") from error
    if not isinstance(fields, dict):
        raise MalformedError(400, "no JSON object")
    request_id, endpoint_id, state = fields.get("id"), fields.get("from"), fields.get("state")
    if not isinstance(request_id, str) or not isinstance(endpoint_id, str):
        raise MalformedError(400, "id or from is no text")
    if not isinstance(state, str) or state not in STATES:
        raise MalformedError(400, "unknown state")
    result = b""
    if state == CallbackState.DONE:
        text = fields.get("result")
        if not isinstance(text, str):
            raise MalformedError(400, "the result is no text")
        result = text.encode()
    progress = fields.get("share")
    if not json_values.is_number(progress):
        progress = 0.0
    load = fields.get("load")
    load_report = load_reports.parse_report(load) if isinstance(load, dict) else None
    return CallbackReceived(request_id, endpoint_id, state, float(progress), result, load_report)


class Callbacks:
    """Answers every callback, and passes it to the process in which its request is open.

    Args:
        put: called with each callback whose request is open in this process, or in none.
        has_request: whether a request is open in this process.
        counters: counts callbacks by their state.
    """

    def __init__(
        self, put: Callable[[Any], None], has_request: Callable[[str], bool], counters: Counters
    ) -> None:
        self._put = put
        self._has_request = has_request
        self._counters = counters
        # During a hot restart: forwards a callback to the other process and returns the status of its answer,
        # or None if the request is not open there.
        self.forward: Callable[[bytes], Awaitable[int | None]] | None = None

    async def receive(self, body: bytes) -> web.Response:
        """Process one callback.

        Raises:
            MalformedError: the body is not a valid callback.
        """
        try:
            callback = parse_callback(body)
        except MalformedError:
            self._counters[CALLBACKS_MALFORMED] += 1
            raise
        self._counters[callbacks_with(callback.state)] += 1
        if self.forward is not None and not self._has_request(callback.request_id):
            status = await self.forward(body)
            if status is not None:
                return web.Response(status=status)
        self._put(callback)
        return web.Response(status=STATUS_NO_CONTENT)

    def receive_forwarded(self, body: bytes) -> int | None:
        """Process a forwarded callback and return the status; None if its request is not open here.

        Raises:
            MalformedError: the body is not a valid callback.
        """
        callback = parse_callback(body)
        if not self._has_request(callback.request_id):
            return None
        self._put(callback)
        return STATUS_NO_CONTENT
