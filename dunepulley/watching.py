"""When the list of workers is asked for again: how long a watch may be silent, and each wait before a call.

Decisions only: no I/O, no clock; chance comes from a generator that is handed in. Times are seconds.

What discovery has to tell counts as told whether it was heard or not, so the waits bound how long a
dispatcher can act on an old list. From the moment a watch breaks or falls silent to the moment the next call
goes out, which a discovery that is up answers:

    cut             AGAIN_S where lists are pushed; else at most 1.5 * CUT_S + SHARED_S
    silence         SILENCE_S more than that
    a silent call   for each, SILENCE_S if it began to answer, else ANSWER_S, and then as for a cut
    start           where lists are pushed nothing: it serves from the answer on, or START_S; else ANSWER_S
    reload          nothing: the call goes out at once
    refused         1.5 * LONGEST_S + SPAN_S: there the list in hand is all that is to be had
"""

from __future__ import annotations

from random import Random

# How a watch came to its end: it broke, fell silent or brought no list; or the call was turned away.
CUT, REFUSED = "cut", "refused"

# An empty line comes every 2 s: after 3 s without any the watch is dead or discovery is down. What it misses
# counts as told 6 s after it fell silent, which leaves time for a call that is not answered and one more.
SILENCE_S = 3.0
# A call may wait in turn for 2 s at a discovery that has much to do; what says nothing for longer won't.
ANSWER_S = 2.5
# Where lists are pushed they lie with an agent on the dispatcher's own machine: asking costs nothing, and
# what it has counts as told at once, with the grace of the rule on drains. Half of the usual grace.
AGAIN_S = 0.15
# Else discovery is one service for all, or the agent leads to one that turns calls away: then each call costs
# what all share, and when many call at once none is answered. So they call at a time of chance in a span that
# leaves each this much; cut, at most as long as with the wait before it leaves a second of the 6 s.
APART_S, HANDFUL, CUT_S, SHARED_S = 0.1, 8, 2.0, 2.0
# Who is refused waits twice as long each time, in twice the span, up to this.
FIRST_S, LONGEST_S, SPAN_S = 0.1, 6.0, 8.0
# So long a start waits for the agent's first word; it answers at once, or is down, and then the list of the
# configuration has to do. A tenth of the time that a start may take, and little beside it.
START_S = 1.0


class Patience:
    """The waits of one dispatcher before its calls for the list."""

    def __init__(self, chance: Random, dispatchers: float = 1.0, pushed: bool = False) -> None:
        self.chance = chance
        self.span = APART_S * max(0.0, dispatchers - HANDFUL)
        self.pause = FIRST_S
        self.shared = not pushed
        # How long a start puts off serving for the first word of the list.
        self.start = START_S if pushed else 0.0

    def wait(self, end: str, heard: bool) -> float:
        """How long to wait before the next call, after a watch that ended so and brought a line or not."""
        if end == REFUSED:
            # An agent that turns calls away is not as cheap as it should be: from now on spread them.
            self.shared = True
            self.pause = min(LONGEST_S, self.pause * 2.0)
            return self._about(self.pause) + min(SPAN_S, 2.0 * self.span) * self.chance.random()
        if self.shared:
            self.pause = FIRST_S if heard else min(CUT_S, self.pause * 2.0)
            return self._about(self.pause) + min(SHARED_S, self.span) * self.chance.random()
        # A time of chance all the same: dispatchers that share a machine are not to call in step.
        return AGAIN_S * self.chance.random()

    def _about(self, pause: float) -> float:
        return pause * (0.5 + self.chance.random())
