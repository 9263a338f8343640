"""Attempts from simulated dispatchers to servers: network delays, timeouts, cancellation and results."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING

from dunepulley.model.results import Answer, SimulatedAttempt, SimulatedRequest
from dunepulley.model.server import Job, ModelServer
from dunepulley.model.simulated_time import ScheduledCall
from dunepulley.routing.commands import CancelAttempt, StartAttempt
from dunepulley.routing.events import AttemptEnded, AttemptResult, AttemptStarted

if TYPE_CHECKING:
    from dunepulley.model.simulation import Simulation

# A dispatcher reports a lost connection if the server does not respond to an attempt within this time.
NO_RESPONSE_TIMEOUT_MS = 500.0
# How many network delays are drawn at once.
DELAY_BATCH = 4096


class Attempts:
    """Delivers a simulation's attempts to its servers, and their results to the dispatchers."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation, self.scenario = simulation, simulation.scenario
        self.rules, self.results = simulation.rules, simulation.results
        self.delays: list[float] = []

    def delay_ms(self, dispatcher: int, server: ModelServer) -> float:
        """Draw the one-way network delay between a dispatcher and a server, in ms."""
        if not self.delays:
            rng = self.simulation.rng["ways"]
            self.delays = [float(delay) for delay in rng.exponential(1.0, DELAY_BATCH)]
        is_same_zone = server.zone == self.simulation.dispatcher_zones[dispatcher]
        mean_ms = self.scenario.way_ms if is_same_zone else self.scenario.cross_ms
        return mean_ms * (1.0 + self.scenario.jitter * self.delays.pop())

    def _after(self, delay_ms: float, action: Callable[[], None]) -> ScheduledCall:
        return self.simulation.time.at(self.simulation.time.now + delay_ms, action)

    def start(self, dispatcher: int, command: StartAttempt) -> None:
        """Send an attempt to its server."""
        request, server = (
            self.simulation.requests[command.request_id],
            self.simulation.servers[command.endpoint_id],
        )
        now, number = self.simulation.time.now, len(request.attempts)
        attempt = SimulatedAttempt(server, now)
        request.attempts.append(attempt)
        self.results.counts["hand-offs"] += 1
        self.results.cross_zone_attempts += server.zone != self.simulation.dispatcher_zones[dispatcher]
        self.rules.attempt_sent(now, dispatcher, server.name)
        attempt.time_limit = self._after(command.timeout_ms, lambda: self._time_out(request, number))
        self._after(self.delay_ms(dispatcher, server), lambda: self._arrive(request, number))

    def cancel(self, dispatcher: int, command: CancelAttempt) -> None:
        """Cancel an attempt; the dispatcher receives the result after one round trip."""
        request, number = self.simulation.requests[command.request_id], command.attempt_number
        attempt = request.attempts[number]
        if not attempt.ended:
            self._send_cancel(request, number)
            round_trip_ms = self.delay_ms(dispatcher, attempt.server) + self.delay_ms(
                dispatcher, attempt.server
            )
            self._after(round_trip_ms, lambda: self._end(request, number, AttemptResult.CANCELLED))

    def _arrive(self, request: SimulatedRequest, number: int) -> None:
        """Handle the arrival of an attempt at its server."""
        attempt = request.attempts[number]
        server = attempt.server
        if attempt.cancelled:
            return
        if server.name in self.simulation.unresponsive:
            # The dispatcher detects the failure when no response (202) arrives in time.
            self._after(
                NO_RESPONSE_TIMEOUT_MS, lambda: self._end(request, number, AttemptResult.CONNECTION_LOST)
            )
            return
        if not server.is_up:
            self._end_after_delay(request, number, AttemptResult.CONNECT_FAILED)
            return
        self.rules.attempt_arrived(self.simulation.time.now, server, request.work)
        notify = functools.partial(self._handle_job_event, request, number)
        attempt.job = Job(request.request_id, request.work, 1.0, notify)
        if not server.offer(attempt.job):
            attempt.job = None
            self._end_after_delay(request, number, AttemptResult.REJECTED, self.simulation.report(server))

    def _handle_job_event(self, request: SimulatedRequest, number: int, event: str) -> None:
        """Report the progress of a job: it 'began', 'finished' or was 'lost'."""
        attempt = request.attempts[number]
        if event == "began":
            self.rules.attempt_started(
                self.simulation.time.now, request.request_id, request.request_class, attempt.server
            )
            if self.scenario.tells_start and not attempt.ended:
                delay = self.delay_ms(request.dispatcher, attempt.server)
                self._after(delay, lambda: self._notify_started(request, number))
        elif event == "finished":
            self._end_after_delay(
                request, number, AttemptResult.COMPLETED, self.simulation.report(attempt.server)
            )
        elif event == "lost":
            self._end_after_delay(request, number, AttemptResult.CONNECTION_LOST)

    def _notify_started(self, request: SimulatedRequest, number: int) -> None:
        """Notify the dispatcher that an attempt has started to run."""
        if not request.attempts[number].ended:
            self.simulation.handle(request.dispatcher, AttemptStarted(request.request_id, number))

    def _end_after_delay(
        self,
        request: SimulatedRequest,
        number: int,
        result: AttemptResult,
        report: dict[str, float] | None = None,
    ) -> None:
        """End an attempt once its result has reached the dispatcher over the network."""
        delay = self.delay_ms(request.dispatcher, request.attempts[number].server)
        self._after(delay, lambda: self._end(request, number, result, report))

    def _end(
        self,
        request: SimulatedRequest,
        number: int,
        result: AttemptResult,
        report: dict[str, float] | None = None,
    ) -> None:
        """End an attempt at its dispatcher; only the first result counts."""
        attempt = request.attempts[number]
        if attempt.ended:
            return
        attempt.ended = True
        assert attempt.time_limit is not None
        attempt.time_limit.cancel()
        if self.simulation.plans is not None:
            self.simulation.plans.record_attempt(request.dispatcher, attempt.server.zone, result)
        if result == AttemptResult.COMPLETED and request.answer is None:
            self.simulation.answer(request, Answer.FINISHED)
        duration_ms = self.simulation.time.now - attempt.sent
        is_over = request.answer is not None
        name = attempt.server.name
        event = AttemptEnded(request.request_id, number, result, name, duration_ms, is_over, report)
        self.simulation.handle(request.dispatcher, event)

    def _time_out(self, request: SimulatedRequest, number: int) -> None:
        if not request.attempts[number].ended:
            self._send_cancel(request, number)
            self._end(request, number, AttemptResult.TIMED_OUT)

    def _send_cancel(self, request: SimulatedRequest, number: int) -> None:
        """Send a cancellation, which drops the attempt's job once it arrives at the server."""
        attempt = request.attempts[number]

        def arrive() -> None:
            attempt.cancelled = True
            if attempt.job is not None and attempt.server.is_up:
                attempt.server.drop(attempt.job, self.scenario.cancel)

        self._after(self.delay_ms(request.dispatcher, attempt.server), arrive)
