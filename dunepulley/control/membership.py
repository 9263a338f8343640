"""Which agents of a fleet are reachable, as seen from one of them, and which one leads.

The members are a fixed list from every agent's configuration. Each agent exchanges heartbeats with every
other one. A heartbeat carries the sender's incarnation and how long ago it heard from each of the others, so
that a member that is unreachable from here is told from one that is gone, and a link that works in one
direction only is recognised.

Incarnations and failure reports by way of other members are those of SWIM: A. Das, I. Gupta and
A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (2002).
Its random probes and piggybacked gossip are not needed for a fixed list this short.

All times are ms of this host's steady clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

# Agents exchange heartbeats each half second; four that are missed in a row are no jitter.
HEARTBEAT_TIMEOUT_MS = 2000.0
# How long a member waits before it leads in the place of those before it: two round trips and two writes.
TAKEOVER_DELAY_MS = 1500.0
INFINITY = float("inf")


class MemberStatus(StrEnum):
    """How a member stands; the values are shown to operators."""

    SELF = "me"
    REACHABLE = "here"
    # It is heard, and does not hear this agent.
    ONE_WAY = "one way"
    # It is not heard here, and another member hears it.
    UNREACHABLE = "cut"
    # Nobody hears it.
    GONE = "gone"
    # It answers with an older version of the protocol.
    OLDER_VERSION = "older"


class Heartbeat(NamedTuple):
    """The last heartbeat of a member.

    `incarnation` is the start of its process; `ages` holds how many ms before it had heard from each other.
    """

    received_ms: float
    incarnation: float
    ages: Mapping[str, float]


class Membership:
    """What one agent knows of all members."""

    def __init__(self, name: str, members: tuple[str, ...]) -> None:
        self.name = name
        self.members = members
        self.heartbeats: dict[str, Heartbeat] = {}
        # Those that answered the last call with an older version of the protocol.
        self.older_version: set[str] = set()
        # Why the last call to a member failed; empty where it did not.
        self.problems: dict[str, str] = {}
        self.leading_since = INFINITY

    @property
    def majority(self) -> int:
        """How many members decide."""
        return len(self.members) // 2 + 1

    def record_heartbeat(self, name: str, now: float, incarnation: float, ages: Mapping[str, float]) -> bool:
        """Take in a heartbeat; False where the sender is no other member, or an ended incarnation."""
        if name not in self.members or name == self.name:
            return False
        last = self.heartbeats.get(name)
        if (
            last is not None
            and incarnation < last.incarnation
            and now - last.received_ms < HEARTBEAT_TIMEOUT_MS
        ):
            # A process that ends beside its successor. After a while it may as well be a clock set back.
            return False
        known = {member: ages[member] for member in self.members if member in ages}
        self.heartbeats[name] = Heartbeat(now, incarnation, known)
        self.older_version.discard(name)
        return True

    def ages(self, now: float) -> dict[str, float]:
        """How many ms ago each other member was heard: what a heartbeat carries."""
        return {name: max(0.0, now - last.received_ms) for name, last in self.heartbeats.items()}

    def status(self, name: str, now: float) -> MemberStatus:
        """How a member stands, seen from here."""
        if name == self.name:
            return MemberStatus.SELF
        last = self.heartbeats.get(name)
        if last is not None and now - last.received_ms < HEARTBEAT_TIMEOUT_MS:
            return MemberStatus.REACHABLE if self._hears_this_agent(last, now) else MemberStatus.ONE_WAY
        if name in self.older_version:
            return MemberStatus.OLDER_VERSION
        return MemberStatus.UNREACHABLE if self._is_heard_by_another(name, now) else MemberStatus.GONE

    def _hears_this_agent(self, heartbeat: Heartbeat, now: float) -> bool:
        age = heartbeat.ages.get(self.name)
        # The age has grown since it was sent; twice the time, as the calls of both sides are not in step.
        return age is not None and age + (now - heartbeat.received_ms) < 2.0 * HEARTBEAT_TIMEOUT_MS

    def _is_heard_by_another(self, name: str, now: float) -> bool:
        for other, last in self.heartbeats.items():
            age = last.ages.get(name)
            if other == name or age is None:
                continue
            if now - last.received_ms < HEARTBEAT_TIMEOUT_MS and age < HEARTBEAT_TIMEOUT_MS:
                return True
        return False

    def statuses(self, now: float) -> dict[str, MemberStatus]:
        """How all members stand."""
        return {name: self.status(name, now) for name in self.members}

    def may_lead(self, now: float) -> bool:
        """Whether this agent is the one to decide now.

        The first reachable member of the list leads. Any but the first of the list waits before it takes
        over, so that two members with different views seldom propose at once; where they do, ballots settle
        it. A member that reaches no majority cannot decide and does not try.
        """
        statuses = self.statuses(now)
        reachable = [
            name for name in self.members if statuses[name] in (MemberStatus.REACHABLE, MemberStatus.SELF)
        ]
        if len(reachable) < self.majority or reachable[0] != self.name:
            self.leading_since = INFINITY
            return False
        self.leading_since = min(self.leading_since, now)
        is_first = self.members[0] == self.name
        return now - self.leading_since >= (0.0 if is_first else TAKEOVER_DELAY_MS)
