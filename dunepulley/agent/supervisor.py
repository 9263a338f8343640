"""Supervision of the dispatchers of a host: polls each of them, and sends it the drains in force."""

from __future__ import annotations

from dunepulley.agent.dispatcher import Dispatcher
from dunepulley.agent.drain_distribution import DrainDistributor
from dunepulley.agent.drain_store import DrainStore
from dunepulley.net import log
from dunepulley.net.log_events import LogEvent

POLL_S = 1.0
"""How often a dispatcher is polled while the drains do not change."""


class Supervisor:
    """Polls dispatchers; their state is kept by `Dispatcher`."""

    def __init__(self, store: DrainStore, distributor: DrainDistributor) -> None:
        """Send the set of `store`, immediately after each change by `distributor`."""
        self._store = store
        self._distributor = distributor

    async def watch(self, dispatcher: Dispatcher) -> None:
        """Poll one dispatcher until cancelled.

        Each dispatcher has a task of its own, so that one that hangs does not delay the others.
        """
        last_error = dispatcher.last_error
        while True:
            drains = self._store.drains
            await dispatcher.poll(drains)
            if dispatcher.process is not None:
                epoch, _ = dispatcher.process.drain_version
                await self._store.start_later_epoch(epoch)
            if dispatcher.last_error != last_error:
                last_error = dispatcher.last_error
                log.write(LogEvent.DISPATCHER, f"{dispatcher.name}: {last_error or 'answers'}")
            await self._distributor.wait_for_change(drains, POLL_S)
