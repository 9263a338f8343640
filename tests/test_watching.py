"""When the list is asked for again: the longest time for which an old one can be acted on, path by path."""

from random import Random

import pytest

from dunepulley import watching
from dunepulley.watching import CUT, REFUSED, Patience

# What the protocol allows: news counts as told so long after silence; the grace with its slack.
SILENT_MOST, CUT_MOST = 6.0, 0.35


@pytest.mark.parametrize("many", [1.0, 9.0, 40.0, 200.0, 2000.0])
@pytest.mark.parametrize("heard", [True, False])
def test_where_lists_are_pushed_a_broken_watch_is_opened_within_the_grace(many, heard):
    # Guards against calls spread over what two hundred dispatchers would need at one discovery: 19 s, in
    # which workers that had left got work. The agent is on the dispatcher's own machine: asking it is free.
    for seed in range(50):
        patience = Patience(Random(seed), many, True)
        waits = [patience.wait(CUT, heard) for _ in range(20)]
        assert max(waits) < 0.5 * CUT_MOST
    # Silent, then called in vain once and again before the news counts.
    assert watching.SILENCE_S + watching.ANSWER_S + 2.0 * max(waits) < SILENT_MOST


@pytest.mark.parametrize("many", [1.0, 40.0, 200.0, 2000.0])
def test_where_lists_are_asked_for_silence_ends_before_its_news_counts(many):
    for seed in range(50):
        patience = Patience(Random(seed), many, False)
        assert max(patience.wait(CUT, True) for _ in range(20)) + watching.SILENCE_S < SILENT_MOST
        assert max(patience.wait(CUT, False) for _ in range(20)) < SILENT_MOST


@pytest.mark.parametrize(("end", "span"), [(CUT, 2.0), (REFUSED, 6.4)])
def test_forty_whose_watch_ends_at_one_moment_call_over_a_span(end, span):
    # Guards against calls that fail by each other: more wait in turn than can be answered in time.
    waits = [Patience(Random(seed), 40.0, end == REFUSED).wait(end, True) for seed in range(40)]
    for part in range(4):
        assert 4 <= sum(part * span / 4 <= wait < (part + 1) * span / 4 for wait in waits) <= 18
    assert max(Patience(Random(seed), 3.0).wait(end, True) for seed in range(40)) < 0.5


def test_an_agent_that_turned_calls_away_is_asked_in_a_span_from_then_on():
    # Guards against a fleet that keeps an overbooked discovery so, each time that its watches are cut.
    waits = []
    for seed in range(40):
        patience = Patience(Random(seed), 40.0, True)
        patience.wait(REFUSED, False)
        waits.append(patience.wait(CUT, True))
    assert max(waits) > 1.5


def test_a_fleet_that_is_refused_asks_ever_more_seldom_and_not_in_step():
    # Guards against a fleet that keeps an overbooked discovery so by asking: forty started at one moment.
    rows = []
    for seed in range(40):
        patience = Patience(Random(seed), 1.0, True)
        rows.append([patience.wait(REFUSED, False) for _ in range(9)])
    mean = [sum(row[k] for row in rows) / 40 for k in range(9)]
    assert all(later > 1.5 * before for before, later in zip(mean[:5], mean[1:6], strict=True))
    assert max(map(max, rows)) <= 1.5 * watching.LONGEST_S
    for k in range(9):
        # In any tenth of the span in which they ask, well under half of the fleet.
        times = [sum(row[: k + 1]) for row in rows]
        tenth = (max(times) - min(times)) / 10
        assert max(sum(at <= other < at + tenth for other in times) for at in times) <= 16


def test_a_very_large_fleet_that_is_refused_waits_no_longer_than_stated():
    patience = Patience(Random(3), 2000.0, True)
    most = 1.5 * watching.LONGEST_S + watching.SPAN_S
    assert max(patience.wait(REFUSED, False) for _ in range(200)) <= most
