"""The client side towards endpoints: one task for each exchange, over the connections of one session."""

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
from dunepulley.net.system_errors import OUT_OF_DESCRIPTORS, OUT_OF_MEMORY, is_local_error
from dunepulley.net.upstream.cancellation import RESPONSE_TIMEOUT_S, Cancellation
from dunepulley.net.upstream.request_body import AttemptBody
from dunepulley.net.upstream.responses import (
    ACCEPTED,
    ended_by_endpoint,
    endpoint_url,
    parse_health_report,
    read_response_body,
    result_of_failure,
    result_of_response,
)
from dunepulley.routing.events import AttemptResult, HealthCheckEnded

# After a fault of this host: told at once, the next attempt would meet it, too.
LOCAL_FAULT_DELAY_S = 0.1
# A process may be held up for 0.15 s.
MAX_PROCESS_PAUSE_S = 0.2
# An endpoint answers an attempt when it has taken it, not when it has run it. Where neither that nor a
# callback has come after this, the connection has fallen silent: waiting on would cost the request its time.
ATTEMPT_RESPONSE_TIMEOUT_S = 0.5
# The library's own end of an attempt comes so long after the attempt's timeout.
_TIMEOUT_MARGIN_S = 1.0
# Of the time after which endpoints close an idle connection, the part for which it is used again: the rest is
# left for a slow way and a busy moment. Idle ones are closed each tenth of that time.
_REUSE_PART, _SWEEP_PART = 0.8, 0.1
_LEAST_REUSE_S = _LEAST_SWEEP_S = 0.05
# Headers that the library would add by itself.
_SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
# Statuses of endpoints that need no line in the log.
_USUAL_STATUSES = (ACCEPTED, 500, 503, 504)
_CONNECTION_LOSSES = (AttemptResult.CONNECTION_LOST, AttemptResult.STALE_CONNECTION)


@dataclass(slots=True)
class _Exchange:
    """How an attempt's exchange has gone so far."""

    # The endpoint has taken it: what becomes of it comes by callback.
    accepted: bool = False
    result: str = AttemptResult.CONNECTION_LOST
    load_report: dict[str, float] | None = None


class UpstreamClient:
    """Sends attempts to endpoints, cancels them, and checks the endpoints' health.

    Args:
        settings: the router's settings as they are configured.
        sockets: the descriptors that the process may use.
        put: takes what is to be told the core.
        may_begin: asked directly before the first byte of each attempt.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        sockets: int,
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
        self._max_connections = max(8, sockets // 8)
        self.session = self._open_session(sockets, idle_s)
        # By attempt, or by what is done and to whom.
        self.tasks: dict[Any, asyncio.Task[None]] = {}
        self._bodies: dict[UpstreamAttempt, AttemptBody] = {}
        self._sweep_s = max(_LEAST_SWEEP_S, _SWEEP_PART * idle_s)
        self._sweep_timer: asyncio.TimerHandle | None = None

    def _open_session(self, sockets: int, idle_s: float) -> aiohttp.ClientSession:
        # Whether an exchange went over a kept connection: what breaks it says less then.
        trace = aiohttp.TraceConfig()
        trace.on_connection_reuseconn.append(_note_reuse)
        trace.on_request_headers_sent.append(_set_time_left)
        session = aiohttp.ClientSession(
            # An eighth of the descriptors may be in exchanges at once, a quarter of these with one endpoint,
            # which may be silent; as many again may stand idle.
            connector=aiohttp.TCPConnector(
                limit=self._max_connections,
                limit_per_host=max(2, sockets // 32),
                keepalive_timeout=max(_LEAST_REUSE_S, _REUSE_PART * idle_s),
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, connect=self._connect_s),
            skip_auto_headers=_SKIPPED_HEADERS,
            trust_env=False,
            trace_configs=[trace],
        )
        # A library that sends a second time by itself would make a second copy.
        session._retry_connection = False
        return session

    def set_connection_fraction(self, part: float) -> None:
        """Use this part of the connections allowed: another process of this dispatcher uses the rest."""
        self.session.connector._limit = max(4, int(self._max_connections * part))

    async def close(self) -> None:
        """Stop all that is under way and close every connection."""
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
        """The one place where a task is given back."""
        if self.tasks.get(key) is task:
            del self.tasks[key]
        if task.cancelled() or task.exception() is None:
            return
        if isinstance(key, UpstreamAttempt):
            result = AttemptResult.CONNECTION_LOST if key.write_started else AttemptResult.NOT_SENT
            self.put(AttemptFinished(key, result))
        self.counters["faults"] += 1
        log.write(LogEvent.FAULT, f"workers: {task.exception()!r}")

    def _schedule_sweep(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(self._sweep_s, self._close_idle)

    def _close_idle(self) -> None:
        """Close what stood idle: the library looks so seldom that the endpoint would close it first."""
        self.session.connector._cleanup()
        self._schedule_sweep()

    # ---------------------------------------------------------------- attempts

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt; its end, or that the endpoint took it, is told by message."""
        self._start(attempt, self._run_attempt(attempt))

    async def _run_attempt(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt; once that has ended nothing more of it goes out."""
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
        except aiohttp.SocketTimeoutError:
            self.counters["ho unanswered"] += not exchange.accepted
            if not attempt.callback_received and not exchange.accepted:
                # The endpoint may have taken it all the same: it is told before the request goes elsewhere.
                reused = attempt.reused_connection
                result = AttemptResult.STALE_CONNECTION if reused else AttemptResult.CONNECTION_LOST
                self._notify_cancel(attempt, result)
            return
        except (aiohttp.ClientError, OSError) as error:
            exchange.result = await self._result_of_failure(attempt, error)
            may_have_run = exchange.result in _CONNECTION_LOSSES and not exchange.accepted
            if may_have_run and not self._hedging:
                # Its 202 may have been lost with the connection: where requests may not be hedged, the
                # endpoint is told before the request goes anywhere else.
                self._notify_cancel(attempt, exchange.result, ended_by_endpoint(error))
                return
        if not exchange.accepted:
            self.put(AttemptFinished(attempt, exchange.result, exchange.load_report))

    async def _post(self, attempt: UpstreamAttempt, body: AttemptBody, exchange: _Exchange) -> None:
        """Send the request and read the response."""
        request = attempt.request
        # Waiting for one of the connections counts as connecting: an attempt that waited longer would go to
        # an endpoint that may long have been told to drain.
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
                # What becomes of it comes by callback, even if the connection breaks in this moment.
                exchange.accepted = True
                self.counters["ho accepted"] += 1
            await read_response_body(response)
            exchange.load_report = load_reports.parse_report_text(response.headers.get("X-Load-Report"), "=")
            exchange.result = result_of_response(response)
            if response.status not in _USUAL_STATUSES:
                log.write(LogEvent.ENDPOINT, f"{attempt.endpoint_id} answered {response.status}")

    async def _result_of_failure(self, attempt: UpstreamAttempt, error: Exception) -> str:
        """What a broken exchange proves; after a fault of this host a moment later."""
        is_local = is_local_error(error)
        if is_local:
            is_lacking = getattr(error, "errno", None) in OUT_OF_DESCRIPTORS | OUT_OF_MEMORY
            self.counters["no descriptor" if is_lacking else "no way out"] += 1
            log.write(LogEvent.SOCKETS, f"a connection to a worker failed here: {error}")
        result = result_of_failure(attempt, error, is_local)
        if result is AttemptResult.NOT_SENT and is_local:
            # Near its timeout it is told at once: a timeout that ends first counts against the endpoint.
            left_s = attempt.deadline_s - asyncio.get_running_loop().time()
            if left_s > LOCAL_FAULT_DELAY_S + MAX_PROCESS_PAUSE_S:
                await asyncio.sleep(LOCAL_FAULT_DELAY_S)
        return result

    # ---------------------------------------------------------------- cancellation

    def cancel_attempt(self, attempt: UpstreamAttempt, notify: bool) -> None:
        """Cancel an attempt: close its connection if that is still open, and tell the endpoint."""
        attempt.cancelled = True
        if ("delete", attempt) in self.tasks:
            return  # the endpoint is being told, and how that ends is
        body = self._bodies.get(attempt)
        never_sent = not attempt.write_started or (body is not None and body.abandon())
        sending = self.tasks.get(attempt)
        if sending is not None:
            sending.cancel()
        if never_sent:
            self.put(AttemptFinished(attempt, AttemptResult.NOT_SENT))
        elif notify:
            # Also before the 202 is read: it may be on its way, and then closing cancels nothing.
            self._notify_cancel(attempt, AttemptResult.CANCELLED)

    def _notify_cancel(self, attempt: UpstreamAttempt, result: str, by_endpoint: bool = False) -> None:
        """Tell the endpoint, in a task of its own: it goes on if the attempt is cancelled meanwhile.

        `by_endpoint` says that the endpoint itself ended the connection. Where the settings allow no
        cancelling, closing the connection before the 202 has to do.
        """
        if self._can_cancel:
            self._start(("delete", attempt), self._cancel(attempt, result, by_endpoint))
        else:
            self._finish_cancelled(attempt, result, is_confirmed=False)

    async def _cancel(self, attempt: UpstreamAttempt, result: str, by_endpoint: bool) -> None:
        """Tell the endpoint that an attempt is given up, and then the core how it ended."""
        cancellation = Cancellation(self.session, self.counters, attempt, by_endpoint, self._hedging)
        try:
            await cancellation.run()
        finally:
            self._finish_cancelled(attempt, result, cancellation.is_confirmed)

    def _finish_cancelled(self, attempt: UpstreamAttempt, result: str, is_confirmed: bool) -> None:
        # Where requests may not be hedged, one of which the endpoint did not hear may be running yet.
        is_certain = is_confirmed or self._hedging
        self.put(AttemptFinished(attempt, result if is_certain else AttemptResult.CANCEL_UNCONFIRMED))

    # ---------------------------------------------------------------- health checks

    def check_health(self, endpoint_id: str, address: str) -> None:
        """Ask an endpoint for its load report; one question at a time."""
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
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            result = AttemptResult.NOT_SENT if is_local_error(error) else AttemptResult.CONNECT_FAILED
        except TimeoutError:
            result = AttemptResult.TIMED_OUT
        except (aiohttp.ClientError, OSError):
            result = AttemptResult.CONNECTION_LOST
        self.put(HealthCheckEnded(endpoint_id, result, (loop.time() - started_s) * 1000.0, report))


async def _note_reuse(session: aiohttp.ClientSession, context: Any, params: object) -> None:
    attempt = context.trace_request_ctx
    if isinstance(attempt, UpstreamAttempt):
        attempt.reused_connection = True


async def _set_time_left(session: aiohttp.ClientSession, context: Any, params: Any) -> None:
    """Say how long the client still waits, once a connection is there and before the head is made.

    Guards against an endpoint that runs on for nobody: a connection may come up a second and a half late.
    """
    attempt = context.trace_request_ctx
    if isinstance(attempt, UpstreamAttempt):
        attempt.timeout_sent_s = asyncio.get_running_loop().time()
        left_s = attempt.deadline_s - attempt.timeout_sent_s
        params.headers["X-Budget-Ms"] = str(max(1, int(left_s * 1000.0)))
