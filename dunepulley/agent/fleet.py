"""The parts of an agent that take part in its fleet: creates them, starts them and stops them.

The decisions are made by `dunepulley.control`; the parts here do the I/O for them (docs/design-failover.md):

`fleet_state`        this agent's state: the members, the plan and the observations of zones
`fleet_heartbeats`   heartbeats with the other members
`fleet_acceptor`     the CASPaxos acceptor of this agent
`fleet_proposer`     rounds that change the agreed plan
`fleet_planning`     decides on new plans while this agent leads
`fleet_dispatchers`  sends the plan to the dispatchers of this host
`fleet_commands`     the operators' commands
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from dunepulley.agent.config import FleetConfig
from dunepulley.agent.dispatcher import Dispatcher
from dunepulley.agent.fleet_acceptor import FleetAcceptor
from dunepulley.agent.fleet_commands import FleetCommands
from dunepulley.agent.fleet_dispatchers import PlanDistributor
from dunepulley.agent.fleet_heartbeats import HeartbeatExchange
from dunepulley.agent.fleet_planning import PlanningLoop
from dunepulley.agent.fleet_proposer import PlanProposer
from dunepulley.agent.fleet_state import FleetState


class Fleet:
    """One agent as a member of its fleet; `handlers` has the handler of each command by its name."""

    def __init__(
        self, config: FleetConfig, dispatchers: dict[str, Dispatcher], initialize_acceptor: bool = False
    ) -> None:
        """Open the acceptor's file; with `initialize_acceptor` create it, or raise `AcceptorStoreError`."""
        self.state = FleetState(config)
        self.acceptor = FleetAcceptor(config, initialize_acceptor)
        self.heartbeats = HeartbeatExchange(self.state, self.acceptor)
        self._proposer = PlanProposer(self.state, self.acceptor)
        self._planning = PlanningLoop(self.state, self.acceptor, self._proposer)
        self._distributor = PlanDistributor(self.state, self.acceptor, dispatchers)
        commands = FleetCommands(self.state, self.acceptor, self._planning, self._distributor)
        self._tasks: list[asyncio.Task[None]] = []
        self.handlers: dict[str, Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]] = {
            "meet": self.heartbeats.handle_heartbeat,
            "prepare": self.acceptor.handle_prepare,
            "accept": self.acceptor.handle_accept,
            "zones": commands.handle_zones,
            "zone": commands.handle_zone,
        }

    def confirmed_ms(self) -> float:
        """The last time (ms of the steady clock) at which a majority confirmed the plan in force."""
        return self.state.confirmed_ms(self.acceptor.voting_version())

    def start(self) -> None:
        """Start exchanging heartbeats, sending the plan to the dispatchers, and planning."""
        others = [name for name in self.state.membership.members if name != self.state.name]
        work = [self.heartbeats.exchange_with(name) for name in others]
        work += [self._distributor.distribute_to(each) for each in self._distributor.dispatchers()]
        work += [self._planning.run(), self.acceptor.retry_reopening()]
        self._tasks = [asyncio.create_task(each) for each in work]

    async def close(self) -> None:
        """End every task and close the file; dispatchers follow their plan until its lease expires."""
        tasks = [*self._tasks, *self._proposer.background_calls()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.acceptor.close()
