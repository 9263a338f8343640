"""What comes in: each request gets its due time, its priority and its size class, and counts in its quota."""

from __future__ import annotations

from .affinity import CacheAffinity
from .events import RequestArrived
from .request import Request, RequestClass, RequestClasses
from .settings import RouterSettings
from .size_classes import SizeClasses

# A tenant may save up its share of so many requests: below that a run of one tenant is chance.
_MOST_SAVED = 5.0
# The longest timeout of late counts; where retries are not marked, ten short ones in a row are none any more.
_TIMEOUT_STEP = 0.1
# The last five or so first requests tell whether clients give the same timeout each time, within two percent.
_STEADY_STEP, _SAME_TIMEOUT, _STEADY_PART = 0.2, 0.98, 0.5
# Running times have long tails, so that most are far shorter than the mean: without an estimate take half.
_LIKELY_PART = 0.5


class TenantQuotas:
    """Each request that comes in earns every tenant its share of one; what it sends beyond is over quota."""

    def __init__(self, shares: dict[str, float]) -> None:
        self._shares = shares
        self._earned = dict.fromkeys(shares, _MOST_SAVED)

    def is_over(self, tenant: str) -> bool:
        """Count a tenant's request; whether it goes beyond the tenant's share of what came in of late."""
        earned = self._earned
        if tenant not in earned:
            return False
        for name, share in self._shares.items():
            earned[name] = min(_MOST_SAVED, earned[name] + share)
        if earned[tenant] < 1.0:
            return True
        earned[tenant] -= 1.0
        return False


class Admission:
    """Makes a `Request` of each that comes in."""

    def __init__(
        self,
        settings: RouterSettings,
        classes: RequestClasses,
        size_classes: SizeClasses,
        affinity: CacheAffinity,
    ) -> None:
        self._marks_retries = settings.clients_mark_retries
        self._paid_by_work = settings.value_scales_with_work
        self._over_quota_factor = settings.over_quota_factor
        self._classes = classes
        self._size_classes = size_classes
        self._affinity = affinity
        self._quotas = TenantQuotas(dict(settings.tenant_shares))

    def admit(self, event: RequestArrived, now: float, idle_since_ms: float) -> Request:
        """The request of an event; `idle_since_ms` is from when on this process may have been held up."""
        request_class = self._classes.get(event.request_class)
        # An endpoint has one unit of memory for each slot: what takes more of it takes that many slots' room.
        slots = max(event.slots, event.memory)
        expected_ms = event.expected_ms or request_class.mean_run_ms()
        size_class = self._size_classes.assign(expected_ms, slots)
        self._classes.record_work(expected_ms * slots)
        sent_ms = self._first_sent_ms(event, request_class, now, idle_since_ms)
        likely_ms = event.expected_ms or _LIKELY_PART * expected_ms
        settings = request_class.settings
        deadline_ms = now + event.timeout_ms
        due_ms = min(
            sent_ms + settings.latency_objective_ms + settings.objective_stretch * likely_ms, deadline_ms
        )
        weight = settings.priority_weight
        priority = weight if self._paid_by_work else weight / expected_ms
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
        """When the client sent its first request: what a retry's timeout lacks, earlier requests took."""
        timeout_ms, deadline_ms = event.timeout_ms, now + event.timeout_ms
        if not event.is_retry:
            longest = request_class.first_timeout_ms
            request_class.first_timeout_ms = max(longest + _TIMEOUT_STEP * (timeout_ms - longest), timeout_ms)
        first_timeout_ms = request_class.first_timeout_ms
        if self._marks_retries and not event.is_retry:
            # Some clients are impatient.
            is_usual = timeout_ms > _SAME_TIMEOUT * first_timeout_ms
            request_class.fixed_timeout_fraction += _STEADY_STEP * (
                is_usual - request_class.fixed_timeout_fraction
            )
            # It may have waited for this process to wake, but not since before that fell asleep.
            return min(now, max(idle_since_ms, deadline_ms - first_timeout_ms))
        if request_class.fixed_timeout_fraction > _STEADY_PART:
            return min(now, deadline_ms - first_timeout_ms)
        return now
