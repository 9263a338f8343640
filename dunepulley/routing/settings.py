"""The settings of a router, read once from a plain mapping into frozen dataclasses.

The mapping's keys are those of the configuration, with times in ms (`...Ms`). Unknown keys are ignored, and
missing ones have defaults.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

# The default deadline of a class, as a multiple of its latency objective.
_DEFAULT_DEADLINE_RATIO = 8.0
# The price, as a fraction of a request's value, from which on it influences the choice of an endpoint.
_DECISIVE_PRICE = 0.01


class Idempotency(StrEnum):
    """Whether requests of a class may be repeated after an attempt that may have run."""

    IDEMPOTENT = "rerunnable"
    # Safe to repeat within one group of endpoints, for as long as these remember the idempotency key.
    KEYED = "ticketed"
    NON_IDEMPOTENT = "exclusive"


class KeyScope(StrEnum):
    """The group of endpoints that share their record of an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def as_tuple(value: Any) -> tuple[Any, ...]:
    """The values of a setting that may hold none, one or several."""
    if value is None:
        return ()
    return value if isinstance(value, tuple) else (value,)


@dataclass(frozen=True, slots=True)
class RequestClassSettings:
    """The settings of one request class; a class that is not listed has the defaults."""

    # A response has its full value until the latency objective, which grows by the stretch for each ms of
    # work.
    latency_objective_ms: float = 1000.0
    objective_stretch: float = 0.0
    deadline_ms: float = _DEFAULT_DEADLINE_RATIO * 1000.0
    priority_weight: float = 1.0
    idempotency: str = Idempotency.NON_IDEMPOTENT
    key_scope: str = KeyScope.ALL
    # For how long endpoints remember an idempotency key.
    key_window_ms: float = 0.0
    # The only kind of endpoint that serves it; `None` for any.
    required_kind: str | None = None

    @classmethod
    def from_mapping(cls, number: int, settings: Mapping[str, Any]) -> RequestClassSettings:
        """Read the class with this number."""

        def get(name: str, default: Any) -> Any:
            return settings.get(f"categories.{number}.{name}", default)

        objective = get("dueTimeMs", 1000.0)
        stretches = as_tuple(settings.get("familyInfo.classStretch"))
        # A class without a stated idempotency, or with an unknown scope, counts as non-idempotent.
        idempotency = get("effect", Idempotency.NON_IDEMPOTENT)
        scope = get("keyScope", "") if idempotency == Idempotency.KEYED else KeyScope.ALL
        if scope not in (KeyScope.ALL, KeyScope.ZONE, KeyScope.CELL):
            idempotency = Idempotency.NON_IDEMPOTENT
        return cls(
            latency_objective_ms=objective,
            objective_stretch=get("aimStretch", stretches[number] if number < len(stretches) else 0.0),
            deadline_ms=get("expiryMs", _DEFAULT_DEADLINE_RATIO * objective),
            priority_weight=get("payoff", 1.0),
            idempotency=idempotency,
            key_scope=scope,
            key_window_ms=get("windowMs", 0.0),
            required_kind=_required_kind(number, settings),
        )


def _required_kind(number: int, settings: Mapping[str, Any]) -> str | None:
    """The kind of endpoint that a class requires, or None for any.

    The setting holds the index of the kind among the listed kinds; -1 for any.
    """
    indexes = as_tuple(settings.get("familyInfo.classKind"))
    index = int(indexes[number]) if number < len(indexes) else -1
    kinds = as_tuple(settings.get("kinds"))
    return kinds[index] if 0 <= index < len(kinds) else None


@dataclass(frozen=True, slots=True)
class SlowStartSettings:
    """How endpoints warm up, and how much load they tolerate meanwhile."""

    # The fraction of its capacity that an endpoint has when it starts, and the time until it has all of it.
    initial_capacity: float = 0.1
    warm_up_ms: float = 0.0
    # An endpoint becomes overloaded and fails if, within a window, it receives more than this multiple of the
    # work that it can serve.
    overload_multiple: float = 1.0
    window_ms: float = 1000.0


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits on attempts, and the timeouts around them."""

    max_attempts: int = 1
    # Whether a request may be hedged: a second attempt while the first is still in flight.
    hedging: bool = False
    can_cancel: bool = False
    connect_timeout_ms: float = 100.0
    # The maximum time after its deadline at which a client is answered.
    answer_slack_ms: float = 2.0
    # The maximum Retry-After that clients respect; 0 if none may be sent.
    max_retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ReportSettings:
    """Where load reports come from, and how endpoints report the start of a request."""

    source: str = "none"
    reports_queue: bool = False
    can_check_health: bool = False
    # The price of a health check, as a fraction of a request's value.
    health_check_price: float = 0.0
    # Whether endpoints report the start of a request at once; if not, the interval of their progress reports.
    reports_start: bool = False
    progress_interval_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """All settings of one router."""

    classes: Mapping[str, RequestClassSettings]
    slow_start: SlowStartSettings
    retries: RetryLimits
    reports: ReportSettings
    # The share of all requests that each tenant may send, by tenant.
    tenant_shares: Mapping[str, float]
    over_quota_factor: float
    # Whether the value of a request is proportional to its work; if not, it is the same for all of its class.
    value_scales_with_work: bool
    clients_mark_retries: bool
    dispatcher_count: float
    dispatcher_number: int
    # This dispatcher's name in the hash from which its ranks of endpoints follow.
    rank_name: str
    zone: str
    gossip: bool
    # Whether an endpoint's listed capacity falls with its load.
    capacity_is_live: bool
    # How long an idle connection is kept open; `None` if unknown.
    connection_idle_ms: float | None
    prefers_own_zone: bool
    prefers_open_connections: bool

    @classmethod
    def from_mapping(cls, settings: Mapping[str, Any]) -> RouterSettings:
        """Read the settings from a mapping."""
        get = settings.get
        return cls(
            classes=_classes(settings),
            slow_start=SlowStartSettings(
                initial_capacity=get("rules.coldFrom", 0.1),
                warm_up_ms=get("rules.coldMs", 0.0),
                overload_multiple=get("rules.fallMultiple", 1.0),
                window_ms=get("rules.tipAfterMs", 1000.0),
            ),
            retries=_retry_limits(settings),
            reports=_report_settings(settings),
            tenant_shares={
                get(f"parties.{number}.name", str(number)): get(f"parties.{number}.share", 0.0)
                for number in range(int(get("parties.count", 0)))
            },
            over_quota_factor=get("overagePayoff", 1.0),
            value_scales_with_work=get("payoffBy", "request") == "work",
            clients_mark_retries=bool(get("clients.marksRetry", False)),
            dispatcher_count=max(1.0, get("balancers", 1.0)),
            dispatcher_number=int(get("me", 0)),
            rank_name=str(get("me", "")),
            zone=get("zone", ""),
            gossip=bool(get("policyLimits.peers", False)),
            capacity_is_live=get("weightSource", "nominal") == "live",
            connection_idle_ms=get("policyLimits.connIdleMs"),
            prefers_own_zone=get("prices.crossZone", 0.0) >= _DECISIVE_PRICE,
            prefers_open_connections=get("prices.handshake", 0.0) >= _DECISIVE_PRICE,
        )


def _classes(settings: Mapping[str, Any]) -> dict[str, RequestClassSettings]:
    return {
        settings.get(f"categories.{number}.name", str(number)): RequestClassSettings.from_mapping(
            number, settings
        )
        for number in range(int(settings.get("categories.count", 0)))
    }


def _retry_limits(settings: Mapping[str, Any]) -> RetryLimits:
    get = settings.get
    sends_retry_after = bool(get("policyLimits.retryAfter", False))
    return RetryLimits(
        max_attempts=int(get("policyLimits.mostHandOffs", 1)),
        hedging=bool(get("policyLimits.secondCopies", False)),
        can_cancel=bool(get("policyLimits.cancel", False)),
        connect_timeout_ms=get("policyLimits.connectTimeoutMs", 100.0),
        answer_slack_ms=get("rules.answerSlackMs", 2.0),
        max_retry_after_ms=get("policyLimits.maxRetryAfterMs", 0.0) if sends_retry_after else 0.0,
    )


def _report_settings(settings: Mapping[str, Any]) -> ReportSettings:
    get = settings.get
    return ReportSettings(
        source=get("reporting.how", "none"),
        reports_queue="queue" in as_tuple(get("reporting.fields")),
        can_check_health=bool(get("policyLimits.probing", False)),
        health_check_price=get("prices.probe", 0.0),
        reports_start=bool(get("familyInfo.tellsStart", False)),
        progress_interval_ms=get("familyInfo.progressMs", 0.0),
    )
