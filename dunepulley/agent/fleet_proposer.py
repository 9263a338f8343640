"""This agent's CASPaxos proposer: changes the plan in the register that the fleet's acceptors replicate."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

import orjson

from dunepulley.agent import wire
from dunepulley.agent.acceptor_store import AcceptorStoreError
from dunepulley.agent.fleet_acceptor import FleetAcceptor
from dunepulley.agent.fleet_state import CALL_TIMEOUT_S, FleetState, steady_ms
from dunepulley.control import codec
from dunepulley.control.caspaxos import AcceptorReply, Ballot, ChangeRefusedError, ProposerRound, RoundState
from dunepulley.control.traffic_plan import Plan
from dunepulley.errors import UnavailableError

# The wait before the next round is random, from 0 to a backoff that doubles with each round.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_SHOWN_REFUSAL = 200

# Returns the next plan for the one in the register, or raises `ChangeRefusedError`.
PlanChange: TypeAlias = Callable[[Plan], Plan]
_ReplyHandler: TypeAlias = Callable[[str, AcceptorReply], RoundState]


class NoMajorityError(UnavailableError):
    """No majority of acceptors granted a round; the text says how many did."""


class PlanProposer:
    """Runs rounds until the plan is changed, the change is refused, or the timeout has passed."""

    def __init__(self, state: FleetState, acceptor: FleetAcceptor) -> None:
        self._state = state
        self._acceptor = acceptor
        self._acceptors = frozenset(state.config.members)
        self._counter = 0
        self._random = random.Random(state.name)
        # Calls of committed rounds that are still in progress, and that no caller waits for.
        self._background_calls: set[asyncio.Task[None]] = set()
        self._local_handlers: dict[str, Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]] = {
            "prepare": acceptor.handle_prepare,
            "accept": acceptor.handle_accept,
        }

    def background_calls(self) -> list[asyncio.Task[None]]:
        """Calls of committed rounds that are in progress; to be cancelled when the fleet is closed."""
        return list(self._background_calls)

    async def agree(self, change: PlanChange, timeout_s: float) -> Plan:
        """Change the agreed plan, and return the new one.

        Raises `ChangeRefusedError` if the change does not apply, and `NoMajorityError` if no round was
        committed within `timeout_s`; whether a round took effect is then unknown.
        """
        deadline_ms, backoff_s, most_promises = steady_ms() + timeout_s * 1000.0, MIN_BACKOFF_S, 0
        while True:
            round_ = await self._run_round(change)
            if round_.state == RoundState.COMMITTED:
                plan = codec.decode_plan(orjson.loads(round_.value))
                self._state.learn(plan)
                return plan
            if round_.state == RoundState.REFUSED:
                raise ChangeRefusedError(round_.refusal)
            self._counter = max(self._counter, round_.newest_ballot.counter)
            most_promises = max(most_promises, len(round_.promises))
            if steady_ms() >= deadline_ms:
                raise NoMajorityError(self._failure(round_, most_promises))
            await asyncio.sleep(self._random.uniform(0.0, backoff_s))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2.0)

    def _failure(self, round_: ProposerRound, most_promises: int) -> str:
        if round_.state == RoundState.PREEMPTED and most_promises >= round_.majority:
            return "other agents change the plan at the same time; check it and try again"
        return f"{most_promises} of {len(self._acceptors)} acceptors promised, {round_.majority} are required"

    async def _run_round(self, change: PlanChange) -> ProposerRound:
        """Run one round, with a ballot newer than any seen so far."""

        def change_value(value: bytes) -> bytes:
            epoch = self._state.config.epoch
            current = codec.decode_plan(orjson.loads(value)) if value else Plan(epoch)
            return orjson.dumps(codec.encode_plan(change(current)))

        self._counter = max(self._counter, self._acceptor.store.state.promised.counter) + 1
        round_ = ProposerRound(self._acceptors, Ballot(self._counter, self._state.name), change_value)
        await self._ask_all(round_, {"do": "prepare"}, round_.on_promise)
        if round_.state == RoundState.ACCEPTING:
            message = {"do": "accept", "value": round_.value.decode()}
            await self._ask_all(round_, message, round_.on_accepted)
        return round_

    async def _ask_all(self, round_: ProposerRound, request: dict[str, Any], on_reply: _ReplyHandler) -> None:
        """Call all acceptors concurrently, until the round's state changes or all have replied."""
        phase = round_.state
        ballot = codec.encode_ballot(round_.ballot)
        message = request | {"from": self._state.name, "epoch": self._state.config.epoch, "ballot": ballot}

        async def ask(name: str) -> None:
            with contextlib.suppress(wire.WireError, AcceptorStoreError, ValueError):
                on_reply(name, await self._ask(name, message))

        calls = {asyncio.create_task(ask(name)) for name in self._state.membership.members}
        try:
            while calls and round_.state == phase:
                _, calls = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._release(calls, round_)

    def _release(self, calls: set[asyncio.Task[None]], round_: ProposerRound) -> None:
        """Cancel the remaining calls; those of a committed round go on, to reach the other acceptors too."""
        for call in calls:
            if round_.state == RoundState.COMMITTED:
                self._background_calls.add(call)
                call.add_done_callback(self._background_calls.discard)
            else:
                call.cancel()

    async def _ask(self, name: str, message: dict[str, Any]) -> AcceptorReply:
        """Return the reply of one acceptor; raises `WireError`, `ProtocolError` or `AcceptorStoreError`."""
        if name == self._state.name:
            reply = await self._local_handlers[message["do"]](message)
        else:
            reply = await wire.ask(self._state.config.members[name], message, CALL_TIMEOUT_S)
        if "refused" in reply:
            raise wire.WireError(str(reply["refused"])[:MAX_SHOWN_REFUSAL])
        return codec.decode_reply(reply)
