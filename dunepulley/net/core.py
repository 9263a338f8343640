"""The event loop around the router: the one task that owns it, its queue and its clock.

Other parts of the process reach the router only by `Core.put` and `Core.ask`. Messages wait in a queue; the
task takes those that wait as one batch, turns them into the router's events, and has the commands that come
back carried out. No decision on requests is made here.
"""

from __future__ import annotations

import asyncio
import traceback
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

from dunepulley.clocks import Clock
from dunepulley.net import log
from dunepulley.net.command_executor import CommandExecutor
from dunepulley.net.counters import CALLBACKS_STRAY, CLIENTS_DISCONNECTED, FAULTS, Counters, attempts_with
from dunepulley.net.endpoint_list import EndpointList
from dunepulley.net.endpoint_view import EndpointView
from dunepulley.net.event_log import EventLog
from dunepulley.net.log_events import LogEvent
from dunepulley.net.loop_timers import LoopTimers
from dunepulley.net.messages import (
    MIN_TIMEOUT_MS,
    Answer,
    AttemptFinished,
    CallbackReceived,
    CallbackState,
    ClientGone,
    DrainsChanged,
    EndpointCountRequested,
    EndpointRefreshDue,
    EndpointsRequested,
    PlanReceived,
    RequestReceived,
    UpstreamAttempt,
    WarmStateReceived,
    WarmStateRequested,
    ZoneReportRequested,
)
from dunepulley.net.request_table import RequestTable, result_of_callback
from dunepulley.net.zone_statistics import ZoneStatistics
from dunepulley.routing import inspection, warm_state
from dunepulley.routing.commands import Fail
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptStarted,
    ClientDisconnected,
    Event,
    GossipReceived,
    HealthCheckEnded,
    SlowStartBudgetAssigned,
    TimerFired,
    in_order,
)
from dunepulley.routing.router import Router

# After a fault the router is woken this soon: what was due may have lost its timer.
WAKE_AFTER_FAULT_S = 0.01


class EventFeed:
    """Hands events on one by one and remembers how far it got, so that a fault loses no more than one."""

    def __init__(self, events: list[Event]) -> None:
        self.left = deque(events)
        self.current: Event | None = None  # None between two events and after the last

    def __iter__(self) -> Iterator[Event]:
        while self.left:
            self.current = self.left.popleft()
            yield self.current
            self.current = None


class Core:
    """Owns the `Router`, its queue, and the parts that keep its requests, endpoints and timers.

    `now` is the time of the present batch, `clock` the time of this moment; both are Unix time in ms.
    """

    def __init__(
        self,
        seed: int,
        settings: dict[str, object],
        known: EndpointList,
        counters: Counters,
        clock: Clock | None = None,
    ) -> None:
        self.clock = clock if clock is not None else Clock()
        self.now = self.clock()
        self.settings = settings
        self.counters = counters
        self.queue: asyncio.Queue[Any] = asyncio.Queue()
        self.events: list[Event] = []
        # What goes through the router is written here, where `serve --events` asks for it.
        self.event_log: EventLog | None = None
        self.router = Router(seed, settings, self.now)
        self.requests = RequestTable()
        self.endpoints = EndpointView(self.clock, self._add_event)
        self.statistics = ZoneStatistics()
        self.timers = LoopTimers(self.put)
        self.executor = CommandExecutor(
            self.clock,
            self.put,
            self.requests,
            self.endpoints,
            self.statistics,
            self.timers,
            counters,
            cancel_notifies=bool(settings.get("policyLimits.cancel")),
        )
        self.put(known)

    # ---------------------------------------------------------------- for other parts of the process

    def put(self, message: Any) -> None:
        """Leave a message for the task: one of `net.messages`, a router event, or a `EndpointList`."""
        self.queue.put_nowait(message)

    async def ask(self, kind: Callable[..., Any], *fields: Any) -> Any:
        """Leave a message whose last field is the future of its answer, and wait for that."""
        answer = asyncio.get_running_loop().create_future()
        self.put(kind(*fields, answer))
        return await answer

    def log_event(self, text: str) -> None:
        """Write to the event log what the router is not told of."""
        if self.event_log is not None:
            self.event_log.write_line(self.clock(), text)

    def can_serve(self) -> bool:
        """Whether an endpoint is ready."""
        return bool(self.endpoints.ready_ids)

    def may_begin(self, attempt: UpstreamAttempt) -> bool:
        """Whether an attempt may still start: asked directly before the first byte of each.

        Guards against all that changes after the decision, while a connection comes up or is waited for: the
        client disconnects, the endpoint drains or starts anew elsewhere, a timeout or a retry window ends.
        """
        request = attempt.request
        if attempt.cancelled or request.answer.done():
            return False
        if not self.endpoints.is_ready_at(attempt.endpoint_id, attempt.address):
            return False
        if self.clock() >= attempt.start_before_ms:
            return False
        # Asked last, behind the clock: a close that came while the process was held up is not read yet.
        if request.client_closed():
            self.put(ClientGone(request))
            return False
        return True

    # ---------------------------------------------------------------- the loop

    async def run(self) -> None:
        """Take what waits as one batch, until the task is cancelled."""
        queue = self.queue
        try:
            while True:
                batch = [await queue.get()]
                while not queue.empty():
                    batch.append(queue.get_nowait())
                self.now = self.clock()
                for message in batch:
                    try:
                        HANDLERS[type(message)](self, message)
                    except Exception:
                        self._log_fault("message", message)
                self._decide()
                self.requests.remove_finished()
        finally:
            self.timers.cancel_all()

    def _decide(self) -> None:
        """Give the router the events of the batch and have its commands carried out."""
        events = in_order(self.events)
        self.events = []
        if self.event_log is not None:
            self.event_log.write_batch(self.now, events)
        feed = EventFeed(events)
        while True:
            try:
                commands = self.router.handle(self.now, feed)
            except Exception:
                # A fault must neither end this task nor leave the rest of the batch unread.
                commands = self.router.commands
                self._recover(feed.current)
            if self.event_log is not None:
                self.event_log.write_batch(self.now, commands)
            for command in commands:
                try:
                    self.executor.execute(command, self.now)
                except Exception:
                    self._log_fault("command", command)
            if not feed.left:
                return

    def _recover(self, event: Event | None) -> None:
        """Fail the request whose event the router failed on, and wake the router soon."""
        self._log_fault("event", event)
        item = self.requests.get(getattr(event, "request_id", ""))
        if item is not None and not item.answered:
            self.put(ClientGone(item.request))
            item.request.settle(Answer(Fail))
        asyncio.get_running_loop().call_later(WAKE_AFTER_FAULT_S, self.put, TimerFired(0))

    def _log_fault(self, where: str, what: object) -> None:
        self.counters[FAULTS] += 1
        text = traceback.format_exc(limit=-3).strip()
        log.write(LogEvent.FAULT, f"{where} {type(what).__name__}: {text}")

    def _add_event(self, event: Event) -> None:
        self.events.append(event)

    # ---------------------------------------------------------------- requests and attempts

    def _on_request(self, message: RequestReceived) -> None:
        request = message.request
        self.requests.add(request)
        arrived = request.arrived
        if self.endpoints.follower is not None:
            self.statistics.expected_work_ms += inspection.expected_work(self.router, arrived)
        # Its timeout has run since it was received, however long it waited in the queue.
        timeout_ms = max(MIN_TIMEOUT_MS, arrived.timeout_ms - (self.now - request.received_ms))
        self.events.append(arrived._replace(timeout_ms=timeout_ms))

    def _on_client_gone(self, message: ClientGone) -> None:
        if self.requests.disconnect(message.request):
            self.counters[CLIENTS_DISCONNECTED] += 1
            self.events.append(ClientDisconnected(message.request.arrived.request_id))

    def _on_attempt_finished(self, message: AttemptFinished) -> None:
        self._end_attempt(message.attempt, message.result, message.load_report)

    def _on_callback(self, message: CallbackReceived) -> None:
        item = self.requests.get(message.request_id)
        attempts = item.attempts_at(message.endpoint_id) if item is not None else []
        if not attempts or attempts[-1].result:
            self.counters[CALLBACKS_STRAY] += 1
            return
        attempt = attempts[-1]
        attempt.callback_received = True
        if message.state in (CallbackState.STARTED, CallbackState.RUNNING):
            self.events.append(AttemptStarted(message.request_id, attempt.number, message.progress))
            return
        result = result_of_callback(message.state, attempts[:-1])
        self._end_attempt(attempt, result, message.load_report, message.result)

    def _end_attempt(
        self, attempt: UpstreamAttempt, result: str, load_report: dict[str, float] | None, body: bytes = b""
    ) -> None:
        if not self.requests.end_attempt(attempt, result, body):
            return
        self.counters[attempts_with(result)] += 1
        if self.endpoints.follower is not None:
            entry = self.endpoints.entries.get(attempt.endpoint_id)
            if entry is not None:
                self.statistics.count_attempt(entry.zone, attempt, self.now)
        request_id = attempt.request.arrived.request_id
        answered = self.requests[request_id].answered
        duration_ms = self.now - attempt.started_ms
        self.events.append(
            AttemptEnded(
                request_id, attempt.number, result, attempt.endpoint_id, duration_ms, answered, load_report
            )
        )

    # ---------------------------------------------------------------- endpoints

    def _on_list(self, message: EndpointList) -> None:
        self.endpoints.update_list(message, self.now, self.router, self._may_send_changes())
        if self.endpoints.follower is not None:
            self._schedule_refresh()

    def _may_send_changes(self) -> bool:
        """Whether of a full list the router needs to be told only what differs from the one in hand.

        Not where a size that is reported again is news (`live`), nor after a fault, which loses an event.
        """
        return self.settings.get("weightSource") != "live" and not self.counters[FAULTS]

    def _on_drains(self, message: DrainsChanged) -> None:
        taken = self.endpoints.take_drains(message.drains)
        if taken:
            self._refresh_endpoints()
        resolve(message.answer, taken)

    def _on_plan(self, message: PlanReceived) -> None:
        taken = self.endpoints.take_plan(message.held)
        if taken:
            self._refresh_endpoints()
        resolve(message.answer, taken)

    def _on_refresh_due(self, message: EndpointRefreshDue) -> None:
        self._refresh_endpoints()

    def _refresh_endpoints(self) -> None:
        self.endpoints.refresh(self.now, self.router)
        self._schedule_refresh()

    def _schedule_refresh(self) -> None:
        self.timers.schedule_refresh(self.endpoints.next_refresh_ms(self.now))

    # ---------------------------------------------------------------- questions

    def _on_endpoint_count_requested(self, message: EndpointCountRequested) -> None:
        resolve(message.answer, inspection.count_endpoints(self.router))

    def _on_endpoints_requested(self, message: EndpointsRequested) -> None:
        if not message.answer.done():
            message.answer.set_result(self.endpoints.describe(self.now, self.router))

    def _on_zone_report_requested(self, message: ZoneReportRequested) -> None:
        if not message.answer.done():
            message.answer.set_result(self.statistics.report(self.endpoints, self.router, self.now))

    def _on_warm_state_requested(self, message: WarmStateRequested) -> None:
        if not message.answer.done():
            message.answer.set_result(warm_state.export_state(self.router))

    def _on_warm_state(self, message: WarmStateReceived) -> None:
        warm_state.import_state(self.router, message.state)


def resolve(answer: asyncio.Future[Any], value: object) -> None:
    """Answer a question, unless whoever asked no longer waits."""
    if not answer.done():
        answer.set_result(value)


HANDLERS: dict[type, Callable[[Core, Any], None]] = {
    RequestReceived: Core._on_request,
    ClientGone: Core._on_client_gone,
    AttemptFinished: Core._on_attempt_finished,
    CallbackReceived: Core._on_callback,
    EndpointList: Core._on_list,
    DrainsChanged: Core._on_drains,
    PlanReceived: Core._on_plan,
    EndpointRefreshDue: Core._on_refresh_due,
    EndpointCountRequested: Core._on_endpoint_count_requested,
    EndpointsRequested: Core._on_endpoints_requested,
    ZoneReportRequested: Core._on_zone_report_requested,
    WarmStateRequested: Core._on_warm_state_requested,
    WarmStateReceived: Core._on_warm_state,
    HealthCheckEnded: Core._add_event,
    SlowStartBudgetAssigned: Core._add_event,
    GossipReceived: Core._add_event,
    TimerFired: Core._add_event,
}
