"""Learning from how attempts start and end."""

import pytest
from routing_support import endpoints_of
from support.router_rig import RouterRig

from dunepulley.routing.events import AttemptEnded, AttemptResult, AttemptStarted, RequestArrived


def test_running_time_includes_time_before_first_progress_message():
    rig = RouterRig(
        1, familyInfo__tellsStart=False, familyInfo__progressMs=1000.0, categories__0__dueTimeMs=4000.0
    )
    rig.feed(RequestArrived("a", "look", 5000.0, expected_ms=2000.0))
    rig.feed(AttemptStarted("a", 0, 0.5), after=1000.0)
    rig.feed(AttemptEnded("a", 0, AttemptResult.COMPLETED, "w0", 2000.0, True), after=1000.0)
    # Guards against running times without the time before the first progress message: it ran 2 s, not 1 s.
    assert endpoints_of(rig)[0].observed_run_ms - 900.0 == pytest.approx(2000.0, abs=1.0)
