"""Learns from how attempts start and end: running times, load, and which endpoints fail."""

from __future__ import annotations

from .events import CONNECTION_FAILURES, AttemptEnded, AttemptResult, AttemptStarted
from .load_estimates import LoadEstimator
from .outliers import OutlierDetector
from .request import Attempt, Request
from .run_times import RunTimes
from .settings import ReportSettings
from .start_times import StartTimes

_ERRORS = frozenset((AttemptResult.ERRORED, AttemptResult.TIMED_OUT))


class AttemptFeedback:
    """Passes the starts and results of attempts to the parts that learn from them."""

    def __init__(
        self,
        settings: ReportSettings,
        load: LoadEstimator,
        outliers: OutlierDetector,
        run_times: RunTimes,
        start_times: StartTimes,
    ) -> None:
        self._reports_start = settings.reports_start
        self._progress_interval_ms = settings.progress_interval_ms
        self._load = load
        self._outliers = outliers
        self._run_times = run_times
        self._start_times = start_times

    def record_start(self, request: Request, attempt: Attempt, event: AttemptStarted, now: float) -> None:
        """Learn from the first message that an attempt has started or makes progress."""
        ago_ms = 0.0
        if not self._reports_start:
            # A progress message arrives up to one interval after the start. How long ago the attempt started
            # is estimated from the fraction of the work that is done.
            done_ms = event.progress * request.expected_ms * self._run_times.slowness(attempt.endpoint, now)
            ago_ms = min(self._progress_interval_ms, done_ms)
        attempt.started_ms = max(attempt.sent_ms, now - ago_ms)
        delay_ms = self._start_times.record(attempt.path, attempt.started_ms - attempt.sent_ms)
        self._load.record_start_delay(attempt.endpoint, delay_ms)

    def record_end(self, request: Request, attempt: Attempt, event: AttemptEnded, now: float) -> None:
        """Learn from how an attempt ended."""
        endpoint, result = attempt.endpoint, event.result
        if result == AttemptResult.COMPLETED:
            if attempt.started_ms or attempt.is_measurable:
                run_ms = now - attempt.started_ms if attempt.started_ms else event.duration_ms
                request.request_class.record_run(run_ms)
                self._run_times.record(endpoint, run_ms, request.expected_ms)
            self._outliers.record_success(endpoint)
        elif result == AttemptResult.REJECTED:
            self._load.record_rejection(endpoint, now)
        elif result in _ERRORS:
            self._outliers.record_error(endpoint, now)
        elif result in CONNECTION_FAILURES:
            self._outliers.eject(endpoint, now)
