"""When discovery is called again: the idle timeout of a watch, and the backoff before the next call.

This module makes decisions only: it does no I/O and reads no clock, and the random generator is passed in.
Times are in seconds.

A dispatcher must know a change at the latest `MAX_STALENESS_S` after discovery had it and could be reached.
So the backoff before a call is limited to what remains of that bound after subtracting the age of the current
list (the time since it was last known to be current) and the time that the call may take:

    age + backoff + RESPONSE_TIMEOUT_S <= MAX_STALENESS_S

The age depends on how the last watch ended:

    interrupted       at most 2 s, because discovery sends an empty line every 2 s
    idle              IDLE_TIMEOUT_S
    no response       RESPONSE_TIMEOUT_S, or IDLE_TIMEOUT_S after the response began
    refused           grows: a call that is refused or closed at once does not reset the age
    at the start      zero: if lists are pushed, the dispatcher serves from the first message on, or after
                      STARTUP_TIMEOUT_S, or RESPONSE_TIMEOUT_S if a call may still be answered
    after a reload    zero: the call is made at once, whatever backoff the old watch was in

If calls were refused until nothing of the bound remained, the bound is counted anew from the last refusal.

The backoff grows and has jitter, so that the dispatchers of a fleet do not call at the same time.
"""

from __future__ import annotations

from enum import StrEnum
from random import Random


class WatchEnd(StrEnum):
    """How a watch ended."""

    INTERRUPTED = "cut"  # the connection failed, went idle or carried an invalid list
    REFUSED = "refused"  # discovery refused the call


# Bound on how long a change may stay unknown to a dispatcher while discovery has it and can be reached.
MAX_STALENESS_S = 6.0
# Discovery sends an empty line every 2 s: after 3 s without any, the connection is dead or discovery is down.
IDLE_TIMEOUT_S = 3.0
# A busy discovery may queue a call for 2 s; one that has not responded by then will not respond.
RESPONSE_TIMEOUT_S = 2.2
# If lists are pushed, an agent on the dispatcher's own host holds them: a call is cheap, and the dispatcher
# must apply the agent's changes at once, apart from the grace period that the rule on drains allows. This is
# half of the usual grace period.
MAX_LOCAL_BACKOFF_S = 0.15
# Otherwise discovery is one service for the whole fleet, or the agent forwards to one that refuses calls. Its
# capacity is shared, and when many call at once none gets an answer. So each dispatcher calls at a random
# time in a range that grows by this much for each dispatcher beyond the first few, within the bound.
CALL_SPACING_S = 0.1
DISPATCHERS_WITHOUT_SPACING = 8
# Limits of the backoff and of the jitter range after an interrupted watch.
MAX_INTERRUPTED_BACKOFF_S = 2.0
MAX_INTERRUPTED_JITTER_S = 2.0
# After each refusal the backoff doubles up to this maximum, and the jitter range is twice the usual one.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 6.0
# How long a start waits for the agent's first message before the configured list is used: a tenth of the time
# that a start may take. A call that is still unanswered then is waited for, RESPONSE_TIMEOUT_S in all.
STARTUP_TIMEOUT_S = 1.0


class PollBackoff:
    """The backoff of one dispatcher before its calls for the endpoint list."""

    def __init__(self, random: Random, dispatchers: float = 1.0, pushed: bool = False) -> None:
        """Initialise the backoff.

        Args:
            random: the source of jitter.
            dispatchers: the number of dispatchers that share a discovery service.
            pushed: whether an agent on this host holds the list.
        """
        self.random = random
        self.jitter_s = CALL_SPACING_S * max(0.0, dispatchers - DISPATCHERS_WITHOUT_SPACING)
        self.backoff_s = INITIAL_BACKOFF_S
        self.is_shared = not pushed
        # How long a start waits for the first message before it serves.
        self.startup_timeout_s = STARTUP_TIMEOUT_S if pushed else 0.0

    def next_delay_s(self, end: WatchEnd, received: bool, age_s: float = 0.0) -> float:
        """Return how long to wait before the next call.

        `end` is how the last watch ended, and `received` whether it brought a complete line. `age_s` is the
        time since the current list was last known to be current, or since the call began if it did not reach
        discovery.
        """
        max_delay_s = MAX_STALENESS_S - RESPONSE_TIMEOUT_S - age_s
        if max_delay_s <= 0.0:
            max_delay_s = MAX_STALENESS_S - RESPONSE_TIMEOUT_S
        if end == WatchEnd.REFUSED:
            # Calls to an agent that refuses them are not cheap: spread them from now on.
            self.is_shared = True
            self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2.0)
            return self._with_jitter(2.0 * self.jitter_s, max_delay_s)
        if self.is_shared:
            self.backoff_s = (
                INITIAL_BACKOFF_S if received else min(MAX_INTERRUPTED_BACKOFF_S, self.backoff_s * 2.0)
            )
            return self._with_jitter(min(MAX_INTERRUPTED_JITTER_S, self.jitter_s), max_delay_s)
        # Random as well, so that dispatchers on the same host do not call at the same time.
        return min(MAX_LOCAL_BACKOFF_S, max_delay_s) * self.random.random()

    def _with_jitter(self, jitter_s: float, max_delay_s: float) -> float:
        """Return a random delay around the backoff with this jitter range, limited to `max_delay_s`."""
        longest_s = min(1.5 * self.backoff_s + jitter_s, max_delay_s)
        # If the limit shortens the delay, half of the delay is still random.
        shortest_s = min(0.5 * self.backoff_s, 0.5 * longest_s)
        return shortest_s + (longest_s - shortest_s) * self.random.random()
