"""What a hot restart does to the dispatcher of this process, as a parent and as a child."""

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
from dunepulley.net.messages import WarmStateReceived, WarmStateRequested
from dunepulley.net.peers import Peers
from dunepulley.net.upstream.client import UpstreamClient
from dunepulley.routing.events import SlowStartBudgetAssigned

# Once the child accepts connections, answers end those of the parent; what is idle after this is closed.
IDLE_CLOSE_S = 0.5
# Of the limits on connections, on either side, parent and child each have so much.
SHARED_LIMITS = 0.5
ALL_LIMITS = 1.0


class HotRestartActions:
    """Implements `hot_restart.Dispatcher` on the parts of a dispatcher."""

    def __init__(
        self,
        core: Core,
        clients: FrontendServer,
        upstream: UpstreamClient,
        peers: Peers,
        watch: DiscoveryWatch,
        open_gossip: Callable[[], Awaitable[None]],
    ) -> None:
        """`open_gossip` opens the socket of `peers`, which a parent closes and opens again to resume."""
        self.core = core
        self.frontend = clients
        self.upstream = upstream
        self.peers = peers
        self.watch = watch
        self.open_gossip = open_gossip
        self.finished = asyncio.Event()  # a child serves, and nothing is open here any more
        self.task: asyncio.Task | None = None

    # ---------------------------------------------------------------- as the child

    async def take_over(self, hot_restart: HotRestart, inherited: Inherited) -> None:
        """Take the parent's place once there is an endpoint to serve with."""
        self.core.put(SlowStartBudgetAssigned(False))
        self._use_limits(SHARED_LIMITS)
        await hot_restart.follow(inherited)
        await self.core.endpoints.became_usable.wait()
        self.core.put(WarmStateReceived(await hot_restart.take_over()))
        self.core.put(SlowStartBudgetAssigned(True))

    def use_all_limits(self) -> None:
        """The parent has ended: all limits are this process's."""
        self._use_limits(ALL_LIMITS)

    # ---------------------------------------------------------------- as the parent

    def export_state(self) -> dict[str, Any]:
        """Return the state that a child starts from, as JSON."""
        core = self.core
        plan = None
        if core.endpoints.follower is not None and core.endpoints.follower.has_valid_plan(core.clock()):
            # Loaded only here: most dispatchers follow no plan.
            from dunepulley.net.plan_message import format_plan

            plan = format_plan(core.endpoints.follower.lease, core.clock)
        return HotRestartState(
            known=format_endpoint_list(
                core.endpoints.entries.values(), core.endpoints.addresses, core.endpoints.revision
            ),
            discovery=self.watch.address,
            drains=drain_json.encode_drain_set(core.endpoints.drains, core.clock),
            clock=ClockState(
                core.clock.base, core.clock.monotonic_ms(), core.endpoints.starts.corrected_starts()
            ),
            plan=plan,
        ).to_json()

    def listening_socket(self) -> socket.socket:
        """Return the socket that clients connect to."""
        return self.frontend.listener.socket

    async def hand_over(self) -> dict[str, Any]:
        """Accept no more connections, and end once nothing is open; return the router's warm state."""
        self.frontend.listener.stop_accepting()
        self.peers.close()
        self.frontend.leave(HANDED_OVER, IDLE_CLOSE_S)
        self.core.put(SlowStartBudgetAssigned(False))
        self._use_limits(SHARED_LIMITS)
        self.task = asyncio.create_task(self._finish())
        return await self.core.ask(WarmStateRequested)

    def resume(self) -> bool:
        """Serve again, as the child has ended; False where this process is ending, too."""
        self.cancel()
        if not self.frontend.join(after=HANDED_OVER):
            return False
        log.write(LogEvent.HOT_RESTART, "the successor has ended; this process serves again")
        self.core.put(SlowStartBudgetAssigned(True))
        self._use_limits(ALL_LIMITS)
        self.task = asyncio.create_task(self.open_gossip())
        self.frontend.listener.start_accepting()
        return True

    def receive_callback(self, body: bytes) -> int | None:
        """Return the HTTP status for a callback; None where its request is not held here."""
        return self.frontend.callbacks.receive_forwarded(body)

    async def _finish(self) -> None:
        await self.frontend.none_waiting.wait()
        while self.core.requests or self.frontend.server.has_unsent_responses():
            # Attempts whose cancellation is on its way to their endpoints, halves of requests, and answers
            # that are not written yet.
            await asyncio.sleep(shutdown.POLL_S)
        self.finished.set()

    # ---------------------------------------------------------------- both

    def _use_limits(self, share: float) -> None:
        self.frontend.server.set_connection_fraction(share)
        self.upstream.set_connection_fraction(share)

    def cancel(self) -> None:
        """Stop what a handover has begun."""
        if self.task is not None:
            self.task.cancel()
