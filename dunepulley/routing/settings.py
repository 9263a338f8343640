"""The settings of a router, read once from a plain mapping into frozen records.

The mapping's keys are those of the configuration, with times in ms (`...Ms`). Unknown keys are ignored and
absent ones have defaults.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

# A class whose deadline is not told has this many times its latency objective.
_DEADLINE_OBJECTIVES = 8.0
# A price, as a part of a request's worth, from which on the cost decides between endpoints.
_DECISIVE_PRICE = 0.01


class Idempotency(StrEnum):
    """How a request of a class may be repeated once an attempt may have run."""

    IDEMPOTENT = "rerunnable"
    # Safe within one group of endpoints, for as long as these remember the idempotency key.
    KEYED = "ticketed"
    NON_IDEMPOTENT = "exclusive"


class KeyScope(StrEnum):
    """The group of endpoints that share what they remember of an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def as_tuple(value: Any) -> tuple[Any, ...]:
    """A setting that may hold one value or several."""
    if value is None:
        return ()
    return value if isinstance(value, tuple) else (value,)


@dataclass(frozen=True, slots=True)
class RequestClassSettings:
    """What the settings say of one class of requests; a class that is not listed has the defaults."""

    # An answer counts in full until the objective, which grows by the stretch for each ms of work.
    latency_objective_ms: float = 1000.0
    objective_stretch: float = 0.0
    deadline_ms: float = _DEADLINE_OBJECTIVES * 1000.0
    priority_weight: float = 1.0
    idempotency: str = Idempotency.NON_IDEMPOTENT
    key_scope: str = KeyScope.ALL
    # For how long endpoints remember an idempotency key.
    key_window_ms: float = 0.0
    # The only kind of endpoint that serves it; `None` for any.
    required_kind: str | None = None

    @classmethod
    def from_mapping(cls, number: int, settings: Mapping[str, Any]) -> RequestClassSettings:
        """The class of this number."""

        def get(name: str, default: Any) -> Any:
            return settings.get(f"categories.{number}.{name}", default)

        objective = get("dueTimeMs", 1000.0)
        stretches = as_tuple(settings.get("familyInfo.classStretch"))
        # A class whose idempotency is not told, or a scope that is not known, must never run twice.
        idempotency = get("effect", Idempotency.NON_IDEMPOTENT)
        scope = get("keyScope", "") if idempotency == Idempotency.KEYED else KeyScope.ALL
        if scope not in (KeyScope.ALL, KeyScope.ZONE, KeyScope.CELL):
            idempotency = Idempotency.NON_IDEMPOTENT
        return cls(
            latency_objective_ms=objective,
            objective_stretch=get("aimStretch", stretches[number] if number < len(stretches) else 0.0),
            deadline_ms=get("expiryMs", _DEADLINE_OBJECTIVES * objective),
            priority_weight=get("payoff", 1.0),
            idempotency=idempotency,
            key_scope=scope,
            key_window_ms=get("windowMs", 0.0),
            required_kind=_required_kind(number, settings),
        )


def _required_kind(number: int, settings: Mapping[str, Any]) -> str | None:
    """The kind of endpoint that a class needs: its place among the listed kinds, -1 for any."""
    places = as_tuple(settings.get("familyInfo.classKind"))
    place = int(places[number]) if number < len(places) else -1
    kinds = as_tuple(settings.get("kinds"))
    return kinds[place] if 0 <= place < len(kinds) else None


@dataclass(frozen=True, slots=True)
class SlowStartSettings:
    """How endpoints warm up, and how much they bear meanwhile."""

    # The part of its capacity that an endpoint has when it starts, and how long it takes to have all of it.
    initial_capacity: float = 0.1
    warm_up_ms: float = 0.0
    # An endpoint falls over when, within a window, it is sent more than this multiple of what it can serve.
    overload_multiple: float = 1.0
    window_ms: float = 1000.0


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """What the site allows and what is known of attempts that do not start at once."""

    max_attempts: int = 1
    # A hedged request: a second attempt while the first is still out.
    hedging: bool = False
    can_cancel: bool = False
    connect_timeout_ms: float = 100.0
    # Clients are answered at the latest so long after their deadline.
    answer_slack_ms: float = 2.0
    # The longest Retry-After that clients heed; 0 where none may be sent.
    max_retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ReportSettings:
    """Where load reports come from, and what endpoints tell of a request's start."""

    source: str = "none"
    reports_queue: bool = False
    can_check_health: bool = False
    # The price of a health check, as a part of a request's worth.
    health_check_price: float = 0.0
    # Whether endpoints tell at once that they have started a request, and else how often they tell progress.
    reports_start: bool = False
    progress_interval_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """All settings of one router."""

    classes: Mapping[str, RequestClassSettings]
    slow_start: SlowStartSettings
    retries: RetryLimits
    reports: ReportSettings
    # By tenant, its share of all requests.
    tenant_shares: Mapping[str, float]
    over_quota_factor: float
    # Whether requests are paid by their work rather than each alike.
    value_scales_with_work: bool
    clients_mark_retries: bool
    dispatcher_count: float
    dispatcher_number: int
    # This dispatcher's name in the hash by which it ranks endpoints.
    rank_name: str
    zone: str
    gossip: bool
    # Whether an endpoint's listed capacity falls with its load.
    capacity_is_live: bool
    # How long an idle connection is kept; `None` where that is not told.
    connection_idle_ms: float | None
    prefers_own_zone: bool
    prefers_open_connections: bool

    @classmethod
    def from_mapping(cls, settings: Mapping[str, Any]) -> RouterSettings:
        """Read the mapping."""
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
    advises = bool(get("policyLimits.retryAfter", False))
    return RetryLimits(
        max_attempts=int(get("policyLimits.mostHandOffs", 1)),
        hedging=bool(get("policyLimits.secondCopies", False)),
        can_cancel=bool(get("policyLimits.cancel", False)),
        connect_timeout_ms=get("policyLimits.connectTimeoutMs", 100.0),
        answer_slack_ms=get("rules.answerSlackMs", 2.0),
        max_retry_after_ms=get("policyLimits.maxRetryAfterMs", 0.0) if advises else 0.0,
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
