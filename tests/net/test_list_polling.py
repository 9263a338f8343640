"""The backoff before calls to discovery, and the bound on the age of the endpoint list."""

from random import Random

import pytest

from dunepulley.net import list_polling
from dunepulley.net.list_polling import PollBackoff, WatchEnd

# The protocol's bound on the age of the list while discovery can be reached, and the grace period with slack.
MAX_STALENESS_S, GRACE_S = 6.0, 0.35
# By case: how the watch ended, whether it had brought a line, and the maximum age of the list at its end.
ENDS = {
    "interrupted": (WatchEnd.INTERRUPTED, True, 2.0),
    "interrupted before a line": (WatchEnd.INTERRUPTED, False, 2.0),
    "idle": (WatchEnd.INTERRUPTED, True, list_polling.IDLE_TIMEOUT_S),
    "idle before a line": (WatchEnd.INTERRUPTED, False, list_polling.IDLE_TIMEOUT_S),
    "no response": (WatchEnd.INTERRUPTED, False, list_polling.RESPONSE_TIMEOUT_S),
    "refused at once": (WatchEnd.REFUSED, False, 0.0),
    "refused after the response timeout": (WatchEnd.REFUSED, False, list_polling.RESPONSE_TIMEOUT_S),
    "refused after the idle timeout": (WatchEnd.REFUSED, False, list_polling.IDLE_TIMEOUT_S + 0.2),
    "refused repeatedly": (WatchEnd.REFUSED, False, 3.7),
    "interrupted repeatedly": (WatchEnd.INTERRUPTED, False, 3.7),
}


@pytest.mark.parametrize("case", ENDS)
@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("dispatchers", [1.0, 9.0, 40.0, 200.0, 2000.0])
def test_every_call_can_be_answered_within_the_staleness_bound(case, pushed, dispatchers):
    # Guards against using an old list for longer than allowed: 17 s after refusals, in the past.
    end, received, age_s = ENDS[case]
    for seed in range(100):
        random = Random(seed)
        backoff = PollBackoff(random, dispatchers, pushed)
        for _ in range(20):
            # Previous calls that were interrupted, unanswered or refused increase the backoff.
            backoff.next_delay_s(*random.choice(list(ENDS.values())))
            assert (
                age_s + backoff.next_delay_s(end, received, age_s) + list_polling.RESPONSE_TIMEOUT_S
                <= MAX_STALENESS_S + 1e-9
            )


@pytest.mark.parametrize("dispatchers", [1.0, 9.0, 40.0, 200.0, 2000.0])
@pytest.mark.parametrize("received", [True, False])
def test_with_pushed_lists_an_interrupted_watch_is_reopened_within_the_grace_period(dispatchers, received):
    # Guards against spreading the calls as two hundred dispatchers at one discovery would have to: over 19 s,
    # in which removed endpoints got requests. The agent is on the dispatcher's own host, so calls are cheap.
    for seed in range(50):
        backoff = PollBackoff(Random(seed), dispatchers, True)
        waits = [backoff.next_delay_s(WatchEnd.INTERRUPTED, received) for _ in range(20)]
        assert max(waits) < 0.5 * GRACE_S
    # There is time for the idle timeout, an unanswered call and another call within the bound.
    assert list_polling.IDLE_TIMEOUT_S + list_polling.RESPONSE_TIMEOUT_S + 2.0 * max(waits) < MAX_STALENESS_S


@pytest.mark.parametrize(("end", "range_s"), [(WatchEnd.INTERRUPTED, 2.0), (WatchEnd.REFUSED, 3.8)])
def test_forty_dispatchers_whose_watches_end_at_once_spread_their_calls(end, range_s):
    # Guards against calls that make each other fail: more are queued than can be answered in time.
    waits = [
        PollBackoff(Random(seed), 40.0, end == WatchEnd.REFUSED).next_delay_s(end, True) for seed in range(40)
    ]
    for quarter in range(4):
        assert 4 <= sum(quarter * range_s / 4 <= wait < (quarter + 1) * range_s / 4 for wait in waits) <= 18
    assert max(PollBackoff(Random(seed), 3.0).next_delay_s(end, True) for seed in range(40)) < 0.5


def test_calls_to_an_agent_that_refused_one_are_spread_from_then_on():
    # Guards against a fleet that keeps an overloaded discovery overloaded at every interruption.
    waits = []
    for seed in range(40):
        backoff = PollBackoff(Random(seed), 40.0, True)
        backoff.next_delay_s(WatchEnd.REFUSED, False)
        waits.append(backoff.next_delay_s(WatchEnd.INTERRUPTED, True))
    assert max(waits) > 1.5


def test_a_refused_fleet_calls_less_and_less_often_and_not_simultaneously():
    # Guards against a fleet of forty, started at once, that keeps an overloaded discovery overloaded.
    rows = []
    max_delay_s = MAX_STALENESS_S - list_polling.RESPONSE_TIMEOUT_S
    for seed in range(40):
        backoff = PollBackoff(Random(seed), 1.0, True)
        rows.append([backoff.next_delay_s(WatchEnd.REFUSED, False) for _ in range(9)])
    mean = [sum(row[k] for row in rows) / 40 for k in range(9)]
    assert all(later > 1.5 * before for before, later in zip(mean[:4], mean[1:5], strict=True))
    assert max(map(max, rows)) <= max_delay_s and min([min(row[5:]) for row in rows]) >= 0.5 * max_delay_s
    for k in range(9):
        # Well under half of the fleet calls within any tenth of the range.
        times = [sum(row[: k + 1]) for row in rows]
        tenth = (max(times) - min(times)) / 10
        assert max(sum(at <= other < at + tenth for other in times) for at in times) <= 16


@pytest.mark.parametrize("end", [WatchEnd.INTERRUPTED, WatchEnd.REFUSED])
def test_calls_keep_a_backoff_once_the_staleness_bound_is_exceeded(end):
    # Guards against calls without a delay once the bound cannot be met any more.
    backoff = PollBackoff(Random(3), 40.0, False)
    waits = [backoff.next_delay_s(end, False, 3.8 + 0.1 * call) for call in range(50)]
    assert sum(waits) / 50 > 1.0 and max(waits) <= MAX_STALENESS_S - list_polling.RESPONSE_TIMEOUT_S


def test_a_very_large_refused_fleet_uses_half_of_the_remaining_bound_as_jitter():
    backoff = PollBackoff(Random(3), 2000.0, True)
    waits = [backoff.next_delay_s(WatchEnd.REFUSED, False) for _ in range(200)]
    assert max(waits) <= MAX_STALENESS_S - list_polling.RESPONSE_TIMEOUT_S and max(waits) - min(waits) > 1.7
