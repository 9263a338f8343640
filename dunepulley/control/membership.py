"""Cluster membership: which agents are reachable, as seen from one of them, and which one leads.

The members are a fixed list from every agent's configuration. Each agent exchanges heartbeats with every
other one. A heartbeat carries the sender's incarnation and the time since it last heard from each of the
others. This distinguishes a member that only this agent cannot reach from one that is down, and detects
links that work in one direction only.

Incarnations and indirect failure reports are those of SWIM: A. Das, I. Gupta and A. Motivala, "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol" (2002). Its random probes and piggybacked
gossip are not needed for a fixed list this short.

All times are ms of this host's steady clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

# Agents exchange heartbeats each half second; four that are missed in a row are more than jitter.
HEARTBEAT_TIMEOUT_MS = 2000.0
# How long a member waits before it takes over from an unreachable leader: two round trips and two writes.
TAKEOVER_DELAY_MS = 1500.0
INFINITY = float("inf")


class MemberStatus(StrEnum):
    """The status of a member; the values are shown to operators."""

    SELF = "me"
    REACHABLE = "here"
    # Its heartbeats arrive here, and it does not receive those of this agent.
    ONE_WAY = "one way"
    # Its heartbeats do not arrive here, but they reach another member.
    UNREACHABLE = "cut"
    # No member receives its heartbeats.
    GONE = "gone"
    # It answers with an older version of the protocol.
    OLDER_VERSION = "older"


class Heartbeat(NamedTuple):
    """The last heartbeat of a member.

    `incarnation` is the start time of its process. `ages` has, for each other member, how many ms before this
    heartbeat the sender had last heard from it.
    """

    received_ms: float
    incarnation: float
    ages: Mapping[str, float]


class Membership:
    """The status of all members as one agent sees it."""

    def __init__(self, name: str, members: tuple[str, ...]) -> None:
        self.name = name
        self.members = members
        self.heartbeats: dict[str, Heartbeat] = {}
        # The members that answered the last call with an older version of the protocol.
        self.older_version: set[str] = set()
        # Why the last call to a member failed, by its name; empty where it succeeded.
        self.last_errors: dict[str, str] = {}
        self.leading_since_ms = INFINITY

    @property
    def majority(self) -> int:
        """The number of members that form a majority."""
        return len(self.members) // 2 + 1

    def record_heartbeat(self, name: str, now: float, incarnation: float, ages: Mapping[str, float]) -> bool:
        """Record a heartbeat.

        Returns False, and ignores it, if the sender is not another member or is an earlier incarnation.
        """
        if name not in self.members or name == self.name:
            return False
        last = self.heartbeats.get(name)
        if (
            last is not None
            and incarnation < last.incarnation
            and now - last.received_ms < HEARTBEAT_TIMEOUT_MS
        ):
            # It is from an earlier process, which is still ending while the next one already runs. After the
            # timeout it is accepted, as the member's wall clock may have been set back between both starts.
            return False
        known_ages = {member: ages[member] for member in self.members if member in ages}
        self.heartbeats[name] = Heartbeat(now, incarnation, known_ages)
        self.older_version.discard(name)
        return True

    def ages(self, now: float) -> dict[str, float]:
        """The time in ms since the last heartbeat of each other member, which a heartbeat carries."""
        return {name: max(0.0, now - last.received_ms) for name, last in self.heartbeats.items()}

    def status(self, name: str, now: float) -> MemberStatus:
        """The status of a member as this agent sees it."""
        if name == self.name:
            return MemberStatus.SELF
        last = self.heartbeats.get(name)
        if last is not None and now - last.received_ms < HEARTBEAT_TIMEOUT_MS:
            return MemberStatus.REACHABLE if self._hears_this_agent(last, now) else MemberStatus.ONE_WAY
        if name in self.older_version:
            return MemberStatus.OLDER_VERSION
        return MemberStatus.UNREACHABLE if self._is_reached_by_another(name, now) else MemberStatus.GONE

    def _hears_this_agent(self, heartbeat: Heartbeat, now: float) -> bool:
        """Whether the sender of a heartbeat receives the heartbeats of this agent."""
        age = heartbeat.ages.get(self.name)
        # The age has grown since the heartbeat was sent. It may be up to twice the timeout, as the two sides
        # send at different moments.
        return age is not None and age + (now - heartbeat.received_ms) < 2.0 * HEARTBEAT_TIMEOUT_MS

    def _is_reached_by_another(self, name: str, now: float) -> bool:
        for other, last in self.heartbeats.items():
            age = last.ages.get(name)
            if other == name or age is None:
                continue
            if now - last.received_ms < HEARTBEAT_TIMEOUT_MS and age < HEARTBEAT_TIMEOUT_MS:
                return True
        return False

    def statuses(self, now: float) -> dict[str, MemberStatus]:
        """The status of all members by name."""
        return {name: self.status(name, now) for name in self.members}

    def may_lead(self, now: float) -> bool:
        """Whether this agent leads now, and so proposes new plans.

        The first reachable member of the list leads. All but the first of the list wait before they take
        over, so that two members with different views seldom propose at the same time; if they do, ballots
        decide between them. A member that does not reach a majority cannot commit a plan and does not try.
        """
        statuses = self.statuses(now)
        reachable = [
            name for name in self.members if statuses[name] in (MemberStatus.REACHABLE, MemberStatus.SELF)
        ]
        if len(reachable) < self.majority or reachable[0] != self.name:
            self.leading_since_ms = INFINITY
            return False
        self.leading_since_ms = min(self.leading_since_ms, now)
        is_first = self.members[0] == self.name
        return now - self.leading_since_ms >= (0.0 if is_first else TAKEOVER_DELAY_MS)
