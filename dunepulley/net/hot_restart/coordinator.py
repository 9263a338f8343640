"""The hot restarts of one process: at its start as the child, later as the parent of another process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable
from typing import Any, Protocol

from dunepulley.net import log
from dunepulley.net.counters import Counters
from dunepulley.net.hot_restart.child import Inherited, is_served
from dunepulley.net.hot_restart.foreign_requests import ForeignRequests, messages_with
from dunepulley.net.hot_restart.link import DRAINS_APPLIED, Link
from dunepulley.net.hot_restart.listener import ChildListener
from dunepulley.net.hot_restart.messages import (
    PROTOCOL_VERSION,
    Answered,
    CallbackForwarded,
    DrainsForwarded,
    HandedOver,
    Hello,
    Ready,
    Refused,
    RequestsAbandoned,
    RequestsTaken,
)
from dunepulley.net.hot_restart.paths import is_same_user
from dunepulley.net.log_events import LogEvent

# A child sends `Hello` as soon as it is connected.
HELLO_TIMEOUT_S = 3.0
# Sent with the listening socket: descriptors are passed over a Unix socket only together with data.
DESCRIPTOR_CARRIER = b" "
# The number of a message whose answer nobody waits for.
UNANSWERED_NUMBER = 0


class Dispatcher(Protocol):
    """What a hot restart does to the dispatcher of this process."""

    def export_state(self) -> dict[str, Any]:
        """Return the state that a child starts from, as a JSON object."""

    def listening_socket(self) -> socket.socket:
        """Return the socket that clients connect to, which the child shares."""

    async def hand_over(self) -> dict[str, Any]:
        """Stop accepting connections, and finish the open requests; return the router's warm state."""

    def resume(self) -> bool:
        """Serve again, because the child has ended; return False if this process is ending, too."""

    def parent_ended(self) -> None:
        """Use the full limits, because the parent has ended, and do not wait for it any more."""

    def receive_callback(self, body: bytes) -> int | None:
        """Return the HTTP status for a callback; None if its request is not open in this process."""

    def request_ids(self) -> list[str]:
        """Return the ids of the requests that are in progress in this process."""

    def abandoned_ids(self) -> list[str]:
        """Return the ids of requests that may have run and whose client has gone."""

    def add_abandoned(self, ids: list[str]) -> None:
        """Reject requests with these ids from now on."""

    def drains(self) -> dict[str, Any]:
        """Return the operators' drains in force, in their JSON form."""

    async def apply_drains(self, drains: dict[str, Any]) -> None:
        """Apply drains in their JSON form, unless they are older; raises ValueError if they are malformed."""


class HotRestart:
    """Owns the link to the parent, the socket for a child, and the link to that child."""

    def __init__(self, dispatcher: Dispatcher, path: str, counters: Counters) -> None:
        self.dispatcher = dispatcher
        self.path = path
        self.counters = counters
        self.listener = ChildListener(path, self._on_connection)
        self.parent: Link | None = None
        self.child: Link | None = None
        self._handed_over = False
        # Set once the parent has stopped accepting connections, or has ended.
        self._parent_released = asyncio.Event()
        self._warm_state: Any = None
        # The ids that the parent and the child have taken.
        self.foreign_requests = ForeignRequests()
        # Links to processes that have not confirmed the latest drains, which the values tell apart.
        self._unconfirmed_drains: dict[Link, dict[str, Any]] = {}
        self._tasks: set[asyncio.Task] = set()

    def _serving_child(self) -> Link | None:
        """Return the link to a child that serves; before that a child reads only the state that it gets."""
        return self.child if self._handed_over else None

    def _forget(self, link: Link) -> None:
        """Close a link whose process has ended, and forget what that process has told or owes."""
        link.close()
        self.foreign_requests.forget(link)
        self._unconfirmed_drains.pop(link, None)

    def _run(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ---------------------------------------------------------------- as the child

    async def follow(self, inherited: Inherited) -> None:
        """Process the parent's messages in a task until the parent ends."""
        self.parent = await Link.over(inherited.link)
        self._run(self._serve_parent(self.parent))

    async def _serve_parent(self, link: Link) -> None:
        """Process the parent's messages until it ends."""
        while (message := await link.receive()) is not None:
            if isinstance(message, HandedOver):
                self._warm_state = message.warm_state
                self._parent_released.set()
            elif isinstance(message, CallbackForwarded):
                self._run(self._answer_callback(link, message, self.child))
            elif isinstance(message, DrainsForwarded):
                self._run(self._apply_drains(link, message, self._serving_child()))
            elif isinstance(message, RequestsTaken | RequestsAbandoned):
                self._add_request_ids(link, message, self.child)
        # The parent has ended, normally or not: this process alone owns the listening socket now.
        self.parent = None
        self._forget(link)
        self._parent_released.set()
        self.dispatcher.parent_ended()

    async def take_over(self) -> Any:
        """Notify the parent that this process can serve, and wait until it has stopped accepting connections.

        Returns the warm state of the parent's router; None if the parent has ended.
        """
        if self.parent is not None:
            self.parent.send(Ready())
        await self._parent_released.wait()
        self.counters["taken over"] += 1
        log.write(LogEvent.HOT_RESTART, "took over from the parent process")
        return self._warm_state

    # ---------------------------------------------------------------- as the parent

    def listen_for_child(self) -> None:
        """Listen for a child process, replacing any process that listened for one before."""
        self.listener.listen()

    def _on_connection(self, connection: socket.socket) -> None:
        self._run(self._serve_child(connection))

    async def _serve_child(self, connection: socket.socket) -> None:
        """Serve one child from its `Hello` until it ends."""
        same_user = is_same_user(connection)
        link = await Link.over(connection)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                hello = await link.receive()
            refusal = self._refusal(same_user, hello)
            if refusal is not None:
                link.send(refusal)
                return
            self.child = link
            log.write(LogEvent.HOT_RESTART, "a child process is starting")
            socket.send_fds(connection, [DESCRIPTOR_CARRIER], [self.dispatcher.listening_socket().fileno()])
            link.send_json(self.dispatcher.export_state())
            await self._follow_child(link)
            self._child_ended()
        except (OSError, TimeoutError) as error:
            log.write(LogEvent.HOT_RESTART, f"hot restart failed: {error!r}")
        finally:
            # Also reached if this task is cancelled because this process ends; then it does not resume.
            self._forget(link)
            if self.child is link:
                self.child = None

    def _refusal(self, same_user: bool, hello: object) -> Refused | None:
        """Return why a connection is refused; None if it is from a child that may take over."""
        if self.child is not None:
            return Refused("another hot restart is in progress")
        if same_user and isinstance(hello, Hello) and hello.protocol == PROTOCOL_VERSION:
            return None
        return Refused("the child runs as another user or uses another protocol version")

    async def _follow_child(self, link: Link) -> None:
        """Process a child's messages until it ends."""
        while (message := await link.receive()) is not None:
            if isinstance(message, Ready) and not self._handed_over:
                self._handed_over = True
                self.listener.stop()
                # Before the child accepts its first connection.
                self._send_all_ids(link)
                # The state that the child started from may have older ones.
                link.send(DrainsForwarded(self.dispatcher.drains(), UNANSWERED_NUMBER))
                link.send(HandedOver(await self.dispatcher.hand_over()))
                log.write(LogEvent.HOT_RESTART, "the child process serves; finishing the open requests")
            elif isinstance(message, CallbackForwarded):
                self._run(self._answer_callback(link, message, self.parent))
            elif isinstance(message, DrainsForwarded):
                self._run(self._apply_drains(link, message, self.parent))
            elif isinstance(message, RequestsTaken | RequestsAbandoned):
                self._add_request_ids(link, message, self.parent)

    def _child_ended(self) -> None:
        handed_over, self._handed_over = self._handed_over, False
        self.child = None
        if not handed_over:
            log.write(LogEvent.HOT_RESTART, "the child process ended before it could serve")
        elif is_served(self.path):
            log.write(LogEvent.HOT_RESTART, "the child process has ended, and its own child serves")
        elif self.dispatcher.resume():
            self.listen_for_child()

    # ---------------------------------------------------------------- request ids

    def announce_request(self, request_id: str) -> None:
        """Send the id of a request that this process takes to the processes that serve beside it."""
        self._announce(RequestsTaken, request_id)

    def announce_abandoned(self, request_id: str) -> None:
        """Send the id of a request that may have run and whose client has gone, in the same way."""
        self._announce(RequestsAbandoned, request_id)

    def _announce(self, kind: type[RequestsTaken] | type[RequestsAbandoned], request_id: str) -> None:
        if self.parent is None and self.child is None:
            return
        message = kind([request_id])
        self._send_ids(message, self.parent)
        self._send_ids(message, self._serving_child())

    def _send_all_ids(self, link: Link) -> None:
        """Send a child the ids that it must reject."""
        for taken in messages_with(
            self.dispatcher.request_ids() + self.foreign_requests.all_ids(), RequestsTaken
        ):
            link.send(taken)
        for abandoned in messages_with(self.dispatcher.abandoned_ids(), RequestsAbandoned):
            link.send(abandoned)

    def _add_request_ids(
        self, link: Link, message: RequestsTaken | RequestsAbandoned, other_link: Link | None
    ) -> None:
        """Record the ids from `link`, and pass them on to the process at `other_link`."""
        if isinstance(message, RequestsTaken):
            self.foreign_requests.add(link, message.ids)
        else:
            self.dispatcher.add_abandoned(message.ids)
        if other_link is not self.child or self._handed_over:
            self._send_ids(message, other_link)

    def _send_ids(self, message: RequestsTaken | RequestsAbandoned, link: Link | None) -> None:
        if link is not None and not link.closed:
            link.send(message)

    # ---------------------------------------------------------------- callbacks

    async def forward_callback(self, body: bytes) -> int | None:
        """Return the HTTP status of the parent's or child's answer to a callback.

        None if its request is open in neither.
        """
        for link in (self.parent, self.child):
            if link is not None:
                self.counters["callbacks passed on"] += 1
                status = await link.forward_callback(body)
                if status is not None:
                    return status
        return None

    async def _answer_callback(self, link: Link, message: CallbackForwarded, other_link: Link | None) -> None:
        """Answer a callback from `link`, from this process or else from the process at `other_link`."""
        body = message.body.encode()
        status = self.dispatcher.receive_callback(body)
        if status is None and other_link is not None:
            status = await other_link.forward_callback(body)
        link.send(Answered(message.number, status))

    # ---------------------------------------------------------------- drains

    async def share_drains(self) -> bool:
        """Have the processes that serve beside this one apply its drains; return whether all confirmed it."""
        links = [link for link in (self.parent, self._serving_child()) if link is not None]
        drains = self.dispatcher.drains()
        await asyncio.gather(*[self._forward_drains(drains, link) for link in links])
        return self.has_shared_drains()

    def has_shared_drains(self) -> bool:
        """Return whether all processes that serve beside this one have confirmed its drains."""
        return not self._unconfirmed_drains

    async def _forward_drains(self, drains: dict[str, Any], link: Link) -> bool:
        """Have the process at a link apply drains; return whether it has confirmed these or later ones."""
        self._unconfirmed_drains[link] = drains
        if await link.forward_drains(drains) and self._unconfirmed_drains.get(link) is drains:
            del self._unconfirmed_drains[link]
        return link not in self._unconfirmed_drains

    async def _apply_drains(self, link: Link, message: DrainsForwarded, other_link: Link | None) -> None:
        """Apply drains from `link` here and at the process at `other_link`, then confirm them."""
        try:
            await self.dispatcher.apply_drains(message.drains)
        except ValueError as error:
            log.write(LogEvent.HOT_RESTART, f"cannot read the other process's drains: {error}")
            return
        if other_link is None or await self._forward_drains(message.drains, other_link):
            link.send(Answered(message.number, DRAINS_APPLIED))

    # ---------------------------------------------------------------- the end

    async def close(self) -> None:
        """Close both links and the socket, and remove its file unless a child has replaced it."""
        self.listener.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in (self.parent, self.child):
            if link is not None:
                link.close()
