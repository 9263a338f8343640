"""The HTTP server for client requests, endpoints' callbacks and health checks.

`FrontendServer` owns the listening socket and the connections accepted from it. Each request is handled by
one task, which responds to the client, or notifies the core when the client disconnects.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Container
from typing import Any

from aiohttp import web

from dunepulley.net import callbacks, log
from dunepulley.net.abandoned_requests import AbandonedRequests
from dunepulley.net.callbacks import MalformedError
from dunepulley.net.core import Core
from dunepulley.net.counters import Counters
from dunepulley.net.frontend.connection import Connection
from dunepulley.net.frontend.connection_table import ConnectionTable
from dunepulley.net.frontend.limits import MAX_BODY_BYTES
from dunepulley.net.frontend.request_parser import DELIVERY_MARGIN_MS, RequestParser, read_body
from dunepulley.net.listener import Listener
from dunepulley.net.log_events import LogEvent
from dunepulley.net.messages import Answer, ClientGone, PendingRequest, RequestReceived
from dunepulley.net.metrics import ANSWERED, FAILED, REJECTED, outcome_counter
from dunepulley.net.recorder import Recorder
from dunepulley.net.settings_document import class_settings
from dunepulley.routing.commands import Fail, Reject
from dunepulley.routing.events import AttemptEnded
from dunepulley.routing.settings import Idempotency

# aiohttp's keep-alive timeout: a hundred years, as `Connection` has a timer of its own.
LIBRARY_KEEP_ALIVE_S = 3.2e9
# A request that the router leaves unanswered is failed this long after its timeout.
UNANSWERED_GRACE_MS = 30.0
# When the process ends: the time to write the last responses, and the polling interval meanwhile. A shutdown
# that uses all of this time ends when SIGKILL may come.
FINAL_RESPONSES_TIMEOUT_S, POLL_INTERVAL_S = 0.2, 0.01
# A client that has just connected may be about to send its request; on a busy machine it needs some time.
FIRST_REQUEST_WINDOW_S = 0.1
# Values of `FrontendServer.drain_state`: whether clients are served, or why they are sent to other
# dispatchers: an operator's request, the end of the process, or another process that has taken over.
SERVING, DRAINED, SHUTTING_DOWN, HANDED_OVER = "", "drained", "ending", "handed over"


class FrontendServer:
    """Serves clients, callbacks and health checks at one address.

    Args:
        core: decides about requests; receives messages about them.
        settings: the router's settings, by their configured names.
        max_descriptors: the number of file descriptors that the process may use.
        affinity_by_path: whether the last segment of a request's path is its affinity key.
    """

    def __init__(
        self,
        core: Core,
        settings: dict[str, Any],
        max_descriptors: int,
        counters: Counters,
        affinity_by_path: bool = False,
    ) -> None:
        self.core = core
        self.counters = counters
        self.callbacks = callbacks.Callbacks(core.put, self.has_request, counters)
        names, effects = [class_settings(settings, field) for field in ("name", "effect")]
        self.requires_key = {
            str(number) if name is None else name: effect == Idempotency.KEYED
            for number, (name, effect) in enumerate(zip(names, effects, strict=True))
        }
        # Each request in progress holds a connection: at most a third of the descriptors. Nine sixteenths are
        # for all incoming connections, with callbacks and idle ones, one sixteenth is for operators, and the
        # remainder for endpoints and discovery.
        self.max_requests = min(
            max_descriptors // 3, int(settings.get("policyLimits.openCap", max_descriptors))
        )
        self.waiting: dict[str, PendingRequest] = {}
        # During a hot restart: the ids that the other process has taken, and what to call with each id taken.
        self.foreign_requests: Container[str] = frozenset()
        self.announce_request: Callable[[str], None] | None = None
        self.announce_abandoned: Callable[[str], None] | None = None
        self.abandoned_requests = AbandonedRequests()
        core.requests.on_abandoned = self._abandon
        self.parser = RequestParser(core.clock, self.requires_key, affinity_by_path, self.is_taken)
        self.recorder: Recorder | None = None
        self.none_waiting = asyncio.Event()
        self.drain_state, self.is_rejecting = SERVING, False
        self.timer: asyncio.TimerHandle | None = None
        self.server = ConnectionTable(
            self._serve,
            max_descriptors * 9 // 16,
            counters,
            request_factory=_request,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=LIBRARY_KEEP_ALIVE_S,
        )
        self.listener = Listener(
            LogEvent.FRONTEND, self.server.connection, self.server.evict_connection, counters
        )

    # ---------------------------------------------------------------- draining

    def leave(self, state: str, grace_s: float) -> None:
        """Enter a drain state: new clients are to go elsewhere, and requests are rejected after `grace_s`.

        Connected clients are served until then. A state replaces only those before it in the order DRAINED,
        SHUTTING_DOWN, HANDED_OVER, so that a state is never replaced by one that is easier to revoke.
        Entering a state restarts the time `grace_s`, unless requests are rejected already.
        """
        rank = (SERVING, DRAINED, SHUTTING_DOWN, HANDED_OVER).index
        is_entered = rank(state) > rank(self.drain_state)
        if is_entered:
            self.drain_state = state
        if self.is_rejecting:
            self._update_none_waiting()
        elif is_entered:
            self._stop_timer()
            self.timer = asyncio.get_running_loop().call_later(grace_s, self._start_rejecting)

    def join(self, after: str = DRAINED) -> bool:
        """Serve clients again if the drain state is `after`; return whether clients are served now."""
        if self.drain_state == after:
            self._stop_timer()
            self.drain_state, self.is_rejecting = SERVING, False
            self.none_waiting.clear()
        return self.drain_state == SERVING

    def _start_rejecting(self) -> None:
        """Reject new requests and close each connection after its response; callbacks are still received."""
        self.timer = None
        self.is_rejecting = True
        self.server.close_idle()
        self._update_none_waiting()

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def fail_waiting_requests(self) -> None:
        """Fail all waiting requests with status 500, because no time is left; they may have been executed."""
        for request in list(self.waiting.values()):
            request.settle(Answer(Fail))
            self.core.put(ClientGone(request))

    async def close(self) -> None:
        """Close all connections, after a short wait for responses that are being written.

        Requests received after aiohttp's shutdown would be dropped, so the listener is closed first. Clients
        that wait to be accepted may have sent their requests: these are accepted before that, and rejected.
        """
        self._stop_timer()
        self.is_rejecting = True
        self.fail_waiting_requests()
        self.listener.accept_waiting()
        self.listener.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINAL_RESPONSES_TIMEOUT_S):
                await self.listener.wait_connected()
                self.server.close_idle(close_all=True, min_age_s=FIRST_REQUEST_WINDOW_S)
                while self.server.new or self.server.has_unsent_responses():
                    await asyncio.sleep(POLL_INTERVAL_S)
                    self.server.close_idle(close_all=True, min_age_s=FIRST_REQUEST_WINDOW_S)
        self.server.close_idle(close_all=True)
        await self.server.shutdown(POLL_INTERVAL_S)

    def _update_none_waiting(self) -> None:
        if self.is_rejecting and not self.waiting:
            self.none_waiting.set()

    # ---------------------------------------------------------------- requests

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol.transport.get_protocol()
        try:
            response, outcome = await self._route(request, connection)
            if not connection.is_kept_open or self._sends_clients_away(connection):
                response.force_close()
            connection.start_response(len(response.body or b""))
            with contextlib.suppress(ConnectionError):  # the client has gone
                await response.prepare(request)
                await response.write_eof()
                if outcome:
                    self.counters[outcome] += 1
            # The library keeps both until the next request on this connection.
            request._read_bytes = response.body = None
        finally:
            connection.finish_request()
        return response

    def _sends_clients_away(self, connection: Connection) -> bool:
        """Return whether a connection is closed after its response, so that its client goes elsewhere.

        After SIGTERM connected clients are still served: they may have no other dispatcher for a while.
        """
        is_leaving = self.is_rejecting or self.drain_state not in (SERVING, SHUTTING_DOWN)
        return is_leaving and not connection.is_endpoint

    async def _route(
        self, request: web.BaseRequest, connection: Connection
    ) -> tuple[web.StreamResponse, str]:
        """Return the response, and the counter to increment once it is written, or an empty name."""
        path = request.raw_path.partition("?")[0]
        if path == "/_health":
            # After a hot restart only old connections send checks here; the child process answers all others.
            is_healthy = self.core.can_serve() and self.drain_state in (SERVING, HANDED_OVER)
            return web.Response(status=200 if is_healthy else 503), ""
        try:
            if path == callbacks.PATH and request.method == "POST":
                response = await self.callbacks.receive(await read_body(request))
                connection.has_sent_request = connection.is_endpoint = True
                return response, ""
            if request.method != "POST":
                raise MalformedError(405, "work items come by POST")
            pending = await self.parser.parse(request, connection)
        except MalformedError as problem:
            status, reason = problem.args
            self.server.count_rejection(status, reason)
            response = web.Response(status=status, text=reason + "\n")
            # A client that sends malformed requests must not hold a descriptor.
            response.force_close()
            return response, ""
        request_class = pending.arrived.request_class
        if self.is_rejecting or len(self.waiting) >= self.max_requests:
            # Rejected before it reaches the router: no attempt was sent, so that the client may safely retry.
            self.counters["turned away 503"] += 1
            log.write(LogEvent.FRONTEND, "request rejected: shutting down, or too many requests in progress")
            response = web.Response(status=503)
            response.force_close()
            return response, outcome_counter(request_class, REJECTED)
        connection.has_sent_request = True
        response, outcome = await self._answer(pending)
        return response, outcome_counter(request_class, outcome)

    def accepts_clients(self) -> bool:
        """Return whether this process is ready for new clients."""
        return self.core.can_serve() and self.listener.accepting and self.drain_state == SERVING

    def has_request(self, request_id: str) -> bool:
        """Return whether a request is in progress in this process."""
        return request_id in self.waiting or request_id in self.core.requests

    def is_taken(self, request_id: str) -> bool:
        """Return whether an id is taken, here or in a process that serves beside this one.

        Its request is in progress, or may have run although its client has gone.
        """
        return (
            self.has_request(request_id)
            or request_id in self.foreign_requests
            or request_id in self.abandoned_requests
        )

    def _abandon(self, request_id: str) -> None:
        """Record that a request may have run whose client has gone."""
        self.abandoned_requests.add([request_id])
        if self.announce_abandoned is not None:
            self.announce_abandoned(request_id)

    def request_ids(self) -> list[str]:
        """Return the ids of the requests that are in progress in this process."""
        return list({*self.waiting, *self.core.requests})

    async def _answer(self, request: PendingRequest) -> tuple[web.Response, str]:
        """Pass a request to the core and wait for its answer; return the response and the outcome.

        The request is in `waiting` meanwhile.
        """
        request_id = request.arrived.request_id
        self.waiting[request_id] = request
        self.counters["taken"] += 1
        if self.announce_request is not None:
            self.announce_request(request_id)
        if self.recorder is not None:
            arrived = request.arrived
            self.recorder.record_request(
                request.received_ms,
                arrived.request_class,
                arrived.timeout_ms,
                arrived.expected_ms,
                len(request.body),
            )
        self.core.put(RequestReceived(request))
        try:
            async with asyncio.timeout(
                (request.arrived.timeout_ms + DELIVERY_MARGIN_MS + UNANSWERED_GRACE_MS) / 1000.0
            ):
                answer = await request.answer
        except TimeoutError:
            self.counters["overdue"] += 1
            log.write(
                LogEvent.FRONTEND, "the router left a request unanswered past its timeout; it is failed"
            )
            answer = Answer(Fail)
        finally:
            del self.waiting[request_id]
            self._update_none_waiting()
            if not request.answer.done() or request.answer.cancelled():
                self.core.put(ClientGone(request))
        return self._response(answer)

    def _response(self, answer: Answer) -> tuple[web.Response, str]:
        if answer.kind is AttemptEnded:
            return web.Response(body=answer.body), ANSWERED
        if answer.kind is Reject:
            headers = (
                {"Retry-After": f"{answer.retry_after_ms / 1000.0:.3f}"}
                if answer.retry_after_ms > 0.0
                else None
            )
            return web.Response(status=503, headers=headers), REJECTED
        return web.Response(status=500), FAILED


def _request(message: Any, payload: Any, protocol: Any, writer: Any, task: Any) -> web.BaseRequest:
    loop = asyncio.get_running_loop()
    return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=MAX_BODY_BYTES)
