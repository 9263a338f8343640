"""What one dispatcher does that is harmless alone and harmful when forty do it."""

import pytest
from helpers import Rig, entry
from test_decisions import report

from dunepulley.brain import PERIOD
from dunepulley.interface import FULL_LIST, ListNews


@pytest.mark.parametrize("heard_first", [False, True])
def test_workers_of_which_little_is_known_get_turns_by_their_size(heard_first):
    # Guards against thin traffic sending small workers as much as large ones: forty together fill the small.
    rig = Rig(workers=0)
    sizes = [2.5, 7.5] * 10
    rig.feed(ListNews(FULL_LIST, tuple(entry(k, units=size) for k, size in enumerate(sizes))))
    assert rig.brain.share[1] == pytest.approx(3.0 * rig.brain.share[0])
    if heard_first:
        for number, size in enumerate(sizes):
            rig.brain._heard_of(f"w{number}", report(size, 0.0))
    for _ in range(20):
        rig.feed(after=PERIOD)
    assert rig.brain.share[1] > 2.5 * rig.brain.share[0]
