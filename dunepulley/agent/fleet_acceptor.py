"""This agent's CASPaxos acceptor: replies to proposers after its state has been written to disk.

An acceptor whose file cannot be used does not vote, and retries opening the file until it succeeds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, TypeAlias

import orjson

from dunepulley.agent.acceptor_store import AcceptorStore, AcceptorStoreError
from dunepulley.agent.config import FleetConfig
from dunepulley.control import caspaxos, codec
from dunepulley.control.caspaxos import AcceptorReply, AcceptorState
from dunepulley.control.traffic_plan import PlanVersion
from dunepulley.errors import ProtocolError
from dunepulley.net import log
from dunepulley.net.log_events import LogEvent

# How often an acceptor that does not vote retries opening its file.
REOPEN_INTERVAL_S = 1.0

# A step of an acceptor: maps its state to the next state and the reply.
Step: TypeAlias = Callable[[AcceptorState], tuple[AcceptorState, AcceptorReply]]


class FleetAcceptor:
    """The acceptor, its file, and the reason why it does not vote, if any."""

    def __init__(self, config: FleetConfig, initialize_acceptor: bool) -> None:
        """Open or create the file; raises `AcceptorStoreError` if a new file cannot be created."""
        self.config = config
        # The reason why this acceptor does not vote; empty if it does.
        self.not_voting_reason = ""
        self.store = AcceptorStore(config.acceptor_path, config.name, config.epoch)
        self._lock = asyncio.Lock()
        if initialize_acceptor:
            self.store.create()
            return
        try:
            self.store.open()
        except AcceptorStoreError as error:
            self._stop_voting(str(error))

    async def close(self) -> None:
        """Wait for a write in progress, and close the file."""
        async with self._lock:
            self.store.close()

    def _stop_voting(self, reason: str) -> None:
        self.not_voting_reason = reason
        log.write(LogEvent.ACCEPTOR, f"{self.config.name} does not vote: {reason}")

    def accepted_version(self) -> PlanVersion:
        """The version of the plan that this acceptor has accepted, which may not be agreed on yet."""
        value = self.store.state.value
        return codec.decode_plan(orjson.loads(value)).version if value else (self.config.epoch, 0)

    def voting_version(self) -> PlanVersion | None:
        """`accepted_version`, or None if this acceptor does not vote."""
        return None if self.not_voting_reason else self.accepted_version()

    # ---------------------------------------------------------------- requests of proposers

    async def handle_prepare(self, message: dict[str, Any]) -> dict[str, Any]:
        """Reply to a proposer's prepare; raises `ProtocolError`, or `AcceptorStoreError` if not voting."""
        self._check_sender(message)
        ballot = codec.decode_ballot(message.get("ballot"))
        reply = await self.apply_step(lambda state: caspaxos.prepare(state, ballot))
        return {"ok": True} | codec.encode_reply(reply)

    async def handle_accept(self, message: dict[str, Any]) -> dict[str, Any]:
        """Reply to a proposer's accept of a whole plan; raises as `handle_prepare` does."""
        self._check_sender(message)
        ballot = codec.decode_ballot(message.get("ballot"))
        value = codec.decode_register_value(message.get("value"))
        codec.decode_plan(orjson.loads(value))
        reply = await self.apply_step(lambda state: caspaxos.accept(state, ballot, value))
        return {"ok": True} | codec.encode_reply(reply)

    def _check_sender(self, message: dict[str, Any]) -> None:
        is_member = message.get("from") in list(self.config.members)
        if message.get("epoch") != self.config.epoch or not is_member:
            raise ProtocolError("the sender is not a member of this fleet, or has another epoch")

    async def apply_step(self, step: Step) -> AcceptorReply:
        """Apply a step and write the next state to disk, and then return the reply to send."""
        # The caller may be cancelled; the write then still completes, before the next one starts.
        return await asyncio.shield(asyncio.create_task(self._apply_step(step)))

    async def _apply_step(self, step: Step) -> AcceptorReply:
        async with self._lock:
            if self.not_voting_reason:
                raise AcceptorStoreError(self.not_voting_reason)
            state, reply = step(self.store.state)
            if state != self.store.state:
                try:
                    await asyncio.to_thread(self.store.save, state)
                except AcceptorStoreError as error:
                    self._stop_voting(str(error))
                    raise
            return reply

    # ---------------------------------------------------------------- recovery of the file

    async def retry_reopening(self) -> None:
        """Retry opening a file that could not be read or written; runs until cancelled."""
        while True:
            await asyncio.sleep(REOPEN_INTERVAL_S)
            if self.not_voting_reason:
                # Shielded, so that `close` waits for it as for other writes.
                await asyncio.shield(asyncio.create_task(self._reopen()))

    async def _reopen(self) -> None:
        async with self._lock:
            try:
                await asyncio.to_thread(self.store.open)
            except AcceptorStoreError as error:
                self.not_voting_reason = str(error)
                return
            self.not_voting_reason = ""
            log.write(LogEvent.ACCEPTOR, f"{self.config.name} votes again")
