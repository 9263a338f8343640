"""The lifecycle of a request: hedged and moved attempts, and the latency objective."""

import pytest
from support.router_rig import RouterRig, commands_of

from dunepulley.routing.commands import CancelAttempt, Reject, StartAttempt
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    RequestArrived,
    TimerFired,
)


@pytest.mark.parametrize(("start_delay_ms", "is_hedged"), [(0.0, True), (150.0, False)])
def test_attempt_within_its_usual_start_time_is_not_hedged(start_delay_ms, is_hedged):
    rig = RouterRig(endpoints=4)
    rig.feed(RequestArrived("first", "look", 5000.0, expected_ms=100.0))
    rig.feed(AttemptStarted("first", 0), after=start_delay_ms)
    rig.feed(AttemptEnded("first", 0, AttemptResult.COMPLETED, rig.sent["first"][0][0], answered=True))
    # Guards against hedging while a connection is being established, when a start takes its usual time.
    rig.feed(RequestArrived("a", "look", 5000.0, expected_ms=50.0))
    for _ in range(20):
        rig.feed(TimerFired(rig.router.timers.token), after=10.0)
    assert (len(rig.sent["a"]) > 1) == is_hedged


@pytest.mark.parametrize(
    ("settings", "command_type"),
    [
        ({"policyLimits__secondCopies": True}, StartAttempt),
        ({"policyLimits__secondCopies": False}, CancelAttempt),
        ({"policyLimits__secondCopies": False, "policyLimits__cancel": False}, None),
        ({"familyInfo__tellsStart": False}, None),
    ],
)
def test_attempt_that_does_not_start_is_hedged_or_moved_if_allowed(settings, command_type):
    rig = RouterRig(endpoints=3, **settings)
    rig.feed(RequestArrived("a", "look", 5000.0, expected_ms=200.0))
    moved = [
        command for _ in range(9) for command in rig.feed(TimerFired(rig.router.timers.token), after=50.0)
    ]
    assert command_type is None or commands_of(command_type, moved)
    if command_type is None:
        assert not commands_of(StartAttempt, moved)


def test_first_of_two_hedged_attempts_to_start_is_kept():
    rig = RouterRig(endpoints=3)
    rig.feed(RequestArrived("a", "look", 5000.0, expected_ms=200.0))
    for _ in range(9):
        rig.feed(TimerFired(rig.router.timers.token), after=50.0)
    assert CancelAttempt("a", 0) in rig.feed(AttemptStarted("a", 1))
    assert not commands_of(
        StartAttempt, rig.feed(AttemptEnded("a", 0, AttemptResult.CANCELLED, rig.sent["a"][0][0]))
    )
    rig.feed(AttemptEnded("a", 1, AttemptResult.COMPLETED, rig.sent["a"][1][0], answered=True))
    for number, (endpoint, _, result) in enumerate(rig.sent["a"]):
        if not result:
            rig.feed(AttemptEnded("a", number, AttemptResult.CANCELLED, endpoint, answered=True))
    assert not rig.router.lifecycle.requests


@pytest.mark.parametrize("first", [0, 1])
def test_running_attempt_is_neither_cancelled_nor_hedged(first):
    rig = RouterRig(endpoints=4)
    rig.feed(RequestArrived("a", "look", 5000.0, expected_ms=200.0))
    while len(rig.sent["a"]) < 2:
        rig.feed(TimerFired(rig.router.timers.token), after=50.0)
    # Guards against cancelling the running attempt after its hedge was cancelled, and against running both.
    rig.feed(AttemptStarted("a", first))
    assert CancelAttempt("a", 1 - first) in rig.feed(AttemptStarted("a", 1 - first), after=5.0)
    rig.feed(AttemptEnded("a", 1 - first, AttemptResult.CANCELLED, rig.sent["a"][1 - first][0]))
    later = [
        command for _ in range(40) for command in rig.feed(TimerFired(rig.router.timers.token), after=50.0)
    ]
    assert (
        "a" not in rig.answer
        and not commands_of(StartAttempt, later)
        and CancelAttempt("a", first) not in later
    )


@pytest.mark.parametrize(("request_class", "is_rejected"), [("look", True), ("pay", False)])
def test_attempt_that_can_only_end_late_is_cancelled_if_client_may_retry(request_class, is_rejected):
    # Guards against requests that can only complete late and delay those queued behind them.
    rig = RouterRig(endpoints=1, policyLimits__secondCopies=False)
    rig.feed(RequestArrived("a", request_class, 5000.0, expected_ms=200.0))
    commands = [each for _ in range(13) for each in rig.feed(TimerFired(rig.router.timers.token), after=50.0)]
    # The request is due after 500 ms, of which an endpoint twice as fast as expected takes 100 ms.
    assert (Reject("a") in commands) is is_rejected
    assert (CancelAttempt("a", 0) in commands) is is_rejected
