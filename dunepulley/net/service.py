"""One dispatcher: its parts, its start, and its end."""

from __future__ import annotations

import asyncio
import contextlib
import resource

from dunepulley.clocks import Clock
from dunepulley.control import drains
from dunepulley.net import log, shutdown
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

# Of the memory, in bytes for each MB, for what has come of requests that are not complete: a sixteenth.
INCOMPLETE_REQUEST_BYTES_PER_MB = 65536
# Of the descriptors, the part that connections to the admin interface may have; but so many at least.
ADMIN_CONNECTION_SHARE = 16
MIN_ADMIN_CONNECTIONS = 4


class Service:
    """Owns all parts of one dispatcher.

    `await start()` returns once connections are accepted; `await finish()` answers what was accepted, and
    `await close()` closes every socket and task. `failed` is set if a task that should never end has ended;
    `handover.finished` if a child process has taken over and nothing is open here.
    """

    def __init__(self, config: DispatcherConfig, inherited: Inherited | None = None) -> None:
        """`inherited` is what the parent process of a hot restart passes on, if there is one."""
        if inherited is not None:
            known = inherited_list(inherited, config.discovery, config.initial_list)
            config = config._replace(initial_list=known)
        self.config = config
        self.inherited = inherited
        self.counters = Counters()
        self.failed = asyncio.Event()
        self.task: asyncio.Task | None = None
        self.port = self.admin_port = 0
        sockets = min(config.max_descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.core = self._create_core()
        self.upstream = UpstreamClient(
            config.settings, sockets, self.core.put, self.counters, self.core.may_begin
        )
        self.core.executor.attempt_sender = self.upstream
        self.peers = Peers(
            self.core.router.settings.dispatcher_number, config.peers, self.core.put, self.counters
        )
        self.core.executor.gossip_sender = self.peers
        self.frontend = FrontendServer(
            self.core, config.settings, sockets, self.counters, config.affinity_key_in_path
        )
        self.frontend.server.max_partial_bytes = int(config.memory_mb * INCOMPLETE_REQUEST_BYTES_PER_MB)
        self.admin_commands = AdminCommands(config, self.core, self.frontend, self.counters)
        self.admin = self._create_admin_server(sockets)
        self.watch = DiscoveryWatch(config, self.core, self.counters, self._task_ended)
        self.handover = HotRestartActions(
            self.core, self.frontend, self.upstream, self.peers, self.watch, self._open_gossip
        )
        path = socket_path(config.temp_dir, *config.listen)
        self.hot_restart = HotRestart(self.handover, path, self.counters)
        self.frontend.callbacks.forward = self.hot_restart.forward_callback

    def _create_core(self) -> Core:
        """Create the router's task, by the parent's clock if there is a parent."""
        config, inherited = self.config, self.inherited
        # The drains of the configuration were read by this clock; all here goes by that of the router's task.
        self.configured_clock = config.clock if config.clock is not None else Clock()
        clock = self.configured_clock
        if inherited is not None:
            clock = inherited_clock(inherited, self.configured_clock)
        core = Core(config.seed, config.settings, config.initial_list, self.counters, clock)
        if clock is not self.configured_clock:
            core.endpoints.starts.inherit(config.initial_list.update.entries, inherited_starts(inherited))
        if config.events:
            core.event_log = EventLog(config.name, core.now)
        if config.plan:
            # Loaded only here: most dispatchers follow no plan, and every start pays for its imports.
            from dunepulley.control.plan_application import Follower

            core.endpoints.follower = Follower(config.name, str(config.settings.get("zone", "")))
        return core

    def _create_admin_server(self, sockets: int) -> AdminServer:
        return AdminServer(
            self.admin_commands.plain(),
            self.admin_commands.with_argument(),
            max(MIN_ADMIN_CONNECTIONS, sockets // ADMIN_CONNECTION_SHARE),
            self.counters,
        )

    # ---------------------------------------------------------------- the start

    async def start(self) -> None:
        """Listen, watch discovery, take over from the parent if there is one, and accept connections.

        Raises ConfigError where an address or the trace cannot be used.
        """
        # Before the list is looked at: nothing goes to a drained endpoint, not even at first.
        self.core.endpoints.drains = self.drains_at_start()
        self.inherit_plan()
        self._run_core()
        self.watch.start()
        self._open_trace()
        self._listen()
        await self._wait_for_first_message()
        if self.inherited is not None:
            await self.handover.take_over(self.hot_restart, self.inherited)
        await self._open_gossip()
        self.frontend.listener.start_accepting()
        self.hot_restart.listen_for_child()

    def drains_at_start(self) -> drains.DrainSet:
        """Return the newest drains of those in the configuration and those of the parent."""
        ahead_ms = self.core.clock.base - self.configured_clock.base
        candidates = [self.core.endpoints.drains, drains.shift_expiries(self.config.drains, ahead_ms)]
        if self.inherited is not None:
            candidates.append(inherited_drains(self.inherited, self.core.clock))
        return max(candidates, key=lambda candidate: candidate.version)

    def inherit_plan(self) -> None:
        """Follow the parent's traffic plan until the agent tells it again."""
        if self.core.endpoints.follower is None or self.inherited is None:
            return
        # Loaded only here: most dispatchers follow no plan.
        from dunepulley.net.plan_message import parse_plan

        try:
            held = parse_plan(self.inherited.state.get("plan") or {}, self.core.clock)
        except ValueError as error:
            log.write(LogEvent.HOT_RESTART, f"the plan of the process before cannot be read: {error}")
            return
        if held is not None:
            self.core.endpoints.follower.accept(held)

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
        """Listen for clients and for operators; clients' connections are not accepted yet."""
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
        """Wait a moment for discovery's first message.

        The list of the configuration may be old, and what the agent has counts as told from the start on.
        """
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.watch.first_message.wait(), self.watch.backoff.startup_timeout_s)

    async def _open_gossip(self) -> None:
        if not self.config.peers:
            return
        host = self.config.listen[0]
        try:
            await self.peers.open((host, self.port))
        except OSError as error:
            raise ConfigError(f"no notes at {host}:{self.port}: {error.strerror}") from error

    # ---------------------------------------------------------------- while it serves

    def reload(self) -> None:
        """Read the configuration file again (SIGHUP), and watch the discovery that it names now."""
        self.watch.reload(self.config)

    def _task_ended(self, task: asyncio.Task) -> None:
        """A task has ended that never should: without it nothing would be served any more."""
        if not task.cancelled():
            log.write(LogEvent.FAULT, f"a task that should run for ever ended: {task.exception()!r}")
            self.failed.set()

    # ---------------------------------------------------------------- the end

    async def finish(self) -> None:
        """Serve on for a while, then accept no more and answer what was accepted (SIGTERM)."""
        await shutdown.finish(self.frontend, self.config.settings)

    async def finish_start(self) -> None:
        """Reject what has come to the address before this process served (SIGTERM during the start)."""
        if self.inherited is None and self.frontend.listener.socket is not None:
            await shutdown.reject_queued(self.frontend, self.config.settings)

    async def close(self) -> None:
        """Close every socket, file and task."""
        self.handover.cancel()
        await self.hot_restart.close()
        await self.frontend.close()
        self.admin.close()
        if self.frontend.recorder is not None:
            self.frontend.recorder.close()
        self.peers.close()
        tasks = [task for task in (self.task, self.watch.task, self.handover.task) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.upstream.close()
