"""The four rules on the module alone."""

import pytest
from helpers import LEAVING, LEFT, Rig, entry, of

from dunepulley.interface import (
    CHANGES,
    CUT,
    ERRED,
    FINISHED,
    FULL,
    NOT_CONNECTED,
    TAKEN_BACK,
    TIMED_OUT,
    Arrived,
    Defer,
    Ended,
    HandOff,
    ListNews,
    Withdrawn,
    WriteOff,
)


@pytest.mark.parametrize(
    ("category", "result", "again", "final"),
    [
        ("look", ERRED, True, Defer),
        ("look", CUT, True, Defer),
        ("store", ERRED, True, WriteOff),
        ("store", FULL, True, Defer),
        ("pay", ERRED, False, WriteOff),
        ("pay", CUT, False, WriteOff),
        ("pay", TAKEN_BACK, False, WriteOff),
        ("pay", FULL, True, Defer),
        ("pay", NOT_CONNECTED, True, Defer),
    ],
)
def test_another_hand_off_only_where_a_repeat_is_harmless(category, result, again, final):
    rig = Rig(workers=8)
    first = of(HandOff, rig.feed(Arrived("a", category, 5000.0)))[0]
    commands = rig.feed(Ended("a", 0, result, first.worker), after=50.0)
    assert bool(of(HandOff, commands)) == again
    if not again:
        assert of(final, commands)
    # The rest of the way, by its own budget, to exactly one answer.
    for ho in range(1, 6):
        if "a" in rig.answer:
            break
        assert len(rig.sent["a"]) > ho, "neither handed off nor answered"
        commands = rig.feed(Ended("a", ho, result, rig.sent["a"][ho][0]), after=50.0)
    assert rig.answer["a"] == final.__name__


@pytest.mark.parametrize("state", [LEAVING, LEFT])
def test_nothing_goes_to_a_worker_that_drains(state):
    rig = Rig(workers=2)
    rig.feed(ListNews(CHANGES, (entry(0, state),)))
    sent = [of(HandOff, rig.feed(Arrived(f"a{n}", "look", 5000.0), after=200.0)) for n in range(6)]
    assert {c.worker for commands in sent for c in commands} == {"w1"}


@pytest.mark.parametrize("result", [FINISHED, TIMED_OUT, ERRED])
def test_news_after_the_end_changes_nothing(result):
    rig = Rig()
    first = of(HandOff, rig.feed(Arrived("a", "look", 5000.0)))[0]
    rig.feed(Withdrawn("a"))
    rig.answer["a"] = "withdrawn"
    assert not of(HandOff, rig.feed(Ended("a", 0, result, first.worker, over=True), after=10.0))
    assert not rig.feed(Withdrawn("a"), Ended("a", 0, result, first.worker))
    assert not rig.brain.items


@pytest.mark.parametrize(
    ("after", "again"), [(100.0, True), (2600.0, True), (2900.0, False), (4000.0, False)]
)
def test_a_ticketed_item_is_repeated_only_within_its_window(after, again):
    rig = Rig(workers=8, categories__1__dueTimeMs=4900.0, familyInfo__tellsStart=False)
    first = of(HandOff, rig.feed(Arrived("a", "store", 5000.0, hint=100.0)))[0]
    commands = rig.feed(Ended("a", 0, ERRED, first.worker), after=after)
    assert bool(of(HandOff, commands)) == again and bool(of(WriteOff, commands)) != again


@pytest.mark.parametrize(
    ("settings", "open_gate"),
    [
        ({"policyLimits__secondCopies": True}, True),
        ({"policyLimits__secondCopies": False}, False),
        ({"policyLimits__mostHandOffs": 1.0}, False),
    ],
)
def test_the_gate_lets_a_second_copy_through_only_where_allowed(settings, open_gate):
    rig = Rig(workers=4, **settings)
    rig.feed(Arrived("a", "look", 5000.0))
    assert rig.brain._gate(rig.brain.items["a"], 0) == open_gate
