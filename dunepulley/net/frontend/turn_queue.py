"""Shares the event loop's time between connections: a limited number of steps in each turn of the loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

Item = TypeVar("Item")


class TurnQueue(Generic[Item]):
    """Runs a step for each waiting item, a limited number in each turn of the event loop, in their order.

    All that the other parts of the process have to do meanwhile runs between two turns: what many clients
    send together holds them up no longer than the steps of one turn.

    Args:
        loop: the event loop.
        step: called with an item whose turn it is; it may add the item again.
        on_failure: called with an item whose step raised an exception, which is logged.
        per_turn: the number of steps in each turn.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        step: Callable[[Item], None],
        on_failure: Callable[[Item], None],
        per_turn: int = 1,
    ) -> None:
        self._loop = loop
        self._step = step
        self._on_failure = on_failure
        self._per_turn = per_turn
        self._waiting: dict[Item, None] = {}
        # The steps run in this turn, and whether the next turn is scheduled.
        self._used = 0
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, item: Item) -> None:
        """Let an item wait behind all others."""
        self._waiting[item] = None
        self._schedule()

    def run_or_add(self, item: Item) -> None:
        """Run the step for an item at once if it would have its turn now, else let it wait."""
        if self._waiting or self._used >= self._per_turn:
            self.add(item)
            return
        self._used += 1
        self._schedule()
        self._run_step(item)

    def discard(self, item: Item) -> None:
        """Remove an item if it waits."""
        self._waiting.pop(item, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._is_scheduled = False
        self._used = 0
        while self._waiting and self._used < self._per_turn:
            item = next(iter(self._waiting))
            del self._waiting[item]
            self._used += 1
            self._run_step(item)
        if self._waiting or self._used:
            self._schedule()

    def _run_step(self, item: Item) -> None:
        try:
            self._step(item)
        except Exception as error:
            # One failing step must not stop the others.
            self._loop.call_exception_handler({"message": "a step failed", "exception": error})
            self._on_failure(item)
