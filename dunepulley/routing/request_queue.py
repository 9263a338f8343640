"""Requests that wait here for an available slot, and load shedding: the best paid for their work go first."""

from __future__ import annotations

from collections.abc import Callable

from .request import Request, RequestState

# After so many that find no slot, later ones may fit, but not many.
_MOST_MISSES = 3


class RequestQueue:
    """The waiting requests."""

    def __init__(self) -> None:
        self.waiting: list[Request] = []
        # Whether slots may have come available since the queue was last served.
        self.capacity_changed = False
        self._advance: Callable[[Request, float], None]

    def connect(self, advance: Callable[[Request, float], None]) -> None:
        """Say what gives a waiting request another look; `serve` calls it."""
        self._advance = advance

    def mark_capacity_changed(self) -> None:
        """Take in that slots may have come available: the queue is served at the end of the batch."""
        self.capacity_changed = True

    def add(self, request: Request) -> None:
        """Let a request wait."""
        request.move_to(RequestState.QUEUED)
        self.waiting.append(request)

    def remove(self, request: Request) -> None:
        """Take a request out, if it waits here."""
        if request.state is RequestState.QUEUED:
            self.waiting.remove(request)
            request.move_to(RequestState.DISPATCHING)

    def serve_if_capacity_changed(self, now: float) -> None:
        """Serve the queue where slots may have come available since it was served last."""
        if self.waiting and self.capacity_changed:
            self.serve(now)
        self.capacity_changed = False

    def serve(self, now: float) -> None:
        """Give waiting requests another look, by priority and then by when they have to start."""
        self.waiting.sort(key=lambda request: (-request.priority, request.latest_start_ms))
        misses = 0
        for request in list(self.waiting):
            if request.state is RequestState.QUEUED:
                self._advance(request, now)
                misses = misses + 1 if request.state is RequestState.QUEUED else 0
                if misses > _MOST_MISSES:
                    break
