"""Admission: gives each new request its due time, priority and size class, and counts it in its quota."""

from __future__ import annotations

from .affinity import CacheAffinity
from .events import RequestArrived
from .request import Request, RequestClass, RequestClasses
from .settings import RouterSettings
from .size_classes import SizeClasses

# The maximum number of requests that a tenant can save up, so that a short random run of its requests is not
# over quota.
_MAX_SAVED_REQUESTS = 5.0
# The decay of the longest recent timeout, from which retries are recognized if clients do not mark them:
# after about ten shorter timeouts in a row these count as the usual ones.
_TIMEOUT_DECAY = 0.1
# Whether clients always use the same timeout: the step of the moving average (about the last five requests
# count), the ratio from which a timeout counts as the usual one, and the required fraction of such requests.
_FIXED_TIMEOUT_STEP, _SAME_TIMEOUT_RATIO, _MIN_FIXED_FRACTION = 0.2, 0.98, 0.5
# Without an estimate by the client, a request likely takes this fraction of the mean running time: running
# times have long tails, so most are far shorter than the mean.
_LIKELY_FRACTION = 0.5


class TenantQuotas:
    """Tenant quotas: each request credits every tenant with its share; what exceeds it is over quota."""

    def __init__(self, shares: dict[str, float]) -> None:
        self._shares = shares
        self._earned = dict.fromkeys(shares, _MAX_SAVED_REQUESTS)

    def is_over(self, tenant: str) -> bool:
        """Count a tenant's request; returns whether it exceeds the tenant's share of recent requests."""
        earned = self._earned
        if tenant not in earned:
            return False
        for name, share in self._shares.items():
            earned[name] = min(_MAX_SAVED_REQUESTS, earned[name] + share)
        if earned[tenant] < 1.0:
            return True
        earned[tenant] -= 1.0
        return False


class Admission:
    """Creates a `Request` from each `RequestArrived` event."""

    def __init__(
        self,
        settings: RouterSettings,
        classes: RequestClasses,
        size_classes: SizeClasses,
        affinity: CacheAffinity,
    ) -> None:
        self._marks_retries = settings.clients_mark_retries
        self._value_scales_with_work = settings.value_scales_with_work
        self._over_quota_factor = settings.over_quota_factor
        self._classes = classes
        self._size_classes = size_classes
        self._affinity = affinity
        self._quotas = TenantQuotas(dict(settings.tenant_shares))

    def admit(self, event: RequestArrived, now: float, idle_since_ms: float) -> Request:
        """Create the request for an event.

        `idle_since_ms` is when this process last ran: events since then may have waited for it.
        """
        request_class = self._classes.get(event.request_class)
        # An endpoint has one unit of memory per slot: a request that needs more memory takes that many slots.
        slots = max(event.slots, event.memory)
        expected_ms = event.expected_ms or request_class.mean_run_ms()
        size_class = self._size_classes.assign(expected_ms, slots)
        self._classes.record_work(expected_ms * slots)
        sent_ms = self._first_sent_ms(event, request_class, now, idle_since_ms)
        likely_ms = event.expected_ms or _LIKELY_FRACTION * expected_ms
        settings = request_class.settings
        deadline_ms = now + event.timeout_ms
        due_ms = min(
            sent_ms + settings.latency_objective_ms + settings.objective_stretch * likely_ms, deadline_ms
        )
        weight = settings.priority_weight
        priority = weight if self._value_scales_with_work else weight / expected_ms
        is_over_quota = self._quotas.is_over(event.tenant)
        if is_over_quota:
            priority *= self._over_quota_factor
        if event.affinity_key:
            self._affinity.record(event.affinity_key)
        return Request(
            event.request_id,
            request_class,
            slots,
            expected_ms,
            size_class,
            event.affinity_key,
            deadline_ms,
            due_ms,
            due_ms - likely_ms,
            priority,
            is_over_quota,
        )

    def _first_sent_ms(
        self, event: RequestArrived, request_class: RequestClass, now: float, idle_since_ms: float
    ) -> float:
        """When the client sent its first request.

        A client's retry has a shorter timeout: the difference was spent on earlier requests.
        """
        timeout_ms, deadline_ms = event.timeout_ms, now + event.timeout_ms
        if not event.is_retry:
            longest = request_class.first_timeout_ms
            request_class.first_timeout_ms = max(
                longest + _TIMEOUT_DECAY * (timeout_ms - longest), timeout_ms
            )
        first_timeout_ms = request_class.first_timeout_ms
        if self._marks_retries and not event.is_retry:
            # A shorter timeout on a first request means that clients do not all use the same one.
            is_usual = timeout_ms > _SAME_TIMEOUT_RATIO * first_timeout_ms
            request_class.fixed_timeout_fraction += _FIXED_TIMEOUT_STEP * (
                is_usual - request_class.fixed_timeout_fraction
            )
            # The event may have waited while this process was stalled, but not from before the stall.
            return min(now, max(idle_since_ms, deadline_ms - first_timeout_ms))
        if request_class.fixed_timeout_fraction > _MIN_FIXED_FRACTION:
            return min(now, deadline_ms - first_timeout_ms)
        return now
