"""The zone statistics for agents: unanswered attempts, the limit on zones, and the wire form."""

import orjson
import pytest
from support.event_loop import on_loop
from support.router_rig import SETTINGS

from dunepulley.clocks import Clock
from dunepulley.control.plan_application import Follower
from dunepulley.net.endpoint_view import EndpointView
from dunepulley.net.messages import PendingRequest, UpstreamAttempt
from dunepulley.net.zone_statistics import MAX_ZONES, UNANSWERED_MS, ZoneStatistics
from dunepulley.routing.events import AttemptResult, RequestArrived
from dunepulley.routing.router import Router


def ended_attempt(result, **flags):
    request = PendingRequest(RequestArrived("a", "look", 1000.0), 0.0, "/look/1", {}, b"x")
    attempt = UpstreamAttempt(request, 0, "w0", "127.0.0.1:1", 1000.0, 0.0, 500.0)
    attempt.result = result
    for name, value in flags.items():
        setattr(attempt, name, value)
    return attempt


def counts_of(attempt, now):
    statistics = ZoneStatistics()
    statistics.count_attempt("a", attempt, now)
    counts = statistics.attempts_by_zone.get("a")
    return (counts.sent, counts.unanswered) if counts is not None else None


@pytest.mark.parametrize(
    ("result", "now", "counts"),
    [
        (AttemptResult.COMPLETED, UNANSWERED_MS, (1, 0)),
        (AttemptResult.ERRORED, UNANSWERED_MS - 1.0, (1, 0)),
        (AttemptResult.CANCELLED, UNANSWERED_MS - 1.0, (1, 0)),
        (AttemptResult.CANCELLED, UNANSWERED_MS, (1, 1)),
        (AttemptResult.STALE_CONNECTION, UNANSWERED_MS, (1, 1)),
        (AttemptResult.CONNECT_FAILED, 0.0, (1, 1)),
        (AttemptResult.CONNECTION_LOST, 0.0, (1, 1)),
        (AttemptResult.NOT_SENT, UNANSWERED_MS, None),
    ],
)
@on_loop
async def test_an_attempt_is_unanswered_if_it_may_not_have_reached_the_endpoint(result, now, counts):
    assert counts_of(ended_attempt(result), now) == counts


@pytest.mark.parametrize("flag", ["response_started", "callback_received"])
@on_loop
async def test_an_attempt_with_a_response_or_callback_counts_as_answered(flag):
    assert counts_of(ended_attempt(AttemptResult.CANCELLED, **{flag: True}), 9e9) == (1, 0)


@on_loop
async def test_zones_beyond_the_limit_are_not_counted():
    statistics = ZoneStatistics()
    for number in range(MAX_ZONES + 5):
        statistics.count_attempt(f"z{number}", ended_attempt(AttemptResult.COMPLETED), 0.0)
    assert len(statistics.attempts_by_zone) == MAX_ZONES
    statistics.count_attempt("z0", ended_attempt(AttemptResult.COMPLETED), 0.0)
    assert statistics.attempts_by_zone["z0"].sent == 2


@pytest.mark.parametrize("mode", ["alone", "with a follower"])
@on_loop
async def test_the_report_has_the_form_that_agents_read(mode):
    statistics, endpoints = ZoneStatistics(), EndpointView(Clock(), lambda update: None)
    if mode == "with a follower":
        endpoints.follower = Follower("n0", "a")
    statistics.count_attempt("a", ended_attempt(AttemptResult.CONNECT_FAILED), 0.0)
    statistics.unserved_requests, statistics.expected_work_ms = 2, 1.5
    report = statistics.report(endpoints, Router(1, SETTINGS, 0.0), 0.0)
    assert orjson.dumps(report.to_wire()) == (
        b'{"how":"alone","plan":[0,0],"escapes":0,"work":1.5,"refused":2,'
        b'"zones":{"a":[0.0,0.0,0.0,0.0,0.0,1,1]}}'
    )
