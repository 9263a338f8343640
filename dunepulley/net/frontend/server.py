"""The front server: requests from clients, callbacks and health checks, and their answers.

`FrontendServer` owns the listening socket and the connections that come in over it. Each request has one
handler, which owes the client its answer; when the client goes, the handler tells the router's task.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from aiohttp import web

from dunepulley.net import callbacks, log
from dunepulley.net.callbacks import MalformedError
from dunepulley.net.core import Core
from dunepulley.net.counters import Counters
from dunepulley.net.frontend.connection import Connection
from dunepulley.net.frontend.connection_table import ConnectionTable
from dunepulley.net.frontend.framing import MAX_BODY_BYTES
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

# The library's own wait, which is not to end: a hundred years.
LIBRARY_KEEP_ALIVE_S = 3.2e9
# Should the router ever leave a request unanswered, it is failed this long after its timeout.
UNANSWERED_GRACE_MS = 30.0
# At the end of the process: how long answers that were given may take to leave it, and how often that is
# looked at. With it a shutdown ends as SIGKILL may come.
FINAL_RESPONSES_TIMEOUT_S, POLL_INTERVAL_S = 0.2, 0.01
# Why clients are sent away, if they are: an operator asked, the process is to end, or another serves
# in its place.
SERVING, DRAINED, SHUTTING_DOWN, HANDED_OVER = "", "drained", "ending", "handed over"


class FrontendServer:
    """Serves clients, and whoever else calls at their address."""

    def __init__(
        self, core: Core, settings: dict[str, Any], sockets: int, counters: Counters, by_key: bool = False
    ) -> None:
        self.core = core
        self.counters = counters
        self.callbacks = callbacks.Callbacks(core.put, self.has_request, counters)
        names, effects = [class_settings(settings, what) for what in ("name", "effect")]
        self.requires_key = {
            str(number) if name is None else name: effect == Idempotency.KEYED
            for number, (name, effect) in enumerate(zip(names, effects, strict=True))
        }
        # Each request in hand holds a connection: a third of the descriptors at most. Nine sixteenths are for
        # all that comes in, callbacks and silent connections included, one is for operators, the rest for
        # endpoints and discovery.
        self.max_requests = min(sockets // 3, int(settings.get("policyLimits.openCap", sockets)))
        self.waiting: dict[str, PendingRequest] = {}
        self.parser = RequestParser(core.clock, self.requires_key, by_key, self.has_request)
        self.recorder: Recorder | None = None
        self.none_waiting = asyncio.Event()
        self.drain_state, self.is_rejecting = SERVING, False
        self.timer: asyncio.TimerHandle | None = None
        self.server = ConnectionTable(
            self._serve,
            sockets * 9 // 16,
            counters,
            handler_cancellation=True,
            request_factory=_request,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=LIBRARY_KEEP_ALIVE_S,
        )
        self.listener = Listener(
            LogEvent.FRONTEND, self.server.connection, self.server.evict_connection, counters
        )

    # ---------------------------------------------------------------- leaving

    def leave(self, why: str, serving: float) -> None:
        """Send clients away: nobody new is to come, and after `serving` seconds all connections are closed.

        Who has a connection is served until then. A state entered before stays as far as it has come; what is
        undone less easily takes the place of what is undone more easily, never the other way round.
        """
        rank = (SERVING, DRAINED, SHUTTING_DOWN, HANDED_OVER).index
        entered = rank(why) > rank(self.drain_state)
        if entered:
            self.drain_state = why
        if self.is_rejecting:
            self._tell_waiting()
        elif entered:
            self._stop_timer()
            self.timer = asyncio.get_running_loop().call_later(serving, self._last_call)

    def join(self, after: str = DRAINED) -> bool:
        """Take clients again after a drain, or after what is named; anything else is not undone."""
        if self.drain_state == after:
            self._stop_timer()
            self.drain_state, self.is_rejecting = SERVING, False
            self.none_waiting.clear()
        return self.drain_state == SERVING

    def _last_call(self) -> None:
        """From now on no request is taken and every response ends its connection; callbacks still come."""
        self.timer = None
        self.is_rejecting = True
        self.server.close_idle()
        self._tell_waiting()

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def fail_waiting_requests(self) -> None:
        """No time is left: whatever waits fails, with no promise about its effect."""
        for job in list(self.waiting.values()):
            job.settle(Answer(Fail))
            self.core.put(ClientGone(job))

    async def close(self) -> None:
        """Close all connections, those with an answer under way a moment later.

        What is read after the library has shut down would be dropped: so nothing may come any more by then.
        """
        self._stop_timer()
        self.is_rejecting = True
        self.fail_waiting_requests()
        self.listener.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINAL_RESPONSES_TIMEOUT_S):
                await self.listener.wait_connected()
                self.server.close_idle(close_all=True)
                while self.server.has_unsent_responses():
                    await asyncio.sleep(POLL_INTERVAL_S)
        self.server.close_idle(close_all=True)
        await self.server.shutdown(POLL_INTERVAL_S)

    def _tell_waiting(self) -> None:
        if self.is_rejecting and not self.waiting:
            self.none_waiting.set()

    # ---------------------------------------------------------------- requests

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol.transport.get_protocol()
        try:
            response, ended = await self._route(request, connection)
            # After SIGTERM who is connected may have nowhere else to go for a while.
            if not connection.is_endpoint and (
                self.is_rejecting or self.drain_state not in (SERVING, SHUTTING_DOWN)
            ):
                response.force_close()
            await response.prepare(request)
            await response.write_eof()
            if ended:
                self.counters[ended] += 1
        finally:
            connection.finish_request()
        return response

    async def _route(
        self, request: web.BaseRequest, connection: Connection
    ) -> tuple[web.StreamResponse, str]:
        """What to answer, and what that is to a category: counted once its last byte is written."""
        path = request.raw_path.partition("?")[0]
        if path == "/_health":
            # Handed over, the process that took over says yes itself: here only old connections ask.
            well = self.core.can_serve() and self.drain_state in (SERVING, HANDED_OVER)
            return web.Response(status=200 if well else 503), ""
        try:
            if path == callbacks.PATH and request.method == "POST":
                response = await self.callbacks.receive(await read_body(request))
                connection.has_sent_request = connection.is_endpoint = True
                return response, ""
            if request.method != "POST":
                raise MalformedError(405, "work items come by POST")
            job = await self.parser.parse(request, connection)
        except MalformedError as problem:
            status, reason = problem.args
            self.server.count_rejection(status, reason)
            response = web.Response(status=status, text=reason + "\n")
            # Who sends what cannot be used is not given a descriptor to keep.
            response.force_close()
            return response, ""
        category = job.arrived.request_class
        if self.is_rejecting or len(self.waiting) >= self.max_requests:
            # Rejected before it reaches the router: nothing has been sent of it, so a retry is harmless.
            self.counters["turned away 503"] += 1
            log.write(LogEvent.FRONTEND, "a work item was turned away: ending, or too many are open")
            response = web.Response(status=503)
            response.force_close()
            return response, outcome_counter(category, REJECTED)
        connection.has_sent_request = True
        response, how = await self._answer(job)
        return response, outcome_counter(category, how)

    def accepts_clients(self) -> bool:
        """Whether clients are to be sent to this process."""
        return self.core.can_serve() and self.listener.accepting and self.drain_state == SERVING

    def has_request(self, wi: str) -> bool:
        """Whether a request is in hand here."""
        return wi in self.waiting or wi in self.core.requests

    async def _answer(self, job: PendingRequest) -> tuple[web.Response, str]:
        """Wait for the final answer, and which it is; the one place where a waiting item is given back."""
        wi = job.arrived.request_id
        self.waiting[wi] = job
        self.counters["taken"] += 1
        if self.recorder is not None:
            told = job.arrived
            self.recorder.record_request(
                job.received_ms, told.request_class, told.timeout_ms, told.expected_ms, len(job.body)
            )
        self.core.put(RequestReceived(job))
        try:
            async with asyncio.timeout(
                (job.arrived.timeout_ms + DELIVERY_MARGIN_MS + UNANSWERED_GRACE_MS) / 1000.0
            ):
                answer = await job.answer
        except TimeoutError:
            self.counters["overdue"] += 1
            log.write(LogEvent.FRONTEND, "the module left a work item unanswered; written off")
            answer = Answer(Fail)
        finally:
            del self.waiting[wi]
            self._tell_waiting()
            if not job.answer.done() or job.answer.cancelled():
                self.core.put(ClientGone(job))
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
