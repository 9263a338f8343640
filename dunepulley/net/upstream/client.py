"""The client for endpoints: one task for each exchange, over the connection pool of one session."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import aiohttp

from dunepulley import load_reports
from dunepulley.net import log
from dunepulley.net.counters import Counters
from dunepulley.net.log_events import LogEvent
from dunepulley.net.messages import AttemptFinished, UpstreamAttempt
from dunepulley.net.system_errors import is_exhaustion, is_local_error
from dunepulley.net.tracebacks import drop_tracebacks
from dunepulley.net.upstream.cancellation import RESPONSE_TIMEOUT_S, Cancellation
from dunepulley.net.upstream.connection_pool import EndpointConnector
from dunepulley.net.upstream.request_body import AttemptBody
from dunepulley.net.upstream.responses import (
    ACCEPTED,
    ended_by_endpoint,
    endpoint_url,
    parse_health_report,
    read_response_body,
    result_of_failed_check,
    result_of_failure,
    result_of_response,
)
from dunepulley.routing.events import AttemptResult, HealthCheckEnded

# Delay before a fault of this host is reported: without it, the retry would hit the same fault.
LOCAL_FAULT_DELAY_S = 0.1
# The process may be paused for up to 0.15 s.
MAX_PROCESS_PAUSE_S = 0.2
# An endpoint responds when it has accepted an attempt, not when it has run it. Without a response or a
# callback after this time, the connection is assumed dead: waiting longer would use up the request's timeout.
ATTEMPT_RESPONSE_TIMEOUT_S = 0.5
# aiohttp's total timeout is the attempt's timeout plus this, so that the router's timer fires first.
_TIMEOUT_MARGIN_S = 1.0
# Fractions of the time after which endpoints close an idle connection. It is reused only within the first
# fraction, which leaves a margin for network latency and a busy event loop. Idle connections that are too old
# are closed at intervals of the second.
_REUSE_FRACTION, _SWEEP_FRACTION = 0.8, 0.1
_MIN_REUSE_S = _MIN_SWEEP_S = 0.05
# Headers that aiohttp would add by default.
_SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
# Statuses of endpoints that are not logged.
_USUAL_STATUSES = (ACCEPTED, 500, 503, 504)
# Sixteenths of the descriptors for connections to endpoints and from clients together. Clients may use nine:
# at least four are left for endpoints. Operators, discovery and files use the remainder.
_SHARED_SIXTEENTHS = 13
_CONNECTION_LOSSES = (AttemptResult.CONNECTION_LOST, AttemptResult.STALE_CONNECTION)


@dataclass(slots=True)
class _Exchange:
    """The state of an attempt's HTTP exchange."""

    # The endpoint responded with 202: the attempt's result arrives by callback.
    accepted: bool = False
    result: str = AttemptResult.CONNECTION_LOST
    load_report: dict[str, float] | None = None


class UpstreamClient:
    """Sends attempts to endpoints, cancels them, and checks the endpoints' health.

    Args:
        settings: the router's settings, by their configured names.
        max_descriptors: the number of file descriptors that the process may use.
        put: receives messages for the core.
        may_begin: called directly before the first byte of each attempt; whether it may start.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        max_descriptors: int,
        put: Callable[[Any], None],
        counters: Counters,
        may_begin: Callable[[UpstreamAttempt], bool] = lambda attempt: True,
    ) -> None:
        self.put = put
        self.may_begin = may_begin
        self.counters = counters
        self._hedging = bool(settings.get("policyLimits.secondCopies", False))
        self._can_cancel = bool(settings.get("policyLimits.cancel", False))
        self._has_reports = settings.get("reporting.how", "none") != "none"
        self._connect_s = settings.get("policyLimits.connectTimeoutMs", 1000.0) / 1000.0
        idle_s = settings.get("policyLimits.connIdleMs", 15000.0) / 1000.0
        self._max_connections = max(8, max_descriptors // 8)
        self.session = self._open_session(max_descriptors, idle_s)
        # Keys are attempts, or pairs of an operation and its attempt or endpoint id.
        self.tasks: dict[Any, asyncio.Task[None]] = {}
        self._bodies: dict[UpstreamAttempt, AttemptBody] = {}
        self._sweep_s = max(_MIN_SWEEP_S, _SWEEP_FRACTION * idle_s)
        self._sweep_timer: asyncio.TimerHandle | None = None

    def _open_session(self, max_descriptors: int, idle_s: float) -> aiohttp.ClientSession:
        # Records whether an exchange reused a connection: a failure there says less about the endpoint.
        trace = aiohttp.TraceConfig()
        trace.on_connection_reuseconn.append(_record_reuse)
        trace.on_request_headers_sent.append(_set_timeout_header)
        session = aiohttp.ClientSession(
            # At most an eighth of the descriptors is in use for exchanges at once, a quarter of these with
            # one endpoint, which may be unresponsive.
            connector=EndpointConnector(
                self.counters,
                max_connections=max_descriptors * _SHARED_SIXTEENTHS // 16,
                limit=self._max_connections,
                limit_per_host=max(2, max_descriptors // 32),
                keepalive_s=max(_MIN_REUSE_S, _REUSE_FRACTION * idle_s),
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, connect=self._connect_s),
            skip_auto_headers=_SKIPPED_HEADERS,
            trust_env=False,
            trace_configs=[trace],
        )
        # aiohttp must not resend a request by itself: that would run an attempt twice.
        session._retry_connection = False
        return session

    def set_limit_fraction(self, fraction: float) -> None:
        """Use a fraction of the connections, while another process uses the remainder."""
        self.session.connector._limit = max(4, int(self._max_connections * fraction))
        self.session.connector.set_limit_fraction(fraction)

    def share_descriptors_with(self, count_connections: Callable[[], int]) -> None:
        """Keep fewer idle connections while there are many connections of another kind."""
        self.session.connector.other_connections = count_connections

    def close_excess_idle(self) -> None:
        """Close the longest idle connections if too many descriptors are in use."""
        self.session.connector.close_excess_idle()

    async def close(self) -> None:
        """Cancel all tasks and close all connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.session.close()

    # ---------------------------------------------------------------- tasks

    def _start(self, key: Any, work: Coroutine[Any, Any, None]) -> None:
        if self._sweep_timer is None:
            self._schedule_sweep()
        task = asyncio.create_task(work)
        self.tasks[key] = task
        task.add_done_callback(lambda done: self._task_done(key, done))

    def _task_done(self, key: Any, task: asyncio.Task[None]) -> None:
        """Remove a finished task, and report the attempt as ended if the task failed."""
        if self.tasks.get(key) is task:
            del self.tasks[key]
        if task.cancelled() or task.exception() is None:
            return
        if isinstance(key, UpstreamAttempt):
            self._end_faulty(key)
        self.counters["faults"] += 1
        log.write(LogEvent.FAULT, f"workers: {task.exception()!r}")

    def _end_faulty(self, attempt: UpstreamAttempt) -> None:
        """Report an attempt whose task failed; the endpoint may run it if its first byte was sent."""
        if not attempt.write_started:
            self.put(AttemptFinished(attempt, AttemptResult.NOT_SENT))
        elif not attempt.cancelled:
            self._cancel_at_endpoint(attempt, AttemptResult.CONNECTION_LOST)

    def _schedule_sweep(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(self._sweep_s, self._close_idle)

    def _close_idle(self) -> None:
        """Close connections that were idle too long.

        aiohttp's own check is so infrequent that endpoints would close them first.
        """
        self.session.connector._cleanup()
        self._schedule_sweep()

    # ---------------------------------------------------------------- attempts

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Start a task that sends an attempt; it puts `AttemptFinished` unless the endpoint accepts it."""
        self._start(attempt, self._run_attempt(attempt))

    async def _run_attempt(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt; when this returns or is cancelled, no more bytes of it are sent."""
        body = self._bodies[attempt] = AttemptBody(attempt, self.counters, self.may_begin)
        exchange = _Exchange()
        try:
            await self._exchange(attempt, body, exchange)
        finally:
            body.abandon()
            del self._bodies[attempt]

    async def _exchange(self, attempt: UpstreamAttempt, body: AttemptBody, exchange: _Exchange) -> None:
        try:
            await self._post(attempt, body, exchange)
        except aiohttp.SocketTimeoutError as error:
            drop_tracebacks(error)
            self.counters["ho unanswered"] += not exchange.accepted
            if not attempt.callback_received and not exchange.accepted:
                # The endpoint may have accepted it: it is cancelled there before the router retries it.
                reused = attempt.reused_connection
                result = AttemptResult.STALE_CONNECTION if reused else AttemptResult.CONNECTION_LOST
                self._cancel_at_endpoint(attempt, result)
            return
        except (aiohttp.ClientError, OSError) as error:
            drop_tracebacks(error)
            exchange.result = await self._result_of_failure(attempt, error)
            if exchange.result in _CONNECTION_LOSSES and not exchange.accepted:
                # The 202 may have been lost with the connection, and the endpoint may run the attempt: it is
                # cancelled there before the router retries it, at this endpoint or another.
                self._cancel_at_endpoint(attempt, exchange.result, ended_by_endpoint(error))
                return
        if not exchange.accepted:
            self.put(AttemptFinished(attempt, exchange.result, exchange.load_report))

    async def _post(self, attempt: UpstreamAttempt, body: AttemptBody, exchange: _Exchange) -> None:
        """Send the request and read the response."""
        request = attempt.request
        # The connect timeout includes the wait for a free connection: after a longer wait the endpoint might
        # have started to drain meanwhile.
        timeout = aiohttp.ClientTimeout(
            total=attempt.timeout_ms / 1000.0 + _TIMEOUT_MARGIN_S,
            connect=self._connect_s,
            sock_read=ATTEMPT_RESPONSE_TIMEOUT_S,
        )
        async with self.session.post(
            endpoint_url(attempt.address, request.target),
            data=body,
            headers={"X-Call-Id": request.arrived.request_id, **request.headers},
            allow_redirects=False,
            timeout=timeout,
            trace_request_ctx=attempt,
        ) as response:
            attempt.response_started = True
            if response.status == ACCEPTED:
                # The result arrives by callback, even if the connection breaks now.
                exchange.accepted = True
                self.counters["ho accepted"] += 1
            await read_response_body(response)
            exchange.load_report = load_reports.parse_report_text(response.headers.get("X-Load-Report"), "=")
            exchange.result = result_of_response(response)
            if response.status not in _USUAL_STATUSES:
                log.write(
                    LogEvent.ENDPOINT,
                    f"endpoint {attempt.endpoint_id} responded with status {response.status}",
                )

    async def _result_of_failure(self, attempt: UpstreamAttempt, error: Exception) -> str:
        """Return the result of a failed exchange, after a delay if this host is at fault."""
        is_local = is_local_error(error)
        if is_local:
            is_exhausted = is_exhaustion(error)
            self.counters["no descriptor" if is_exhausted else "no way out"] += 1
            log.write(
                LogEvent.SOCKETS, f"local fault on a connection to endpoint {attempt.endpoint_id}: {error}"
            )
        result = result_of_failure(attempt, error, is_local)
        if result is AttemptResult.NOT_SENT and is_local:
            # No delay close to the timeout: a timeout that fires first would count against the endpoint.
            left_s = attempt.deadline_s - asyncio.get_running_loop().time()
            if left_s > LOCAL_FAULT_DELAY_S + MAX_PROCESS_PAUSE_S:
                await asyncio.sleep(LOCAL_FAULT_DELAY_S)
        return result

    # ---------------------------------------------------------------- cancellation

    def cancel_attempt(self, attempt: UpstreamAttempt, notify: bool) -> None:
        """Cancel an attempt: close its connection if in use, and with `notify` cancel it at the endpoint."""
        attempt.cancelled = True
        if ("delete", attempt) in self.tasks:
            return  # a cancellation is in progress and reports the result
        body = self._bodies.get(attempt)
        never_sent = not attempt.write_started or (body is not None and body.abandon())
        sending = self.tasks.get(attempt)
        if sending is not None:
            sending.cancel()
        if never_sent:
            self.put(AttemptFinished(attempt, AttemptResult.NOT_SENT))
        elif notify:
            # Even if no 202 was read: it may be in transit, and then closing the connection cancels nothing.
            self._cancel_at_endpoint(attempt, AttemptResult.CANCELLED)

    def _cancel_at_endpoint(
        self, attempt: UpstreamAttempt, result: str, closed_by_endpoint: bool = False
    ) -> None:
        """Cancel an attempt at its endpoint, in a separate task that outlives the attempt's own task.

        `closed_by_endpoint` means that the endpoint closed the connection. Where the settings do not allow
        cancellation calls, closing the connection before the 202 is all that is done.
        """
        if self._can_cancel:
            self._start(("delete", attempt), self._run_cancellation(attempt, result, closed_by_endpoint))
        else:
            self._finish_cancelled(attempt, result, is_confirmed=False)

    async def _run_cancellation(
        self, attempt: UpstreamAttempt, result: str, closed_by_endpoint: bool
    ) -> None:
        """Cancel an attempt at its endpoint, then report the attempt's result to the core."""
        cancellation = Cancellation(self.session, self.counters, attempt, closed_by_endpoint, self._hedging)
        try:
            await cancellation.run()
        finally:
            self._finish_cancelled(attempt, result, cancellation.is_confirmed)

    def _finish_cancelled(self, attempt: UpstreamAttempt, result: str, is_confirmed: bool) -> None:
        attempt.cancellation_unheard = not is_confirmed
        # Without hedging, the router must know that the attempt may still be running.
        is_certain = is_confirmed or self._hedging
        self.put(AttemptFinished(attempt, result if is_certain else AttemptResult.CANCEL_UNCONFIRMED))

    # ---------------------------------------------------------------- health checks

    def check_health(self, endpoint_id: str, address: str) -> None:
        """Start a task that checks an endpoint and puts `HealthCheckEnded`, unless one is running."""
        if ("probe", endpoint_id) not in self.tasks:
            self._start(("probe", endpoint_id), self._check_health(endpoint_id, address))

    async def _check_health(self, endpoint_id: str, address: str) -> None:
        url = endpoint_url(address, "/_load" if self._has_reports else "/ping")
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        report = None
        try:
            async with (
                asyncio.timeout(RESPONSE_TIMEOUT_S),
                self.session.get(url, allow_redirects=False) as response,
            ):
                text = (await read_response_body(response)).decode("utf-8", "replace")
                results = {200: AttemptResult.COMPLETED, 503: AttemptResult.REJECTED}
                result = results.get(response.status, AttemptResult.ERRORED)
                if self._has_reports and response.status in results:
                    report = parse_health_report(text)
        except (aiohttp.ClientError, OSError) as error:
            drop_tracebacks(error)
            result = result_of_failed_check(error)
        self.put(HealthCheckEnded(endpoint_id, result, (loop.time() - started_s) * 1000.0, report))


async def _record_reuse(session: aiohttp.ClientSession, context: Any, params: object) -> None:
    attempt = context.trace_request_ctx
    if isinstance(attempt, UpstreamAttempt):
        attempt.reused_connection = True


async def _set_timeout_header(session: aiohttp.ClientSession, context: Any, params: Any) -> None:
    """Set the header with the time left, once there is a connection and before the head is serialized.

    Connecting may take up to 1.5 s. A value computed before that would let the endpoint work on after the
    client has stopped waiting.
    """
    attempt = context.trace_request_ctx
    if isinstance(attempt, UpstreamAttempt):
        attempt.timeout_sent_s = asyncio.get_running_loop().time()
        left_s = attempt.deadline_s - attempt.timeout_sent_s
        params.headers["X-Budget-Ms"] = str(max(1, int(left_s * 1000.0)))
