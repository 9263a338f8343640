"""Settings are parsed once; missing and unknown values have defaults."""

from dataclasses import FrozenInstanceError

import pytest
from support.router_rig import commands_of, endpoint_entry

from dunepulley.routing.commands import CheckHealth, Fail, StartAttempt
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    EndpointListUpdate,
    ListUpdateKind,
    RequestArrived,
)
from dunepulley.routing.router import Router
from dunepulley.routing.settings import (
    Idempotency,
    KeyScope,
    RequestClassSettings,
    RouterSettings,
    as_tuple,
)


@pytest.mark.parametrize(
    "settings",
    [
        {},
        {"reporting.how": "probe"},
        {"policyLimits.mostHandOffs": 1.0, "categories.count": 1.0, "categories.0.effect": "strange"},
        {"categories.count": 1.0, "categories.0.effect": "ticketed", "categories.0.keyScope": "planet"},
    ],
)
def test_missing_and_unknown_settings_have_safe_defaults(settings):
    router = Router(1, settings | {"something": "unknown"}, 0.0)
    commands = router.handle(
        0.0,
        [
            EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(0), endpoint_entry(1))),
            RequestArrived("a", "0", 900.0),
        ],
    )
    first = commands_of(StartAttempt, commands)[0]
    after = router.handle(10.0, [AttemptEnded("a", 0, AttemptResult.ERRORED, first.endpoint_id)])
    # A class that is not stated to be idempotent is never retried, and no health check is sent unless
    # allowed.
    assert commands_of(Fail, after) and not commands_of(CheckHealth, commands)


def test_defaults():
    settings = RouterSettings.from_mapping({})
    assert settings.classes == {} and settings.tenant_shares == {}
    assert settings.slow_start.initial_capacity == 0.1 and settings.slow_start.warm_up_ms == 0.0
    assert settings.slow_start.overload_multiple == 1.0 and settings.slow_start.window_ms == 1000.0
    assert settings.retries.max_attempts == 1 and settings.retries.connect_timeout_ms == 100.0
    assert settings.retries.answer_slack_ms == 2.0 and settings.retries.max_retry_after_ms == 0.0
    assert not settings.retries.hedging and not settings.retries.can_cancel
    assert settings.reports.source == "none" and not settings.reports.can_check_health
    assert not settings.reports.reports_start and not settings.reports.reports_queue
    assert settings.over_quota_factor == 1.0 and not settings.value_scales_with_work
    assert (settings.dispatcher_count, settings.dispatcher_number) == (1.0, 0)
    assert settings.rank_name == settings.zone == "" and not settings.gossip
    assert not settings.capacity_is_live and settings.connection_idle_ms is None
    assert not settings.prefers_own_zone and not settings.prefers_open_connections
    assert not settings.clients_mark_retries


def test_unknown_settings_are_ignored():
    known = {"balancers": 3.0, "categories.count": 1.0, "categories.0.name": "look"}
    unknown = {"balancer": 5.0, "categories.1.name": "more", "categories.0.colour": "red", "": None}
    assert RouterSettings.from_mapping(known | unknown) == RouterSettings.from_mapping(known)


def test_settings_are_read_once_and_immutable():
    mapping = {"balancers": 3.0}
    router = Router(1, mapping, 0.0)
    mapping["balancers"] = 4.0
    assert router.settings.dispatcher_count == 3.0
    with pytest.raises(FrozenInstanceError):
        router.settings.dispatcher_count = 4.0
    with pytest.raises(FrozenInstanceError):
        router.settings.retries.max_attempts = 9


def test_classes_are_read_in_their_order():
    mapping = {"categories.count": 2.0, "categories.0.name": "look", "categories.1.dueTimeMs": 250.0}
    mapping |= {
        "familyInfo.classStretch": (3.0, 2.0),
        "categories.0.aimStretch": 4.0,
        "categories.0.payoff": 7.0,
    }
    look, second = RouterSettings.from_mapping(mapping).classes.items()
    assert look == ("look", RequestClassSettings(objective_stretch=4.0, priority_weight=7.0))
    # The default deadline is eight times the latency objective.
    assert second == ("1", RequestClassSettings(250.0, objective_stretch=2.0, deadline_ms=2000.0))


@pytest.mark.parametrize(
    ("effect", "scope", "idempotency"),
    [
        ("rerunnable", "planet", Idempotency.IDEMPOTENT),
        ("ticketed", "cell", Idempotency.KEYED),
        ("ticketed", "all", Idempotency.KEYED),
        ("ticketed", "planet", Idempotency.NON_IDEMPOTENT),
        ("ticketed", None, Idempotency.NON_IDEMPOTENT),
        ("exclusive", "all", Idempotency.NON_IDEMPOTENT),
        (None, "all", Idempotency.NON_IDEMPOTENT),
    ],
)
def test_class_with_unknown_key_scope_is_non_idempotent(effect, scope, idempotency):
    mapping = {"categories.0.effect": effect, "categories.0.keyScope": scope, "categories.count": 1.0}
    mapping = {name: value for name, value in mapping.items() if value is not None}
    (request_class,) = RouterSettings.from_mapping(mapping).classes.values()
    assert request_class.idempotency == idempotency
    if idempotency == Idempotency.KEYED:
        assert request_class.key_scope == KeyScope(scope)


@pytest.mark.parametrize(
    ("kinds", "indexes", "required"),
    [
        (("box", "large"), (1.0, -1.0), ["large", None]),
        ("box", 0.0, ["box", None]),
        (("box",), (4.0, 0.0), [None, "box"]),
        (None, None, [None, None]),
    ],
)
def test_required_kind_is_read_by_index(kinds, indexes, required):
    mapping = {"categories.count": 2.0, "kinds": kinds, "familyInfo.classKind": indexes}
    classes = RouterSettings.from_mapping(mapping).classes
    assert [each.required_kind for each in classes.values()] == required


@pytest.mark.parametrize(("is_enabled", "max_retry_after_ms"), [(True, 700.0), (False, 0.0)])
def test_max_retry_after_is_zero_unless_enabled(is_enabled, max_retry_after_ms):
    mapping = {"policyLimits.retryAfter": is_enabled, "policyLimits.maxRetryAfterMs": 700.0}
    assert RouterSettings.from_mapping(mapping).retries.max_retry_after_ms == max_retry_after_ms


@pytest.mark.parametrize(
    ("value", "values"), [(None, ()), ("a", ("a",)), (("a", "b"), ("a", "b")), (0.0, (0.0,)), ((), ())]
)
def test_a_setting_may_hold_one_value_or_several(value, values):
    assert as_tuple(value) == values
