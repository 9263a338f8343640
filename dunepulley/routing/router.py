"""The router: decides where every request goes, and when it is retried, rejected or failed.

The basic algorithm follows the design (docs/design.md): in each control period an endpoint's share follows
its reported consumption rate and is cut to 9/10 if its reported load is over the limit (`weights.py`), and
requests are sent in evenly spread weighted turns (`round_robin.py`). Further mechanisms are:

- slots: an endpoint without an available slot is skipped, and a request that finds none is queued by priority
  (`selection.py`, `request_queue.py`);
- hedging and moving: an attempt that has not started in time is hedged, or cancelled and retried at an
  endpoint with an available slot, if the request class allows that (`lifecycle.py`, `retries.py`);
- outlier detection: an endpoint that fails is ejected for a while (`outliers.py`);
- a retry budget that follows how many of the recent retries succeeded (`retries.py`);
- slow start: all dispatchers together send to an endpoint that is warming up no more than its budget
  (`slow_start.py`);
- in large fleets: size classes, a subset of the endpoints, cache affinity and gossip (`size_classes.py`,
  `subset.py`, `affinity.py`, `gossip.py`).

Dispatchers exchange nothing but gossip, if it is enabled. Any gossip message may be lost; only the quality of
load estimates depends on it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from .admission import Admission
from .affinity import CacheAffinity
from .attempt_feedback import AttemptFeedback
from .commands import Command, Fail, SetTimer
from .endpoints import EndpointTable
from .events import (
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    GossipReceived,
    HealthCheckEnded,
    RequestArrived,
    ResponseStarted,
    SlowStartBudgetAssigned,
    TimerFired,
)
from .gossip import GossipExchange
from .health_checks import HealthChecks
from .in_flight import InFlight
from .lifecycle import RequestLifecycle, Trigger
from .list_updates import ListUpdates
from .load_estimates import LoadEstimator
from .outbox import Outbox
from .outliers import OutlierDetector
from .request import Attempt, Request, RequestClasses
from .request_queue import RequestQueue
from .retries import RetryBudget, RetryPolicy
from .rng import RandomGenerator
from .round_robin import WeightedRoundRobin
from .run_times import RunTimes
from .selection import EndpointSelector
from .settings import RouterSettings
from .size_classes import SizeClasses
from .slow_start import SlowStartBudget
from .start_times import StartTimes
from .subset import EndpointSubset
from .timers import TimerQueue
from .warm_up import WarmUp
from .weights import CONTROL_PERIOD_MS, WeightController

# A timer that fires this late means that the process was stalled; it is several ticks of a clock.
_LATE_ALARM_MS = 50.0


class Router:
    """Makes all routing decisions of one dispatcher, from its events alone."""

    def __init__(self, seed: int, settings: Mapping[str, Any], now: float) -> None:
        self.now = self._idle_since_ms = now
        self.settings = RouterSettings.from_mapping(settings)
        self.random = RandomGenerator(seed)
        self.timers = TimerQueue()
        self.outbox = Outbox()
        self.endpoints = EndpointTable(self.settings.rank_name)
        self.classes = RequestClasses(self.settings.classes)
        self.queue = RequestQueue()
        self._build_fleet_parts(now)
        self._build_request_parts()
        self._start(now)

    def _build_fleet_parts(self, now: float) -> None:
        """Build the parts that hold the state of endpoints."""
        settings, endpoints, random = self.settings, self.endpoints, self.random
        self.rotation = WeightedRoundRobin()
        self.affinity = CacheAffinity(endpoints)
        self.warm_up = WarmUp(settings.slow_start)
        self.subset = EndpointSubset(settings, endpoints, self.warm_up)
        self.size_classes = SizeClasses(settings, endpoints, self.subset, self.warm_up, random)
        self.run_times = RunTimes(self.warm_up, self.size_classes)
        self.slow_start = SlowStartBudget(
            settings, endpoints, self.classes, self.warm_up, self.run_times, self.size_classes, now
        )
        self.outliers = OutlierDetector(self.subset, self.size_classes, random)
        self.weights = WeightController(endpoints, self.rotation, self.size_classes)
        self.in_flight = InFlight(settings)
        self.health_checks = HealthChecks(settings.reports, endpoints, self.outbox)
        self._build_load_parts()

    def _build_load_parts(self) -> None:
        """Build the parts that estimate load and process gossip and updates of the endpoint list."""
        settings, endpoints, random = self.settings, self.endpoints, self.random
        self.load = LoadEstimator(
            settings,
            endpoints,
            self.in_flight,
            self.queue,
            self.health_checks,
            self.size_classes,
            self.warm_up,
            self.timers,
        )
        self.gossip = GossipExchange(
            settings, endpoints, self.in_flight, self.queue, self.load, self.timers, self.outbox, random
        )
        self.list_updates = ListUpdates(
            settings,
            endpoints,
            self.rotation,
            self.subset,
            self.size_classes,
            self.affinity,
            self.warm_up,
            self.run_times,
            self.load,
            self.health_checks,
            self.queue,
            random,
        )

    def _build_request_parts(self) -> None:
        """Build the parts that handle requests."""
        settings = self.settings
        self.retry_policy = RetryPolicy(settings, self.endpoints)
        self.retry_budget = RetryBudget(settings, self.classes, self.size_classes)
        self.admission = Admission(settings, self.classes, self.size_classes, self.affinity)
        self.selector = EndpointSelector(
            settings,
            self.endpoints,
            self.classes,
            self.rotation,
            self.subset,
            self.size_classes,
            self.affinity,
            self.warm_up,
            self.run_times,
            self.slow_start,
            self.retry_policy,
        )
        self.start_times = StartTimes(settings.retries)
        self.lifecycle = RequestLifecycle(
            settings,
            self.classes,
            self.queue,
            self.selector,
            self.retry_policy,
            self.retry_budget,
            self.slow_start,
            self.load,
            self.in_flight,
            self.gossip,
            self.start_times,
            self.timers,
            self.outbox,
        )
        self.queue.connect(self.lifecycle.recheck_queued)
        self.feedback = AttemptFeedback(
            settings.reports, self.load, self.outliers, self.run_times, self.start_times
        )

    def _start(self, now: float) -> None:
        """Schedule the periodic work."""
        # At a random time in the period, so that dispatchers started together do not adjust weights in step.
        self.timers.schedule(now + self.random.random() * CONTROL_PERIOD_MS, self._control_period)
        self.timers.schedule(now, self.load.decay)
        self.gossip.start(now)

    @property
    def commands(self) -> list[Command]:
        """The commands of the latest batch; if `handle` raised, those emitted before the error."""
        return self.outbox.commands

    def handle(self, now: float, events: Iterable[Event]) -> list[Command]:
        """Process a batch of events (in the order of `events.in_order`) and return the resulting commands."""
        # A late timer means that the process was stalled, and that events waited unread during that time.
        was_stalled = now > self.timers.alarm_at_ms + _LATE_ALARM_MS
        self._idle_since_ms = self.now if was_stalled else now
        self.now = now
        commands = self.outbox.start_batch()
        for event in events:
            _HANDLERS[type(event)](self, event)
        self.timers.run_due(now)
        self.queue.serve_if_capacity_changed(now)
        alarm_ms = self.timers.next_alarm()
        if alarm_ms is not None:
            commands.append(SetTimer(alarm_ms - now, self.timers.token))
        return commands

    def _control_period(self, now: float) -> None:
        """Update shares, the subset and the size classes once per control period."""
        self.timers.schedule(now + CONTROL_PERIOD_MS, self._control_period)
        self.queue.mark_capacity_changed()
        self.subset.measure_traffic(CONTROL_PERIOD_MS)
        self.list_updates.choose_subset(now)
        self.weights.update(now)

    # ---------------------------------------------------------------- events

    def _on_request(self, event: RequestArrived) -> None:
        self.subset.record_arrival()
        self.retry_budget.earn()
        request = self.admission.admit(event, self.now, self._idle_since_ms)
        self.health_checks.record_arrival(self.now)
        self.lifecycle.add(request, self.now)

    def _on_disconnect(self, event: ClientDisconnected) -> None:
        request = self.lifecycle.requests.get(event.request_id)
        if request is not None:
            self.lifecycle.close(request)

    def _on_attempt_started(self, event: AttemptStarted) -> None:
        found = self._find_attempt(event.request_id, event.attempt_number)
        if found is None:
            return
        request, attempt = found
        if attempt.started_ms:
            return
        self.feedback.record_start(request, attempt, event, self.now)
        if not request.is_answered:
            self.lifecycle.advance(request, Trigger.ATTEMPT_STARTED, self.now)

    def _on_response_started(self, event: ResponseStarted) -> None:
        request = self.lifecycle.requests.get(event.request_id)
        if request is not None:
            self.lifecycle.response_started(request)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        if event.load_report:
            self.load.record_report(event.endpoint_id, event.load_report, self.now)
        found = self._find_attempt(event.request_id, event.attempt_number)
        if found is None:
            return
        request, attempt = found
        lifecycle = self.lifecycle
        lifecycle.attempt_ended(request, attempt, event, self.now)
        self.feedback.record_end(request, attempt, event, self.now)
        if event.answered and not request.is_answered:
            lifecycle.close(request, event.result == AttemptResult.COMPLETED)
        elif event.result == AttemptResult.UNPROCESSABLE and not request.is_answered:
            # No endpoint can process this request, so neither a retry here nor one by the client can help.
            self.outbox.send(Fail(request.request_id))
            lifecycle.close(request)
        if request.is_answered:
            lifecycle.remove_if_done(request)
        else:
            lifecycle.advance(request, Trigger.ATTEMPT_ENDED, self.now)

    def _on_health_check(self, event: HealthCheckEnded) -> None:
        endpoint = self.endpoints.find(event.endpoint_id)
        if endpoint is None:
            return
        if event.load_report:
            self.load.record_report(event.endpoint_id, event.load_report, self.now)
        if event.result == AttemptResult.CONNECT_FAILED:
            self.outliers.eject(endpoint, self.now)

    def _on_list_update(self, event: EndpointListUpdate) -> None:
        self.list_updates.apply(event, self.now)

    def _on_gossip(self, event: GossipReceived) -> None:
        self.gossip.receive(event, self.now)

    def _on_budget_assigned(self, event: SlowStartBudgetAssigned) -> None:
        self.slow_start.assign(event.assigned, self.now)

    def _on_timer(self, event: TimerFired) -> None:
        self.timers.alarm_fired(event.token)

    def _find_attempt(self, request_id: str, number: int) -> tuple[Request, Attempt] | None:
        """The request and its attempt with this number, if that attempt is in flight."""
        request = self.lifecycle.requests.get(request_id)
        if request is None or number >= len(request.attempts) or request.attempts[number].result:
            return None
        return request, request.attempts[number]


_HANDLERS: Mapping[type, Callable[[Router, Any], None]] = {
    EndpointListUpdate: Router._on_list_update,
    RequestArrived: Router._on_request,
    AttemptStarted: Router._on_attempt_started,
    ResponseStarted: Router._on_response_started,
    AttemptEnded: Router._on_attempt_ended,
    ClientDisconnected: Router._on_disconnect,
    HealthCheckEnded: Router._on_health_check,
    GossipReceived: Router._on_gossip,
    SlowStartBudgetAssigned: Router._on_budget_assigned,
    TimerFired: Router._on_timer,
}
