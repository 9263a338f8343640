"""The watch on discovery: which service it is, and its change on a reload (SIGHUP)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from dunepulley.net import log
from dunepulley.net.config import ConfigError, DispatcherConfig, reread
from dunepulley.net.core import Core
from dunepulley.net.counters import Counters
from dunepulley.net.discovery import WHOLE_LIST, Discovery
from dunepulley.net.list_polling import PollBackoff
from dunepulley.net.log_events import LogEvent


class DiscoveryWatch:
    """Owns the task that follows the endpoint list; at any time there is one at most."""

    def __init__(
        self,
        config: DispatcherConfig,
        core: Core,
        counters: Counters,
        on_ended: Callable[[asyncio.Task], None],
    ) -> None:
        """`on_ended` is called when a watch ends, which none does by itself."""
        self.address = config.discovery
        self.core = core
        self.counters = counters
        self.on_ended = on_ended
        self.task: asyncio.Task | None = None
        self._configured_address = config.discovery
        self._configured_revision = config.initial_list.revision
        self._seed = config.seed
        self._dispatchers = float(config.settings.get("balancers", 1.0))
        self._pushed = config.settings.get("discovery") == "pushed"
        self.backoff: PollBackoff
        self.first_message: asyncio.Event

    def start(self) -> None:
        """Watch from the revision of the configured list on."""
        # A reload may have come first: the revisions of one discovery say nothing to another.
        unchanged = self.address == self._configured_address
        self._watch(self._configured_revision if unchanged else WHOLE_LIST)

    def reload(self, config: DispatcherConfig) -> None:
        """Read the file of a configuration again, and watch the discovery that it names now.

        All else in the file holds from the next start on; requests in flight are not disturbed. A file that
        cannot be used, as it may be half written or gone, changes nothing.
        """
        self.counters["reloads"] += 1
        try:
            address = reread(config).discovery
        except ConfigError as error:
            log.write(LogEvent.RELOAD, f"the old configuration goes on: {error}")
            return
        if address != self.address:
            log.write(LogEvent.RELOAD, f"discovery is at {address} now")
            self.address = address
            self._watch(WHOLE_LIST)

    def _watch(self, revision: int) -> None:
        """Watch the present discovery from a revision on, in place of the watch before, if any."""
        self.cancel()
        self.backoff = PollBackoff(Random(self._seed), self._dispatchers, self._pushed)
        discovery = Discovery(self.address, revision, self.core.put, self.counters, self.backoff)
        discovery.log_event = self.core.log_event
        self.first_message = discovery.first_message
        self.task = asyncio.create_task(discovery.run())
        self.task.add_done_callback(self.on_ended)

    def cancel(self) -> None:
        """End the watch."""
        if self.task is not None:
            self.task.cancel()
