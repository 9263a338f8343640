"""The agent of a host: creates its parts, starts them and stops them.

The agent stores the drains that operators set, has every dispatcher of the host apply them, and restarts
dispatchers on command. Without an agent, dispatchers keep running with the drains that they have.
"""

from __future__ import annotations

import asyncio
import signal
from typing import Any

from dunepulley import VERSION
from dunepulley.agent.config import AgentConfig
from dunepulley.agent.dispatcher import Dispatcher
from dunepulley.agent.drain_distribution import DrainDistributor
from dunepulley.agent.drain_store import DrainStore
from dunepulley.agent.fleet import Fleet
from dunepulley.agent.operator_commands import OperatorCommands
from dunepulley.agent.rolling_restart import RollingRestart
from dunepulley.agent.server import CommandServer, Handler
from dunepulley.agent.supervisor import Supervisor
from dunepulley.clocks import Clock
from dunepulley.control.drains import DrainSet
from dunepulley.net import log
from dunepulley.net.log_events import LogEvent


class Agent:
    """All parts of one agent; `handlers` has the handler of each command by its name on the wire."""

    def __init__(
        self, config: AgentConfig, initialize_acceptor: bool = False, clock: Clock | None = None
    ) -> None:
        """Read the stored state; with `initialize_acceptor` create a new state of the fleet's acceptor.

        Expiries of drains are by `clock`, by default the system's. Raises `DrainFileError` and
        `AcceptorStoreError`.
        """
        self.config = config
        self.clock = clock if clock is not None else Clock()
        self.drain_store = DrainStore(config.drains_path, self.clock)
        self.dispatchers = {
            each.name: Dispatcher(each, config.answer_timeout_s, self.clock) for each in config.dispatchers
        }
        distributor = DrainDistributor(self.drain_store, self.dispatchers, config.answer_timeout_s)
        self.supervisor = Supervisor(self.drain_store, distributor)
        rolling_restart = RollingRestart(self.drain_store)
        commands = OperatorCommands(
            self.dispatchers, self.drain_store, distributor, rolling_restart, self.clock
        )
        self.handlers: dict[str, Handler] = dict(commands.handlers)
        self.fleet: Fleet | None = None
        if config.fleet is not None:
            self.fleet = Fleet(config.fleet, self.dispatchers, initialize_acceptor)
            self.handlers |= self.fleet.handlers
        self._server = CommandServer(self.handlers, self._reply_header)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def drains(self) -> DrainSet:
        """The drains in force."""
        return self.drain_store.drains

    @property
    def port(self) -> int:
        """The port that the agent listens on, 0 before `start`."""
        return self._server.port

    async def start(self) -> None:
        """Start supervising the dispatchers, and listen for commands.

        Raises `DrainFileError` and `AgentConfigError`.
        """
        self.drain_store.write_at_start()
        watches = [self.supervisor.watch(dispatcher) for dispatcher in self.dispatchers.values()]
        writes = [self.drain_store.retry_until_durable(), self.drain_store.refresh_time_left()]
        self._tasks = [asyncio.create_task(work) for work in (*watches, *writes)]
        await self._server.start(*self.config.listen)
        if self.fleet is not None:
            self.fleet.start()

    async def close(self) -> None:
        """End every task and connection; the dispatchers keep running with the drains that they have."""
        self._server.stop_listening()
        if self.fleet is not None:
            await self.fleet.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, self._server.close(), return_exceptions=True)
        self.drain_store.retry_write()

    def _reply_header(self) -> dict[str, Any]:
        return {"agent": VERSION, "now": self.clock.wall_ms(), "revision": self.drains.revision}


async def serve(config: AgentConfig, initialize_acceptor: bool = False) -> int:
    """Run an agent until SIGTERM or SIGINT and return the exit code. Raises as `Agent` does."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    agent = Agent(config, initialize_acceptor)
    try:
        await agent.start()
        log.write(LogEvent.AGENT, f"{len(agent.dispatchers)} dispatchers, listens at port {agent.port}")
        await stop_requested.wait()
    finally:
        await agent.close()
    return 0
