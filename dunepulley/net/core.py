"""The event loop around the router: one task owns the router, its queue and its clock.

Other parts of the process reach the router only through `Core.put` and `Core.ask`. Messages are queued; the
task takes all queued messages as one batch, converts them to router events, and executes the commands that
the router returns. No decisions about requests are made here.
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

# Delay of the timer event that is sent to the router after a fault, which may have lost one of its timers.
WAKE_AFTER_FAULT_S = 0.01


class EventFeed:
    """Iterates over events and keeps its position, so that an exception loses at most one event."""

    def __init__(self, events: list[Event]) -> None:
        self.remaining = deque(events)
        self.current: Event | None = None  # None between two events and after the last

    def __iter__(self) -> Iterator[Event]:
        while self.remaining:
            self.current = self.remaining.popleft()
            yield self.current
            self.current = None


class Core:
    """Owns the `Router`, its queue, and the tables of requests, endpoints and timers.

    `now` is the time of the current batch and `clock` returns the present time; both are Unix time in ms.
    """

    def __init__(
        self,
        seed: int,
        settings: dict[str, object],
        initial_list: EndpointList,
        counters: Counters,
        clock: Clock | None = None,
    ) -> None:
        self.clock = clock if clock is not None else Clock()
        self.now = self.clock()
        self.settings = settings
        self.counters = counters
        self.queue: asyncio.Queue[Any] = asyncio.Queue()
        self.events: list[Event] = []
        # Records the router's events and commands; set if `serve --events` was given.
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
        self.put(initial_list)

    # ---------------------------------------------------------------- called by other parts of the process

    def put(self, message: Any) -> None:
        """Queue a message for the task: one of `net.messages`, a router event, or an `EndpointList`."""
        self.queue.put_nowait(message)

    async def ask(self, kind: Callable[..., Any], *fields: Any) -> Any:
        """Queue a message whose last field is the future of its answer, and wait for the answer."""
        answer = asyncio.get_running_loop().create_future()
        self.put(kind(*fields, answer))
        return await answer

    def log_event(self, text: str) -> None:
        """Write an entry to the event log for something that is not a router event."""
        if self.event_log is not None:
            self.event_log.write_line(self.clock(), text)

    def can_serve(self) -> bool:
        """Whether at least one endpoint is ready."""
        return bool(self.endpoints.ready_ids)

    def may_begin(self, attempt: UpstreamAttempt) -> bool:
        """Whether an attempt may still start; called immediately before its first byte is sent.

        Guards against changes since the routing decision, while the connection was established or waited for:
        the client disconnected, the attempt has ended, the endpoint is draining or restarted at another
        address, or a timeout or a retry window ended.
        """
        request = attempt.request
        if attempt.cancelled or attempt.result or request.answer.done():
            return False
        if not self.endpoints.is_ready_at(attempt.endpoint_id, attempt.address):
            return False
        if self.clock() >= attempt.start_before_ms:
            return False
        # Checked last, after the clock: the event loop may not have read a close that arrived while the
        # process was stalled.
        if request.client_closed():
            self.put(ClientGone(request))
            return False
        return True

    # ---------------------------------------------------------------- the loop

    async def run(self) -> None:
        """Process all queued messages as one batch, repeatedly, until the task is cancelled."""
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
        """Pass the events of the batch to the router and execute the commands that it returns."""
        events = in_order(self.events)
        self.events = []
        if self.event_log is not None:
            self.event_log.write_batch(self.now, events)
        feed = EventFeed(events)
        while True:
            try:
                commands = self.router.handle(self.now, feed)
            except Exception:
                # An exception must not end this task, nor prevent the rest of the batch from being processed.
                commands = self.router.commands
                self._recover(feed.current)
            if self.event_log is not None:
                self.event_log.write_batch(self.now, commands)
            for command in commands:
                try:
                    self.executor.execute(command, self.now)
                except Exception:
                    self._log_fault("command", command)
            if not feed.remaining:
                return

    def _recover(self, event: Event | None) -> None:
        """Fail the request whose event raised an exception in the router, and schedule a timer event."""
        self._log_fault("event", event)
        open_request = self.requests.get(getattr(event, "request_id", ""))
        if open_request is not None and not open_request.answered:
            self.put(ClientGone(open_request.request))
            open_request.request.settle(Answer(Fail))
        asyncio.get_running_loop().call_later(WAKE_AFTER_FAULT_S, self.put, TimerFired(0))

    def _log_fault(self, stage: str, cause: object) -> None:
        self.counters[FAULTS] += 1
        text = traceback.format_exc(limit=-3).strip()
        log.write(LogEvent.FAULT, f"{stage} {type(cause).__name__}: {text}")

    def _add_event(self, event: Event) -> None:
        self.events.append(event)

    # ---------------------------------------------------------------- requests and attempts

    def _on_request(self, message: RequestReceived) -> None:
        request = message.request
        self.requests.add(request)
        arrived = request.arrived
        if self.endpoints.follower is not None:
            self.statistics.expected_work_ms += inspection.expected_work(self.router, arrived)
        # The timeout runs from the time of receipt, including the time that the request waited in the queue.
        timeout_ms = max(MIN_TIMEOUT_MS, arrived.timeout_ms - (self.now - request.received_ms))
        self.events.append(arrived._replace(timeout_ms=timeout_ms))

    def _on_client_gone(self, message: ClientGone) -> None:
        if self.requests.disconnect(message.request):
            self.counters[CLIENTS_DISCONNECTED] += 1
            self.events.append(ClientDisconnected(message.request.arrived.request_id))

    def _on_attempt_finished(self, message: AttemptFinished) -> None:
        self._end_attempt(message.attempt, message.result, message.load_report)

    def _on_callback(self, message: CallbackReceived) -> None:
        open_request = self.requests.get(message.request_id)
        attempts = open_request.attempts_at(message.endpoint_id) if open_request is not None else []
        if not attempts or attempts[-1].result:
            self.counters[CALLBACKS_STRAY] += 1
            return
        attempt = attempts[-1]
        attempt.callback_received = True
        if message.state in (CallbackState.STARTED, CallbackState.RUNNING):
            self.events.append(AttemptStarted(message.request_id, attempt.number, message.progress))
            return
        attempt.ended_by_callback = True
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
                request_id,
                attempt.number,
                result,
                attempt.endpoint_id,
                duration_ms,
                answered,
                load_report,
                attempt.may_be_reported(),
            )
        )

    # ---------------------------------------------------------------- endpoints

    def _on_list(self, message: EndpointList) -> None:
        self.endpoints.update_list(message, self.now, self.router, self._may_send_changes())
        if self.endpoints.follower is not None:
            self._schedule_refresh()

    def _may_send_changes(self) -> bool:
        """Whether a full list may be passed to the router as its differences from the current one.

        False with the weight source `live`, where a repeated report of a size is new information, and after
        a fault, which may have lost an event.
        """
        return self.settings.get("weightSource") != "live" and not self.counters[FAULTS]

    def _on_drains(self, message: DrainsChanged) -> None:
        accepted = self.endpoints.apply_drains(message.drains)
        if accepted:
            self._refresh_endpoints()
        resolve(message.answer, accepted)

    def _on_plan(self, message: PlanReceived) -> None:
        accepted = self.endpoints.apply_plan(message.lease)
        if accepted:
            self._refresh_endpoints()
        resolve(message.answer, accepted)

    def _on_refresh_due(self, message: EndpointRefreshDue) -> None:
        self._refresh_endpoints()

    def _refresh_endpoints(self) -> None:
        self.endpoints.refresh(self.now, self.router)
        self._schedule_refresh()

    def _schedule_refresh(self) -> None:
        self.timers.schedule_refresh(self.endpoints.next_refresh_ms(self.now))

    # ---------------------------------------------------------------- queries

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
    """Set the result of a query's future, unless the caller no longer waits for it."""
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
