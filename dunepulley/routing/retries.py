"""What may be attempted again, and where, without an effect that happens twice; and the budget for it."""

from __future__ import annotations

from .endpoints import Endpoint, EndpointTable
from .events import NOT_EXECUTED, AttemptResult
from .request import Request, RequestClasses
from .settings import Idempotency, KeyScope, RouterSettings
from .size_classes import SizeClasses
from .timers import INFINITY

# Of a key's window so much is left unused, as attempts take a while to arrive; and no less than a process may
# be held up between reading its clock and writing.
_WINDOW_MARGIN, _LONGEST_PAUSE_MS = 0.1, 150.0
# The budget holds at most so many retries of mean size, and starts with one.
_MOST_BALANCE, _FIRST_BALANCE = 20.0, 1.0
# What a request earns: half a retry where retries are the only way to look elsewhere, else a twentieth, as
# what is cancelled may go on running.
_EARNED_PART, _EARNED_PART_WITH_CHECKS = 0.5, 0.05
# With size classes a retry takes more of the budget.
_POOL_COST = 4.0
# About the last ten requests that were retried count.
_SUCCESS_STEP = 0.1
_FIRST_SUCCESS_RATE = 0.5

# A retry in place of an attempt that broke is free: a bad spell must not go unanswered.
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
    """Where a request may be attempted so that its effect cannot happen twice."""

    def __init__(self, settings: RouterSettings, endpoints: EndpointTable) -> None:
        self._hedging = settings.retries.hedging
        self._endpoints = endpoints

    def may_attempt_at(self, request: Request, endpoint: Endpoint, now: float) -> bool:
        """Whether an attempt at this endpoint cannot make the effect happen twice."""
        return is_in_group(request, endpoint, self.allowed_group(request, now))

    def may_retry(self, request: Request, now: float) -> bool:
        """Whether there is a ready endpoint at which the request may be attempted."""
        group = self.allowed_group(request, now)
        if isinstance(group, bool):
            return group and bool(self._endpoints.ready)
        return any(_group_of(request, endpoint) == group for endpoint in self._endpoints.ready)

    def window_end_ms(self, request: Request) -> float:
        """Until when the attempts that may have run are surely remembered, by their idempotency key."""
        settings = request.request_class.settings
        if settings.idempotency != Idempotency.KEYED:
            return INFINITY
        margin = max(_WINDOW_MARGIN * settings.key_window_ms, _LONGEST_PAUSE_MS)
        sent = [attempt.sent_ms for attempt in request.attempts if attempt.result not in NOT_EXECUTED]
        return min(sent, default=INFINITY) + settings.key_window_ms - margin

    def client_may_retry(self, request: Request) -> bool:
        """Whether the client may send the request anew without an effect that happens twice."""
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
            return False  # one may be running yet
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
    """The group of an endpoint that shares what it remembers of the request's key."""
    scope = request.request_class.settings.key_scope
    return endpoint.zone if scope == KeyScope.ZONE else endpoint.cell


class RetryBudget:
    """Each request earns a part of a retry, less where the recent retries did not help."""

    def __init__(self, settings: RouterSettings, classes: RequestClasses, size_classes: SizeClasses) -> None:
        self._max_attempts = settings.retries.max_attempts
        self._earned = _EARNED_PART_WITH_CHECKS if settings.reports.can_check_health else _EARNED_PART
        self._classes = classes
        self._size_classes = size_classes
        self.balance = _FIRST_BALANCE
        # The part of the requests that were retried which completed.
        self.success_rate = _FIRST_SUCCESS_RATE

    def earn(self) -> None:
        """Count a request that has come in."""
        self.balance = min(_MOST_BALANCE, self.balance + self._earned * self.success_rate)

    def can_afford(self, request: Request) -> bool:
        """Whether one more attempt is allowed and paid for."""
        return len(request.attempts) < self._max_attempts and self.balance >= self._cost(request)

    def spend(self, request: Request) -> None:
        """Pay for one more attempt, unless it is the first."""
        if request.attempts:
            self.balance -= self._cost(request)

    def record_outcome(self, request: Request, completed: bool) -> None:
        """Learn from a request that is answered whether retries help."""
        if len(request.attempts) > 1:
            self.success_rate += _SUCCESS_STEP * (completed - self.success_rate)

    def _cost(self, request: Request) -> float:
        """What one more attempt takes: its work, against that of a mean request."""
        if request.attempts[-1].result in _FREE_RESULTS:
            return 0.0
        cost = request.expected_ms * request.slots / self._classes.mean_slot_ms
        return cost * (_POOL_COST if self._size_classes.pools else 1.0)
