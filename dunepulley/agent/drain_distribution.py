"""Changes the drains: checks the effect at each dispatcher, stores the set, and waits until all apply it."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from dunepulley.agent import results
from dunepulley.agent.admin_call import NoAnswerError
from dunepulley.agent.command_request import RequestError
from dunepulley.agent.dispatcher import Dispatcher
from dunepulley.agent.drain_file import DrainFileError
from dunepulley.agent.drain_store import DrainStore
from dunepulley.agent.results import DispatcherResult
from dunepulley.control import drains
from dunepulley.control.drains import Drain, DrainSet
from dunepulley.net import log
from dunepulley.net.log_events import LogEvent
from dunepulley.routing.events import EndpointEntry

FAST_ANSWER_TIMEOUT_S = 0.3
"""The first timeout for the dispatchers' answers, in s.

Dispatchers normally answer within a few ms; only on an overloaded machine they take longer.
"""


@dataclass(frozen=True, slots=True)
class _Effect:
    """The effect of a drain at one dispatcher.

    `covers_any` is whether the drain covers any endpoint; `unserved` are the request classes that it would
    leave without an endpoint.
    """

    dispatcher: str
    covers_any: bool
    unserved: tuple[str, ...]


class DrainDistributor:
    """Distributes the drain set in force to all dispatchers of the host.

    The caller holds `store.lock` from before it reads the current set until `apply` has returned.
    """

    def __init__(
        self, store: DrainStore, dispatchers: Mapping[str, Dispatcher], answer_timeout_s: float
    ) -> None:
        """Distribute the set of `store`; a dispatcher has `answer_timeout_s` to describe its endpoints."""
        self.store = store
        self.dispatchers = dispatchers
        self.answer_timeout_s = answer_timeout_s
        self._changed = asyncio.Condition()

    async def check_effect(self, drain: Drain, new_drains: DrainSet, now_ms: float) -> None:
        """Raise `RequestError` if a drain covers no endpoint, or leaves a request class without an endpoint.

        Dispatchers that do not answer are ignored.
        """
        effects = await self._effects(drain, new_drains, now_ms)
        for effect in effects:
            if effect.unserved:
                classes = ", ".join(effect.unserved)
                raise RequestError(
                    f"{effect.dispatcher} would have no worker for {classes}; --force does it anyway"
                )
        if not any([effect.covers_any for effect in effects]):
            answered = f"{len(effects)} of {len(self.dispatchers)} answered"
            raise RequestError(
                f"no dispatcher knows {drain.target_kind} {drain.target} ({answered}); --force does it anyway"
            )

    async def apply(self, new_drains: DrainSet, timeout_s: float, summary: str) -> list[DispatcherResult]:
        """Put a set in force and wait up to `timeout_s` for each dispatcher to apply it.

        `summary` describes the change in the log. Raises `RequestError` if the set could not be written.
        """
        try:
            self.store.write(new_drains)
        except DrainFileError as error:
            raise RequestError(f"{error}; nothing has changed") from error
        async with self._changed:
            self._changed.notify_all()
        log.write(LogEvent.DRAINS, f"revision {new_drains.revision}: {summary}")
        wait = functools.partial(_wait_until_applied, new_drains=new_drains, timeout_s=timeout_s)
        return await results.call_each(self.dispatchers.values(), wait)

    async def wait_for_change(self, last_seen: DrainSet, timeout_s: float) -> None:
        """Wait until the set in force differs from `last_seen`, for at most `timeout_s` seconds."""
        async with self._changed:
            if self.store.drains.version == last_seen.version:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(timeout_s):
                        await self._changed.wait()

    async def _effects(self, drain: Drain, new_drains: DrainSet, now_ms: float) -> list[_Effect]:
        """Return the effect of a drain at each dispatcher that answers."""
        # A dispatcher that hangs must not delay a drain at the others. Only if none answers within the short
        # timeout, all get the full one.
        for timeout_s in (FAST_ANSWER_TIMEOUT_S, self.answer_timeout_s):
            calls = [
                self._effect_at(dispatcher, drain, new_drains, now_ms, timeout_s)
                for dispatcher in self.dispatchers.values()
            ]
            effects = [effect for effect in await asyncio.gather(*calls) if effect is not None]
            if effects:
                return effects
        return []

    async def _effect_at(
        self, dispatcher: Dispatcher, drain: Drain, new_drains: DrainSet, now_ms: float, timeout_s: float
    ) -> _Effect | None:
        """Return the effect of a drain at one dispatcher, or None if it does not answer."""
        try:
            views = await dispatcher.endpoints(timeout_s)
        except NoAnswerError:
            return None
        entries = [_entry_of(view) for view in views.endpoints]
        unserved = drains.unserved_classes(new_drains, entries, views.kind_by_class, now_ms)
        # Classes that have no endpoint already are not caused by this drain.
        before = drains.unserved_classes(self.store.drains, entries, views.kind_by_class, now_ms)
        return _Effect(
            dispatcher.name,
            any([drain.covers(entry) for entry in entries]),
            tuple([name for name in unserved if name not in before]),
        )


async def _wait_until_applied(
    dispatcher: Dispatcher, new_drains: DrainSet, timeout_s: float
) -> DispatcherResult:
    """Wait until a dispatcher has reported a set. Raises `NoAnswerError` after `timeout_s` seconds."""
    try:
        async with asyncio.timeout(timeout_s), dispatcher.polled:
            await dispatcher.polled.wait_for(lambda: dispatcher.has_drains(new_drains))
    except TimeoutError as error:
        raise NoAnswerError(dispatcher.last_error or "has not applied it yet") from error
    return DispatcherResult(dispatcher.name)


def _entry_of(view: dict[str, Any]) -> EndpointEntry:
    """Return the entry of the endpoint list that a dispatcher's description of an endpoint contains."""
    return EndpointEntry(
        str(view.get("id")),
        zone=str(view.get("zone")),
        kind=str(view.get("kind")),
        state=str(view.get("listed")),
    )
