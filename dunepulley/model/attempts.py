"""Attempts between simulated dispatchers and workers: delays, time limits, cancellation, and how they end."""

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

# An attempt to which nobody says anything is given up after so long.
SILENT_MS = 500.0
# Delays of the network are drawn so many at once.
DRAWN_DELAYS = 4096


class Attempts:
    """Carries a world's attempts to its workers, and tells the dispatchers what becomes of them."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation, self.scenario = simulation, simulation.scenario
        self.rules, self.results = simulation.rules, simulation.results
        self.delays: list[float] = []

    def delay_ms(self, me: int, server: ModelServer) -> float:
        """How many ms it takes from a dispatcher to a worker, or back."""
        if not self.delays:
            draw = self.simulation.draw["ways"]
            self.delays = [float(each) for each in draw.exponential(1.0, DRAWN_DELAYS)]
        is_near = server.zone == self.simulation.homes[me]
        usual = self.scenario.way_ms if is_near else self.scenario.cross_ms
        return usual * (1.0 + self.scenario.jitter * self.delays.pop())

    def _after(self, delay_ms: float, action: Callable[[], None]) -> ScheduledCall:
        return self.simulation.time.at(self.simulation.time.now + delay_ms, action)

    def start(self, me: int, command: StartAttempt) -> None:
        """Send an attempt to its worker."""
        request, server = (
            self.simulation.requests[command.request_id],
            self.simulation.workers[command.endpoint_id],
        )
        now, number = self.simulation.time.now, len(request.attempts)
        attempt = SimulatedAttempt(server, now)
        request.attempts.append(attempt)
        self.results.counts["hand-offs"] += 1
        self.results.crossed_zones += server.zone != self.simulation.homes[me]
        self.rules.attempt_sent(now, me, server.name)
        attempt.time_limit = self._after(command.timeout_ms, lambda: self._time_out(request, number))
        self._after(self.delay_ms(me, server), lambda: self._reach(request, number))

    def cancel(self, me: int, command: CancelAttempt) -> None:
        """Have an attempt given up, of which the dispatcher hears there and back later."""
        request, number = self.simulation.requests[command.request_id], command.attempt_number
        attempt = request.attempts[number]
        if not attempt.ended:
            self._send_cancel(request, number)
            there_and_back = self.delay_ms(me, attempt.server) + self.delay_ms(me, attempt.server)
            self._after(there_and_back, lambda: self._end(request, number, AttemptResult.CANCELLED))

    def _reach(self, request: SimulatedRequest, number: int) -> None:
        """An attempt arrives at its worker."""
        attempt = request.attempts[number]
        server = attempt.server
        if attempt.cancelled:
            return
        if server.name in self.simulation.silent:
            # Nobody answers: the dispatcher finds out when the 202 does not come.
            self._after(SILENT_MS, lambda: self._end(request, number, AttemptResult.CONNECTION_LOST))
            return
        if not server.up:
            self._end_after_delay(request, number, AttemptResult.CONNECT_FAILED)
            return
        self.rules.attempt_arrived(self.simulation.time.now, server, request.work)
        tell = functools.partial(self._follow_job, request, number)
        attempt.job = Job(request.request_id, request.work, 1.0, tell)
        if not server.offer(attempt.job):
            attempt.job = None
            self._end_after_delay(request, number, AttemptResult.REJECTED, self.simulation.report(server))

    def _follow_job(self, request: SimulatedRequest, number: int, what: str) -> None:
        """What becomes of a job at its worker."""
        attempt = request.attempts[number]
        if what == "began":
            self.rules.attempt_started(
                self.simulation.time.now, request.request_id, request.category, attempt.server
            )
            if self.scenario.tells_start and not attempt.ended:
                delay = self.delay_ms(request.home, attempt.server)
                self._after(delay, lambda: self._started(request, number))
        elif what == "finished":
            self._end_after_delay(
                request, number, AttemptResult.COMPLETED, self.simulation.report(attempt.server)
            )
        elif what == "lost":
            self._end_after_delay(request, number, AttemptResult.CONNECTION_LOST)

    def _started(self, request: SimulatedRequest, number: int) -> None:
        """The dispatcher hears that an attempt runs."""
        if not request.attempts[number].ended:
            self.simulation.handle(request.home, AttemptStarted(request.request_id, number))

    def _end_after_delay(
        self,
        request: SimulatedRequest,
        number: int,
        result: AttemptResult,
        report: dict[str, float] | None = None,
    ) -> None:
        """The dispatcher hears how an attempt ended once that has come over the network."""
        delay = self.delay_ms(request.home, request.attempts[number].server)
        self._after(delay, lambda: self._end(request, number, result, report))

    def _end(
        self,
        request: SimulatedRequest,
        number: int,
        result: AttemptResult,
        report: dict[str, float] | None = None,
    ) -> None:
        """An attempt ends for its dispatcher; only the first end counts."""
        attempt = request.attempts[number]
        if attempt.ended:
            return
        attempt.ended = True
        assert attempt.time_limit is not None
        attempt.time_limit.cancel()
        if self.simulation.plans is not None:
            self.simulation.plans.record_attempt(request.home, attempt.server.zone, result)
        if result == AttemptResult.COMPLETED and request.answer is None:
            self.simulation.answer(request, Answer.FINISHED)
        took_ms = self.simulation.time.now - attempt.sent
        is_over = request.answer is not None
        name = attempt.server.name
        event = AttemptEnded(request.request_id, number, result, name, took_ms, is_over, report)
        self.simulation.handle(request.home, event)

    def _time_out(self, request: SimulatedRequest, number: int) -> None:
        if not request.attempts[number].ended:
            self._send_cancel(request, number)
            self._end(request, number, AttemptResult.TIMED_OUT)

    def _send_cancel(self, request: SimulatedRequest, number: int) -> None:
        """Have a worker give an attempt up once it hears of that."""
        attempt = request.attempts[number]

        def reach() -> None:
            attempt.cancelled = True
            if attempt.job is not None and attempt.server.up:
                attempt.server.drop(attempt.job, self.scenario.cancel)

        self._after(self.delay_ms(request.home, attempt.server), reach)
