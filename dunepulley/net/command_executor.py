"""Executes the router's commands on sockets, timers and the log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from dunepulley.clocks import Clock
from dunepulley.net import log
from dunepulley.net.counters import ATTEMPTS_CANCELLED, ATTEMPTS_SENT, HEALTH_CHECKS, Counters
from dunepulley.net.endpoint_view import EndpointView
from dunepulley.net.log_events import LogEvent
from dunepulley.net.loop_timers import LoopTimers
from dunepulley.net.messages import Answer, AttemptFinished, UpstreamAttempt
from dunepulley.net.request_table import OpenRequest, RequestTable
from dunepulley.net.zone_statistics import ZoneStatistics
from dunepulley.routing.commands import (
    CancelAttempt,
    CheckHealth,
    Command,
    Fail,
    Reject,
    SendGossip,
    SetTimer,
    StartAttempt,
    WriteLog,
)
from dunepulley.routing.events import AttemptResult, HealthCheckEnded


class AttemptSender(Protocol):
    """The upstream client, which sends attempts and health checks to endpoints.

    It reports their results by putting `AttemptFinished` and `HealthCheckEnded` on the queue.
    """

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt to its address."""

    def cancel_attempt(self, attempt: UpstreamAttempt, notify: bool) -> None:
        """Stop an attempt; with `notify`, send a cancellation if the endpoint may have received it."""

    def check_health(self, endpoint_id: str, address: str) -> None:
        """Request an endpoint's load report."""


class GossipSender(Protocol):
    """Sends gossip to the other dispatchers."""

    def send(self, message: SendGossip) -> None:
        """Send a message; it may be lost."""


class CommandExecutor:
    """Executes commands, each at the time of its batch (Unix ms).

    `attempt_sender` and `gossip_sender` must be set before the first command.

    Args:
        clock: the process's clock, Unix time in ms.
        put: called with the messages that report the result of a command.
        cancel_notifies: whether a cancellation is sent to the endpoint when an attempt times out.
    """

    attempt_sender: AttemptSender
    gossip_sender: GossipSender

    def __init__(
        self,
        clock: Clock,
        put: Callable[[Any], None],
        requests: RequestTable,
        endpoints: EndpointView,
        statistics: ZoneStatistics,
        timers: LoopTimers,
        counters: Counters,
        cancel_notifies: bool,
    ) -> None:
        self._clock = clock
        self._put = put
        self._requests = requests
        self._endpoints = endpoints
        self._statistics = statistics
        self._timers = timers
        self._counters = counters
        self._cancel_notifies = cancel_notifies
        self._handlers: dict[type, Callable[[Any, float], None]] = {
            StartAttempt: self._start_attempt,
            CancelAttempt: self._cancel_attempt,
            Reject: self._reject,
            Fail: self._fail,
            CheckHealth: self._check_health,
            SendGossip: self._send_gossip,
            SetTimer: self._set_timer,
            WriteLog: self._write_log,
        }

    def execute(self, command: Command, now: float) -> None:
        """Execute one command.

        Raises:
            LookupError: the request or attempt does not exist, or the command's type is unknown.
        """
        self._handlers[type(command)](command, now)

    # ---------------------------------------------------------------- attempts

    def _start_attempt(self, command: StartAttempt, now: float) -> None:
        open_request = self._requests.get(command.request_id)
        if open_request is None:
            raise LookupError(f"StartAttempt: request {command.request_id} is not open")
        is_duplicate = open_request.is_in_flight_at(command.endpoint_id)
        attempt = self._new_attempt(open_request, command, now)
        open_request.attempts.append(attempt)
        open_request.attempts_in_flight += 1
        if open_request.answered or not attempt.address or is_duplicate:
            # An endpoint runs one attempt of a request at a time, and an answered request needs no attempt.
            self._put(AttemptFinished(attempt, AttemptResult.NOT_SENT))
            return
        self._counters[ATTEMPTS_SENT] += 1
        loop = asyncio.get_running_loop()
        attempt.timer = loop.call_at(attempt.deadline_s, self._time_out, attempt)
        self.attempt_sender.start_attempt(attempt)

    def _new_attempt(self, open_request: OpenRequest, command: StartAttempt, now: float) -> UpstreamAttempt:
        request = open_request.request
        # Not after the request's own timeout: the one that the router gets has a minimum and may end later.
        request_deadline_ms = request.received_ms + request.arrived.timeout_ms
        start_before_ms = min(now + min(command.timeout_ms, command.start_within_ms), request_deadline_ms)
        attempt = UpstreamAttempt(
            request,
            len(open_request.attempts),
            command.endpoint_id,
            self._endpoints.addresses.get(command.endpoint_id, ""),
            command.timeout_ms,
            now,
            start_before_ms,
        )
        # The timeout runs from the time of the batch, even if the process was stalled since then.
        attempt.deadline_s -= (self._clock() - now) / 1000.0
        return attempt

    def _time_out(self, attempt: UpstreamAttempt) -> None:
        attempt.timer = None
        result = AttemptResult.TIMED_OUT if attempt.write_started else AttemptResult.CONNECT_FAILED
        self._put(AttemptFinished(attempt, result))
        self._stop(attempt, self._cancel_notifies)

    def _cancel_attempt(self, command: CancelAttempt, now: float) -> None:
        open_request = self._requests.get(command.request_id)
        attempt = open_request.attempts[command.attempt_number] if open_request is not None else None
        if attempt is None or attempt.result or attempt.cancelled:
            return
        self._counters[ATTEMPTS_CANCELLED] += 1
        self._stop(attempt, notify=True)

    def _stop(self, attempt: UpstreamAttempt, notify: bool) -> None:
        """Stop an attempt; a cancellation goes to the endpoint's present address."""
        attempt.address = self._endpoints.addresses.get(attempt.endpoint_id, attempt.address)
        self.attempt_sender.cancel_attempt(attempt, notify)

    # ---------------------------------------------------------------- answers

    def _reject(self, command: Reject, now: float) -> None:
        self._answer(command.request_id, Answer(Reject, retry_after_ms=command.retry_after_ms))

    def _fail(self, command: Fail, now: float) -> None:
        self._answer(command.request_id, Answer(Fail))

    def _answer(self, request_id: str, answer: Answer) -> None:
        if self._requests.answer(request_id, answer):
            self._statistics.unserved_requests += 1

    # ---------------------------------------------------------------- other commands

    def _check_health(self, command: CheckHealth, now: float) -> None:
        address = self._endpoints.addresses.get(command.endpoint_id)
        if address is None:
            self._put(HealthCheckEnded(command.endpoint_id, AttemptResult.NOT_SENT))
            return
        self._counters[HEALTH_CHECKS] += 1
        self.attempt_sender.check_health(command.endpoint_id, address)

    def _send_gossip(self, command: SendGossip, now: float) -> None:
        self.gossip_sender.send(command)

    def _set_timer(self, command: SetTimer, now: float) -> None:
        self._timers.set_router_timer(command.delay_ms, command.token)

    def _write_log(self, command: WriteLog, now: float) -> None:
        log.write(LogEvent.ROUTER, command.message)
