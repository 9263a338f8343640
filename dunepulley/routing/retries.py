"""Retry policy and retry budget.

The policy says at which endpoints a request may be attempted again without its effect happening twice; the
budget limits the extra load by retries.
"""

from __future__ import annotations

from .endpoints import Endpoint, EndpointTable
from .events import NOT_EXECUTED, AttemptResult
from .request import Request, RequestClasses
from .settings import Idempotency, KeyScope, RouterSettings
from .size_classes import SizeClasses
from .timers import INFINITY

# The part of a key's window that is left unused, because an attempt takes time to arrive: a fraction of the
# window, but no less than the time for which a process may pause between reading its clock and writing.
_WINDOW_MARGIN_FRACTION, _MAX_PAUSE_MS = 0.1, 150.0
# The maximum and the initial balance of the budget, in retries of mean size.
_MAX_BALANCE, _INITIAL_BALANCE = 20.0, 1.0
# The retries that a request earns. Without health checks, a retry is the only way to learn about another
# endpoint. With them it earns less, because a cancelled attempt may keep running and waste capacity.
_EARNED_RETRIES, _EARNED_RETRIES_WITH_CHECKS = 0.5, 0.05
# With size classes a retry costs this many times as much.
_POOL_COST_RATIO = 4.0
# The step of the moving average over retried requests: about the last ten count.
_SUCCESS_RATE_STEP = 0.1
_INITIAL_SUCCESS_RATE = 0.5

# A retry after one of these results is free, so that an exhausted budget does not fail requests while
# connections break.
_FREE_RESULTS = frozenset(
    (
        AttemptResult.CONNECTION_LOST,
        AttemptResult.STALE_CONNECTION,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.NOT_SENT,
    )
)


# The zone or cell that a retry has to stay in: `True` for any endpoint, `False` for none.
AllowedGroup = str | bool


class RetryPolicy:
    """Decides where a request may be attempted so that its effect cannot happen twice."""

    def __init__(self, settings: RouterSettings, endpoints: EndpointTable) -> None:
        self._hedging = settings.retries.hedging
        self._endpoints = endpoints

    def may_attempt_at(self, request: Request, endpoint: Endpoint, now: float) -> bool:
        """Whether an attempt at this endpoint cannot make the effect happen twice."""
        if endpoint.endpoint_id in request.reporting_endpoint_ids():
            return False
        return is_in_group(request, endpoint, self.allowed_group(request, now))

    def may_retry(self, request: Request, now: float) -> bool:
        """Whether there is a ready endpoint at which the request may be attempted."""
        group = self.allowed_group(request, now)
        if group is False:
            return False
        reporting_ids = request.reporting_endpoint_ids()
        return any(
            is_in_group(request, endpoint, group) and endpoint.endpoint_id not in reporting_ids
            for endpoint in self._endpoints.ready
        )

    def window_end_ms(self, request: Request) -> float:
        """Until when endpoints certainly remember the idempotency key of all attempts that may have run."""
        settings = request.request_class.settings
        if settings.idempotency != Idempotency.KEYED:
            return INFINITY
        margin = max(_WINDOW_MARGIN_FRACTION * settings.key_window_ms, _MAX_PAUSE_MS)
        sent = [attempt.sent_ms for attempt in request.attempts if attempt.result not in NOT_EXECUTED]
        return min(sent, default=INFINITY) + settings.key_window_ms - margin

    def client_may_retry(self, request: Request) -> bool:
        """Whether the client may retry the request without its effect happening twice."""
        settings = request.request_class.settings
        return (
            settings.idempotency == Idempotency.IDEMPOTENT
            or (settings.idempotency == Idempotency.KEYED and settings.key_scope == KeyScope.ALL)
            or all([attempt.result in NOT_EXECUTED for attempt in request.attempts])
        )

    def allowed_group(self, request: Request, now: float) -> AllowedGroup:
        """The group of endpoints that an attempt has to stay in so that the effect cannot happen twice."""
        attempts = request.attempts
        if not self._hedging and any(
            [attempt.result == AttemptResult.CANCEL_UNCONFIRMED for attempt in attempts]
        ):
            return False  # that attempt may still be running
        settings = request.request_class.settings
        executed = [attempt.endpoint for attempt in attempts if attempt.result not in NOT_EXECUTED]
        if settings.idempotency == Idempotency.IDEMPOTENT or not executed:
            return True
        if settings.idempotency != Idempotency.KEYED or now > self.window_end_ms(request):
            return False
        if settings.key_scope == KeyScope.ALL:
            return True
        groups = {_group_of(request, endpoint) for endpoint in executed}
        return groups.pop() if len(groups) == 1 else False


def is_in_group(request: Request, endpoint: Endpoint, group: AllowedGroup) -> bool:
    """Whether an endpoint is in the group that a retry has to stay in."""
    if isinstance(group, bool):
        return group
    return _group_of(request, endpoint) == group


def _group_of(request: Request, endpoint: Endpoint) -> str:
    """The zone or cell whose endpoints share their record of the request's idempotency key."""
    scope = request.request_class.settings.key_scope
    return endpoint.zone if scope == KeyScope.ZONE else endpoint.cell


class RetryBudget:
    """Limits retries: each request earns a fraction of one, less if recent retries did not succeed."""

    def __init__(self, settings: RouterSettings, classes: RequestClasses, size_classes: SizeClasses) -> None:
        self._max_attempts = settings.retries.max_attempts
        self._earned = _EARNED_RETRIES_WITH_CHECKS if settings.reports.can_check_health else _EARNED_RETRIES
        self._classes = classes
        self._size_classes = size_classes
        self.balance = _INITIAL_BALANCE
        # The fraction of retried requests that completed.
        self.success_rate = _INITIAL_SUCCESS_RATE

    def earn(self) -> None:
        """Credit the budget for a new request."""
        self.balance = min(_MAX_BALANCE, self.balance + self._earned * self.success_rate)

    def can_afford(self, request: Request) -> bool:
        """Whether the number of attempts and the balance allow one more attempt."""
        return len(request.attempts) < self._max_attempts and self.balance >= self._cost(request)

    def spend(self, request: Request) -> None:
        """Charge the budget for one more attempt, unless it is the first."""
        if request.attempts:
            self.balance -= self._cost(request)

    def record_outcome(self, request: Request, completed: bool) -> None:
        """Update the success rate from an answered request, if it was retried."""
        if len(request.attempts) > 1:
            self.success_rate += _SUCCESS_RATE_STEP * (completed - self.success_rate)

    def _cost(self, request: Request) -> float:
        """The cost of one more attempt: its expected work relative to that of a mean request."""
        if request.attempts[-1].result in _FREE_RESULTS:
            return 0.0
        cost = request.expected_ms * request.slots / self._classes.mean_slot_ms
        return cost * (_POOL_COST_RATIO if self._size_classes.pools else 1.0)
