"""A replicated register with compare-and-set, agreed on by a majority of acceptors.

The algorithm is CASPaxos: D. Rystsov, "CASPaxos: Replicated State Machines without logs" (2018). A proposer
has a ballot promised by a majority of acceptors, applies its change to the newest value that any of them has
accepted, and has the result accepted by a majority.

Nothing here does I/O. `prepare` and `accept` are the acceptor: the state that they return must be on disk
before the reply is sent. `ProposerRound` is one round of a proposer: the caller sends the requests and feeds
in the replies.

Values are opaque bytes; empty bytes are the register before its first write.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from dunepulley import errors

# A value is a plan of some kilobytes. A larger one does not fit a line of a dispatcher's admin interface.
MAX_VALUE_LENGTH = 60_000


class Ballot(NamedTuple):
    """The number of a round. Ballots with equal counters are ordered by the proposer's name."""

    counter: int = 0
    proposer: str = ""


class AcceptorState(NamedTuple):
    """The durable state of an acceptor."""

    promised: Ballot = Ballot()
    accepted: Ballot = Ballot()
    value: bytes = b""


class AcceptorReply(NamedTuple):
    """An acceptor's reply: whether it granted the request, and the ballot that it has promised.

    A reply to prepare also has the ballot and the value that the acceptor last accepted.
    """

    granted: bool
    promised: Ballot
    accepted: Ballot = Ballot()
    value: bytes = b""


def prepare(state: AcceptorState, ballot: Ballot) -> tuple[AcceptorState, AcceptorReply]:
    """Promise to accept nothing older than `ballot`. Returns the state to store before the reply is sent."""
    if ballot <= state.promised:
        return state, AcceptorReply(False, state.promised)
    state = state._replace(promised=ballot)
    return state, AcceptorReply(True, ballot, state.accepted, state.value)


def accept(state: AcceptorState, ballot: Ballot, value: bytes) -> tuple[AcceptorState, AcceptorReply]:
    """Accept a value unless a newer ballot is promised. Returns the state to store before the reply is sent.

    A repeated accept is granted again, as the first reply may have been lost.
    """
    if ballot < state.promised:
        return state, AcceptorReply(False, state.promised)
    return AcceptorState(ballot, ballot, value), AcceptorReply(True, ballot)


class ChangeRefusedError(errors.RefusedError):
    """The change was not made because it does not apply to the current value of the register."""


class RoundState(StrEnum):
    """The phase that a proposer's round is in, or how it ended."""

    PREPARING = "preparing"
    ACCEPTING = "accepting"
    COMMITTED = "committed"
    PREEMPTED = "preempted"
    REFUSED = "refused"


class ProposerRound:
    """One attempt to change the register, with one ballot.

    `change` gets the current value and returns the next one, or raises `ChangeRefusedError`. A round that was
    preempted by a newer ballot, or that got too few replies, may or may not have taken effect: only a later
    round that reads the register can tell.
    """

    def __init__(self, acceptors: frozenset[str], ballot: Ballot, change: Callable[[bytes], bytes]) -> None:
        self.acceptors = acceptors
        self.ballot = ballot
        self.change = change
        self.state = RoundState.PREPARING
        self.promises: dict[str, AcceptorReply] = {}
        self.acceptances: set[str] = set()
        self.value = b""
        # Why the change was refused, if it was.
        self.refusal = ""
        # The newest ballot in any reply: the next round has to be newer.
        self.newest_ballot = ballot

    @property
    def majority(self) -> int:
        """The number of acceptors that form a majority."""
        return len(self.acceptors) // 2 + 1

    def on_promise(self, acceptor: str, reply: AcceptorReply) -> RoundState:
        """Process an acceptor's reply to prepare, and return the new state of the round."""
        if acceptor not in self.acceptors or self.state != RoundState.PREPARING:
            return self.state
        if not reply.granted:
            return self._on_rejection(reply)
        self.promises[acceptor] = reply
        if len(self.promises) >= self.majority:
            self._apply_change()
        return self.state

    def on_accepted(self, acceptor: str, reply: AcceptorReply) -> RoundState:
        """Process an acceptor's reply to accept, and return the new state of the round."""
        if acceptor not in self.acceptors or self.state != RoundState.ACCEPTING:
            return self.state
        if not reply.granted:
            return self._on_rejection(reply)
        self.acceptances.add(acceptor)
        if len(self.acceptances) >= self.majority:
            self.state = RoundState.COMMITTED
        return self.state

    def _apply_change(self) -> None:
        newest = max(self.promises.values(), key=lambda reply: reply.accepted)
        try:
            self.value = self.change(newest.value)
        except ChangeRefusedError as error:
            self.state, self.refusal = RoundState.REFUSED, str(error)
        else:
            self.state = RoundState.ACCEPTING

    def _on_rejection(self, reply: AcceptorReply) -> RoundState:
        self.newest_ballot = max(self.newest_ballot, reply.promised)
        # A rejection that names this round's own ballot answers an earlier copy of its request, and is no
        # sign of a newer round.
        if reply.promised > self.ballot:
            self.state = RoundState.PREEMPTED
        return self.state
