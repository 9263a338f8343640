"""Start times: how long a start may take, derived from the quickest recent start."""

import pytest

from dunepulley.routing.settings import RetryLimits
from dunepulley.routing.start_times import StartTimes

OPEN, NEW = ("zone", True), ("zone", False)


def test_unknown_path_uses_the_connect_timeout():
    times = StartTimes(RetryLimits(connect_timeout_ms=80.0))
    assert times.grace_ms(NEW) == 20.0 + 1.5 * 80.0


def test_each_path_uses_its_own_quickest_start():
    times = StartTimes(RetryLimits())
    assert times.record(NEW, 40.0) == 0.0
    assert times.record(OPEN, 2.0) == 0.0
    # The delay beyond the quickest start, whose value grows by a twentieth with each start.
    assert times.record(NEW, 100.0) == pytest.approx(100.0 - 42.0)
    assert times.grace_ms(NEW) == pytest.approx(20.0 + 1.5 * 42.0)
    assert times.grace_ms(OPEN) == pytest.approx(20.0 + 1.5 * 2.0)
    assert times.record(NEW, 10.0) == 0.0 and times.grace_ms(NEW) == 35.0
