"""One dispatcher: its components, start and shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import resource

from dunepulley.clocks import Clock
from dunepulley.control import drains
from dunepulley.net import list_polling, log, shutdown
from dunepulley.net.admin import AdminServer
from dunepulley.net.admin_commands import AdminCommands
from dunepulley.net.config import ConfigError, DispatcherConfig
from dunepulley.net.core import Core
from dunepulley.net.counters import Counters
from dunepulley.net.discovery_watch import DiscoveryWatch
from dunepulley.net.event_log import EventLog
from dunepulley.net.frontend.server import FrontendServer
from dunepulley.net.handover import HotRestartActions
from dunepulley.net.hot_restart import HotRestart, Inherited, socket_path
from dunepulley.net.hot_restart.state import (
    inherited_clock,
    inherited_drains,
    inherited_list,
    inherited_starts,
)
from dunepulley.net.log_events import LogEvent
from dunepulley.net.messages import EndpointRefreshDue
from dunepulley.net.peers import Peers
from dunepulley.net.recorder import Recorder
from dunepulley.net.upstream.client import UpstreamClient

# Memory for the received parts of incomplete requests, for each MB of the memory limit: one sixteenth.
INCOMPLETE_REQUEST_BYTES_PER_MB = 65536
# Memory for all requests in progress and their responses, for each MB of the memory limit: one eighth.
REQUEST_BYTES_PER_MB = 131072
# Connections to the admin interface may use one in this many descriptors, but always a minimum number.
DESCRIPTORS_PER_ADMIN_CONNECTION = 16
MIN_ADMIN_CONNECTIONS = 4


class Service:
    """Owns all components of one dispatcher.

    `await start()` returns once connections are accepted; `await finish()` answers the accepted requests, and
    `await close()` closes every socket and task. `failed` is set if a task that should never end has ended;
    `hot_restart_actions.finished` if a child process has taken over and no request is open in this process.
    """

    def __init__(self, config: DispatcherConfig, inherited: Inherited | None = None) -> None:
        """`inherited` is what the parent process of a hot restart passed, if there is one."""
        if inherited is not None:
            initial_list = inherited_list(inherited, config.discovery, config.initial_list)
            config = config._replace(initial_list=initial_list)
        self.config = config
        self.inherited = inherited
        self.counters = Counters()
        self.failed = asyncio.Event()
        self.task: asyncio.Task | None = None
        self.port = self.admin_port = 0
        max_descriptors = min(config.max_descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.core = self._create_core()
        self.upstream = UpstreamClient(
            config.settings, max_descriptors, self.core.put, self.counters, self.core.may_begin
        )
        self.core.executor.attempt_sender = self.upstream
        self.peers = Peers(
            self.core.router.settings.dispatcher_number, config.peers, self.core.put, self.counters
        )
        self.core.executor.gossip_sender = self.peers
        self.frontend = FrontendServer(
            self.core, config.settings, max_descriptors, self.counters, config.affinity_key_in_path
        )
        self.upstream.share_descriptors_with(lambda: len(self.frontend.server.accepted))
        self.frontend.server.on_accepted = self.upstream.close_excess_idle
        self.frontend.server.max_partial_bytes = int(config.memory_mb * INCOMPLETE_REQUEST_BYTES_PER_MB)
        self.frontend.server.max_request_bytes = int(config.memory_mb * REQUEST_BYTES_PER_MB)
        self.watch = DiscoveryWatch(config, self.core, self.counters, self._task_ended)
        self.hot_restart_actions = HotRestartActions(
            self.core, self.frontend, self.upstream, self.peers, self.watch, self._open_gossip
        )
        path = socket_path(config.temp_dir, *config.listen)
        self.hot_restart = HotRestart(self.hot_restart_actions, path, self.counters)
        self.admin_commands = AdminCommands(config, self.core, self.frontend, self.counters, self.hot_restart)
        self.admin = self._create_admin_server(max_descriptors)
        self.frontend.callbacks.forward = self.hot_restart.forward_callback
        self.frontend.foreign_requests = self.hot_restart.foreign_requests
        self.frontend.announce_request = self.hot_restart.announce_request
        self.frontend.announce_abandoned = self.hot_restart.announce_abandoned

    def _create_core(self) -> Core:
        """Create the `Core`, with the parent's clock if there is a parent."""
        config, inherited = self.config, self.inherited
        # The configured drains were read with this clock; everything else uses the clock of `Core`.
        self.configured_clock = config.clock if config.clock is not None else Clock()
        clock = self.configured_clock
        if inherited is not None:
            clock = inherited_clock(inherited, self.configured_clock)
        core = Core(config.seed, config.settings, config.initial_list, self.counters, clock)
        if clock is not self.configured_clock:
            core.endpoints.starts.inherit(config.initial_list.update.entries, inherited_starts(inherited))
        if config.events:
            core.event_log = EventLog(config.name, core.now)
        if config.follows_plan:
            # Imported only here: most dispatchers follow no plan, and imports slow down every start.
            from dunepulley.control.plan_application import Follower

            core.endpoints.follower = Follower(config.name, str(config.settings.get("zone", "")))
        return core

    def _create_admin_server(self, max_descriptors: int) -> AdminServer:
        return AdminServer(
            self.admin_commands.commands(),
            self.admin_commands.commands_with_argument(),
            max(MIN_ADMIN_CONNECTIONS, max_descriptors // DESCRIPTORS_PER_ADMIN_CONNECTION),
            self.counters,
        )

    # ---------------------------------------------------------------- start

    async def start(self) -> None:
        """Listen, watch discovery, take over from the parent if there is one, and accept connections.

        Raises ConfigError if an address or the trace file cannot be used.
        """
        # Set before the initial list is processed, so that no request is ever sent to a drained endpoint.
        self.core.endpoints.drains = self.drains_at_start()
        self.inherit_plan()
        self._run_core()
        self.watch.start()
        self._open_trace()
        self._listen()
        await self._wait_for_first_message()
        if self.inherited is not None:
            await self.hot_restart_actions.take_over(self.hot_restart, self.inherited)
        await self._open_gossip()
        self.frontend.listener.start_accepting()
        self.hot_restart.listen_for_child()

    def drains_at_start(self) -> drains.DrainSet:
        """Return the newest of the configured drains and the parent's drains."""
        ahead_ms = self.core.clock.base - self.configured_clock.base
        candidates = [self.core.endpoints.drains, drains.shift_expiries(self.config.drains, ahead_ms)]
        if self.inherited is not None:
            candidates.append(inherited_drains(self.inherited, self.core.clock))
        return max(candidates, key=lambda candidate: candidate.version)

    def inherit_plan(self) -> None:
        """Follow the parent's traffic plan until the agent sends one."""
        if self.core.endpoints.follower is None or self.inherited is None:
            return
        # Imported only here: most dispatchers follow no plan.
        from dunepulley.net.plan_message import parse_plan

        try:
            lease = parse_plan(self.inherited.state.get("plan") or {}, self.core.clock)
        except ValueError as error:
            log.write(LogEvent.HOT_RESTART, f"cannot read the traffic plan of the parent process: {error}")
            return
        if lease is not None:
            self.core.endpoints.follower.accept(lease)

    def _run_core(self) -> None:
        self.task = asyncio.create_task(self.core.run())
        self.core.put(EndpointRefreshDue())
        self.task.add_done_callback(self._task_ended)

    def _open_trace(self) -> None:
        trace = self.config.trace
        if trace is None:
            return
        try:
            self.frontend.recorder = Recorder(trace.path, trace.max_requests, self.config.name)
        except OSError as error:
            raise ConfigError(f"cannot write {trace.path}: {error.strerror}") from error

    def _listen(self) -> None:
        """Listen for clients and for the admin interface; clients' connections are not accepted yet."""
        host, port = self.config.listen
        try:
            if self.inherited is not None:
                self.port = self.frontend.listener.adopt(self.inherited.listening)
            else:
                self.port = self.frontend.listener.bind(host, port)
            if self.config.admin_address:
                host, port = self.config.admin_address
                self.admin_port = self.admin.listener.bind(host, port)
                self.admin.listener.start_accepting()
        except OSError as error:
            raise ConfigError(f"cannot listen at {host}:{port}: {error.strerror}") from error

    async def _wait_for_first_message(self) -> None:
        """Wait for discovery's first message, for `startup_timeout_s` and until no call is unanswered.

        The configured list may be outdated, and the dispatcher must act on the agent's list from the start.
        """
        timeout_s = self.watch.backoff.startup_timeout_s
        if not timeout_s:
            return
        loop = asyncio.get_running_loop()
        end_s = loop.time() + list_polling.RESPONSE_TIMEOUT_S
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.watch.first_message.wait(), timeout_s)
        with contextlib.suppress(TimeoutError):
            # A slow agent: its answer may be on its way.
            await asyncio.wait_for(self.watch.no_call_pending.wait(), max(0.0, end_s - loop.time()))

    async def _open_gossip(self) -> None:
        if not self.config.peers:
            return
        host = self.config.listen[0]
        try:
            await self.peers.open((host, self.port))
        except OSError as error:
            raise ConfigError(f"cannot bind gossip to {host}:{self.port}: {error.strerror}") from error

    # ---------------------------------------------------------------- service

    def reload(self) -> None:
        """Read the configuration file again (SIGHUP), and watch the discovery that it names now."""
        self.watch.reload(self.config)

    def _task_ended(self, task: asyncio.Task) -> None:
        """End the process if a permanent task has ended, since without it no requests would be served."""
        if not task.cancelled():
            log.write(LogEvent.FAULT, f"a permanent task ended unexpectedly: {task.exception()!r}")
            self.failed.set()

    # ---------------------------------------------------------------- shutdown

    async def finish(self) -> None:
        """Keep serving for a while, then accept no more requests and answer those accepted (SIGTERM)."""
        await shutdown.finish(self.frontend, self.config.settings)

    async def finish_start(self) -> None:
        """Reject the requests that arrived before this process served (SIGTERM during the start)."""
        if self.inherited is None and self.frontend.listener.socket is not None:
            await shutdown.reject_queued(self.frontend, self.config.settings)

    async def close(self) -> None:
        """Close every socket, file and task."""
        self.hot_restart_actions.cancel()
        await self.hot_restart.close()
        await self.frontend.close()
        self.admin.close()
        if self.frontend.recorder is not None:
            self.frontend.recorder.close()
        self.peers.close()
        tasks = [
            task for task in (self.task, self.watch.task, self.hot_restart_actions.task) if task is not None
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.upstream.close()
