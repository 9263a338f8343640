"""What a hot restart does to the dispatcher of this process, both as the parent and as the child process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from dunepulley.control import drain_json
from dunepulley.net import log, shutdown
from dunepulley.net.core import Core
from dunepulley.net.discovery_watch import DiscoveryWatch
from dunepulley.net.endpoint_list import format_endpoint_list
from dunepulley.net.frontend.server import HANDED_OVER, FrontendServer
from dunepulley.net.hot_restart import HotRestart, Inherited
from dunepulley.net.hot_restart.state import ClockState, HotRestartState
from dunepulley.net.log_events import LogEvent
from dunepulley.net.messages import DrainsChanged, WarmStateReceived, WarmStateRequested
from dunepulley.net.peers import Peers
from dunepulley.net.upstream.client import UpstreamClient
from dunepulley.routing.events import SlowStartBudgetAssigned

# Once the child accepts connections, the parent closes each of its connections after the next response, and
# closes idle ones after this time.
IDLE_CLOSE_S = 0.5
# While parent and child both run, each uses this fraction of the limits on client and endpoint connections.
SHARED_LIMIT_FRACTION = 0.5
FULL_LIMIT_FRACTION = 1.0


class HotRestartActions:
    """Implements `hot_restart.Dispatcher` with the components of a dispatcher."""

    def __init__(
        self,
        core: Core,
        frontend: FrontendServer,
        upstream: UpstreamClient,
        peers: Peers,
        watch: DiscoveryWatch,
        open_gossip: Callable[[], Awaitable[None]],
    ) -> None:
        """`open_gossip` opens the socket of `peers`, which a parent closes, and reopens if it resumes."""
        self.core = core
        self.frontend = frontend
        self.upstream = upstream
        self.peers = peers
        self.watch = watch
        self.open_gossip = open_gossip
        # Set once a child serves, and neither this process nor its parent has open requests.
        self.finished = asyncio.Event()
        # Cleared while a parent runs: callbacks between it and the child of this process go through here.
        self._parent_ended = asyncio.Event()
        self._parent_ended.set()
        self.task: asyncio.Task | None = None

    # ---------------------------------------------------------------- as the child

    async def take_over(self, hot_restart: HotRestart, inherited: Inherited) -> None:
        """Take over from the parent once an endpoint is ready."""
        self.core.put(SlowStartBudgetAssigned(False))
        self._use_limits(SHARED_LIMIT_FRACTION)
        self._parent_ended.clear()
        await hot_restart.follow(inherited)
        await self.core.endpoints.became_usable.wait()
        self.core.put(WarmStateReceived(await hot_restart.take_over()))
        self.core.put(SlowStartBudgetAssigned(True))

    def parent_ended(self) -> None:
        """Use the full limits, unless a child needs its part of them, and wait for the parent no more."""
        self._parent_ended.set()
        if self.frontend.drain_state != HANDED_OVER:
            self._use_limits(FULL_LIMIT_FRACTION)

    # ---------------------------------------------------------------- as the parent

    def export_state(self) -> dict[str, Any]:
        """Return the state that a child starts from, as a JSON object."""
        core = self.core
        plan = None
        if core.endpoints.follower is not None and core.endpoints.follower.has_valid_plan(core.clock()):
            # Imported only here: most dispatchers follow no plan.
            from dunepulley.net.plan_message import format_plan

            plan = format_plan(core.endpoints.follower.lease, core.clock)
        return HotRestartState(
            endpoint_list=format_endpoint_list(
                core.endpoints.entries.values(), core.endpoints.addresses, core.endpoints.revision
            ),
            discovery=self.watch.address,
            drains=self.drains(),
            clock=ClockState(
                core.clock.base, core.clock.monotonic_ms(), core.endpoints.starts.corrected_starts()
            ),
            plan=plan,
        ).to_json()

    def listening_socket(self) -> socket.socket:
        """Return the socket that clients connect to."""
        return self.frontend.listener.socket

    async def hand_over(self) -> dict[str, Any]:
        """Stop accepting connections, and finish the open requests; return the router's warm state."""
        self.frontend.listener.stop_accepting()
        self.peers.close()
        self.frontend.leave(HANDED_OVER, IDLE_CLOSE_S)
        self.core.put(SlowStartBudgetAssigned(False))
        self._use_limits(SHARED_LIMIT_FRACTION)
        self.task = asyncio.create_task(self._finish())
        return await self.core.ask(WarmStateRequested)

    def resume(self) -> bool:
        """Serve again, because the child has ended; return False if this process is ending, too."""
        self.cancel()
        if not self.frontend.join(after=HANDED_OVER):
            return False
        log.write(LogEvent.HOT_RESTART, "the child process has ended; this process serves again")
        self.core.put(SlowStartBudgetAssigned(True))
        self._use_limits(FULL_LIMIT_FRACTION)
        self.task = asyncio.create_task(self.open_gossip())
        self.frontend.listener.start_accepting()
        return True

    def receive_callback(self, body: bytes) -> int | None:
        """Return the HTTP status for a callback; None if its request is not open in this process."""
        return self.frontend.callbacks.receive_forwarded(body)

    def request_ids(self) -> list[str]:
        """Return the ids of the requests that are in progress in this process."""
        return self.frontend.request_ids()

    def abandoned_ids(self) -> list[str]:
        """Return the ids of requests that may have run and whose client has gone."""
        return self.frontend.abandoned_requests.all_ids()

    def add_abandoned(self, ids: list[str]) -> None:
        """Reject requests with these ids from now on."""
        self.frontend.abandoned_requests.add(ids)

    def drains(self) -> dict[str, Any]:
        """Return the operators' drains in force, in their JSON form."""
        return drain_json.encode_drain_set(self.core.endpoints.drains, self.core.clock)

    async def apply_drains(self, drains: dict[str, Any]) -> None:
        """Apply drains in their JSON form, unless they are older; raises ValueError if they are malformed."""
        await self.core.ask(DrainsChanged, drain_json.decode_drain_set(drains, self.core.clock))

    async def _finish(self) -> None:
        await self.frontend.none_waiting.wait()
        while self.core.requests or self.frontend.server.has_unsent_responses():
            # Wait for cancellations in progress, incomplete requests, and responses not written yet.
            await asyncio.sleep(shutdown.POLL_INTERVAL_S)
        await self._parent_ended.wait()
        self.finished.set()

    # ---------------------------------------------------------------- both

    def _use_limits(self, fraction: float) -> None:
        self.frontend.server.set_limit_fraction(fraction)
        self.upstream.set_limit_fraction(fraction)

    def cancel(self) -> None:
        """Cancel the task that `hand_over` or `resume` has started."""
        if self.task is not None:
            self.task.cancel()
