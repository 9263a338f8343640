"""The commands that a router emits. Times are in ms, as floats; ids are those of the events."""

from __future__ import annotations

from typing import NamedTuple


class StartAttempt(NamedTuple):
    """Send a request to an endpoint, with a timeout of `timeout_ms`.

    If its first byte is not sent within `start_within_ms`, the attempt is dropped.
    """

    request_id: str
    endpoint_id: str
    timeout_ms: float
    start_within_ms: float = float("inf")


class CancelAttempt(NamedTuple):
    """Cancel one attempt."""

    request_id: str
    attempt_number: int


class Reject(NamedTuple):
    """Final response: the request was rejected, and the client may safely retry it.

    `retry_after_ms` is how long the client should wait; 0 for no advice.
    """

    request_id: str
    retry_after_ms: float = 0.0


class Fail(NamedTuple):
    """Final response: the request has failed, and its effect may have happened."""

    request_id: str


class CheckHealth(NamedTuple):
    """Send a health check to an endpoint, which responds with a load report."""

    endpoint_id: str


class SendGossip(NamedTuple):
    """Send a gossip message to the dispatcher with this number or to all others (`BROADCAST`).

    It may be lost.
    """

    recipient: int
    is_aggregate: bool
    slots_held: tuple[tuple[int, int], ...]


class SetTimer(NamedTuple):
    """Send a `TimerFired` with this token after `delay_ms`."""

    delay_ms: float
    token: int


class WriteLog(NamedTuple):
    """Write a line to the log."""

    message: str


# The recipient number that stands for all other dispatchers.
BROADCAST = -1
# The maximum number of endpoints in a gossip message.
MAX_GOSSIP_ENTRIES = 85

Command = StartAttempt | CancelAttempt | Reject | Fail | CheckHealth | SendGossip | SetTimer | WriteLog
