"""The queue of requests that wait for an available slot.

It is served by priority, so that under overload the requests with the most value for their work go first.
"""

from __future__ import annotations

from collections.abc import Callable

from .request import Request, RequestState

# Serving stops when more than this many requests in a row find no slot: few later ones would find one.
_MAX_MISSES = 3


class RequestQueue:
    """The queued requests."""

    def __init__(self) -> None:
        self.waiting: list[Request] = []
        # Whether slots may have become available since the queue was last served.
        self.capacity_changed = False
        self._advance: Callable[[Request, float], None]

    def connect(self, advance: Callable[[Request, float], None]) -> None:
        """Set the callback by which `serve` tries to send a queued request."""
        self._advance = advance

    def mark_capacity_changed(self) -> None:
        """Note that slots may have become available, so that the queue is served at the end of the batch."""
        self.capacity_changed = True

    def add(self, request: Request) -> None:
        """Queue a request."""
        request.move_to(RequestState.QUEUED)
        self.waiting.append(request)

    def remove(self, request: Request) -> None:
        """Remove a request, if it is queued."""
        if request.state is RequestState.QUEUED:
            self.waiting.remove(request)
            request.move_to(RequestState.DISPATCHING)

    def serve_if_capacity_changed(self, now: float) -> None:
        """Serve the queue if slots may have become available since it was last served."""
        if self.waiting and self.capacity_changed:
            self.serve(now)
        self.capacity_changed = False

    def serve(self, now: float) -> None:
        """Try to send the queued requests, by priority and then by latest start."""
        self.waiting.sort(key=lambda request: (-request.priority, request.latest_start_ms))
        misses = 0
        for request in list(self.waiting):
            if request.state is RequestState.QUEUED:
                self._advance(request, now)
                misses = misses + 1 if request.state is RequestState.QUEUED else 0
                if misses > _MAX_MISSES:
                    break
