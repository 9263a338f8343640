"""The watch on discovery: the address of the service, and its replacement on a reload (SIGHUP)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from dunepulley.net import log
from dunepulley.net.config import ConfigError, DispatcherConfig, reread
from dunepulley.net.core import Core
from dunepulley.net.counters import Counters
from dunepulley.net.discovery import FULL_LIST_REVISION, Discovery
from dunepulley.net.list_polling import PollBackoff
from dunepulley.net.log_events import LogEvent

# Interval at which a configuration is read again after this host had no descriptor or memory to read it.
RELOAD_RETRY_S = 0.1


class DiscoveryWatch:
    """Owns the task that follows the endpoint list; at most one exists at a time."""

    def __init__(
        self,
        config: DispatcherConfig,
        core: Core,
        counters: Counters,
        on_ended: Callable[[asyncio.Task], None],
    ) -> None:
        """`on_ended` is called when the task of a watch ends: it was cancelled, or it failed."""
        self.address = config.discovery
        self.core = core
        self.counters = counters
        self.on_ended = on_ended
        self.task: asyncio.Task | None = None
        self._reload_timer: asyncio.TimerHandle | None = None
        self._configured_address = config.discovery
        self._configured_revision = config.initial_list.revision
        self._seed = config.seed
        self._dispatchers = float(config.settings.get("balancers", 1.0))
        self._pushed = config.settings.get("discovery") == "pushed"
        self.backoff: PollBackoff
        self.first_message: asyncio.Event
        self.no_call_pending: asyncio.Event

    def start(self) -> None:
        """Start watching, from the revision of the configured list on."""
        # A reload may have changed the address already, and revisions of one service mean nothing to another.
        unchanged = self.address == self._configured_address
        self._watch(self._configured_revision if unchanged else FULL_LIST_REVISION)

    def reload(self, config: DispatcherConfig) -> None:
        """Read the configuration file again, and watch the discovery service that it names now.

        Other changes in the file take effect at the next start; requests in flight are not affected. A file
        that cannot be used, for example because it is incomplete or missing, changes nothing. One that this
        host has no descriptor or memory to read is read again until it has.
        """
        self.counters["reloads"] += 1
        self._stop_reload_timer()
        self._reread(config)

    def _reread(self, config: DispatcherConfig, is_retry: bool = False) -> None:
        self._reload_timer = None
        try:
            address = reread(config).discovery
        except ConfigError as error:
            if not (is_retry and error.is_transient()):
                log.write(LogEvent.RELOAD, f"the old configuration stays in force: {error}")
            if error.is_transient():
                loop = asyncio.get_running_loop()
                self._reload_timer = loop.call_later(RELOAD_RETRY_S, self._reread, config, True)
            return
        if address != self.address:
            log.write(LogEvent.RELOAD, f"the address of discovery changed to {address}")
            self.address = address
            self._watch(FULL_LIST_REVISION)

    def _watch(self, revision: int) -> None:
        """Watch the present discovery service from a revision on, replacing the previous watch if any."""
        self._cancel_task()
        self.backoff = PollBackoff(Random(self._seed), self._dispatchers, self._pushed)
        discovery = Discovery(self.address, revision, self.core.put, self.counters, self.backoff)
        discovery.log_event = self.core.log_event
        self.first_message = discovery.first_message
        self.no_call_pending = discovery.no_call_pending
        self.task = asyncio.create_task(discovery.run())
        self.task.add_done_callback(self.on_ended)

    def cancel(self) -> None:
        """End the watch, and a reload that is to be tried again."""
        self._stop_reload_timer()
        self._cancel_task()

    def _cancel_task(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def _stop_reload_timer(self) -> None:
        if self._reload_timer is not None:
            self._reload_timer.cancel()
            self._reload_timer = None
