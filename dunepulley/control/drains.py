"""Operator drains of endpoints: what each covers, when it expires, and who may change it.

A drain keeps new requests away from one endpoint, from a zone, or from a kind of endpoint, while requests in
flight there complete (a graceful shutdown). A `DrainSet` holds all drains at one revision; every change
creates a new set with the next revision. Nothing in this module does I/O or reads a clock.

Times are milliseconds. `now_ms` and `expires_ms` are by the `Clock` of the process, which is unaffected by
steps of the wall clock; `started_ms` and `ended_ms` are wall clock times, for people to read. The JSON form
of a set is in `drain_json`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from dunepulley import errors
from dunepulley.routing.events import EndpointEntry, EndpointState

INFINITY = math.inf
"""The expiry of a drain that lasts until an operator restores its target."""

MAX_DRAINS = 100
"""The maximum number of drains in force. With names of bounded length, such a set fits one admin command."""

MAX_ENDED = 50
"""The number of ended drains that are kept as a record for operators."""

ANY_CLASS = "any work"
"""The element that `unserved_classes` returns if no endpoint at all would be ready."""


class DrainRefusedError(errors.RefusedError):
    """A change conflicts with the drains in force; the text gives the conflict in one line."""


class TargetKind(StrEnum):
    """The kind of target of a drain. The values are those of the stored and the wire form."""

    ENDPOINT = "worker"
    ZONE = "zone"
    ENDPOINT_KIND = "kind"


class EndReason(StrEnum):
    """Why a drain is no longer in force. The values are those of the stored and the wire form."""

    RESTORED = "restored"
    REPLACED = "replaced"
    EXPIRED = "ran out"


class Drain(NamedTuple):
    """One drain; `revision` is that of the first set that contained it."""

    target_kind: TargetKind
    target: str
    operator: str
    reason: str
    started_ms: float
    expires_ms: float
    revision: int

    def in_force(self, now_ms: float) -> bool:
        """Return whether the drain has not expired."""
        return self.expires_ms > now_ms

    def covers(self, entry: EndpointEntry) -> bool:
        """Return whether this drain applies to an endpoint."""
        if self.target_kind == TargetKind.ENDPOINT:
            return entry.endpoint_id == self.target
        if self.target_kind == TargetKind.ZONE:
            return entry.zone == self.target
        return entry.kind == self.target

    def describe(self) -> str:
        """Return target, operator, revision and reason as a phrase for operators."""
        reason = f": {self.reason}" if self.reason else ""
        return f"{self.target_kind} {self.target}, by {self.operator} at revision {self.revision}{reason}"


class EndedDrain(NamedTuple):
    """A drain that is no longer in force; `operator` is empty if it expired."""

    drain: Drain
    ended_ms: float
    operator: str
    reason: EndReason


class DrainSet(NamedTuple):
    """All drains at one revision, and the last `MAX_ENDED` that have ended.

    `drains` may still contain expired drains; the next change moves them to `ended`. An agent that lost its
    file begins a new epoch, so that its set replaces those of earlier epochs although revisions restart at 0.
    """

    epoch: float = 0.0
    revision: int = 0
    drains: tuple[Drain, ...] = ()
    ended: tuple[EndedDrain, ...] = ()

    @property
    def version(self) -> tuple[float, int]:
        """Epoch and revision: the greater of two versions is the newer set."""
        return self.epoch, self.revision

    def in_force(self, now_ms: float) -> list[Drain]:
        """Return the drains that have not expired."""
        return [drain for drain in self.drains if drain.in_force(now_ms)]

    def covering(self, entry: EndpointEntry, now_ms: float) -> list[Drain]:
        """Return the drains in force that cover an endpoint."""
        return [drain for drain in self.drains if drain.in_force(now_ms) and drain.covers(entry)]

    def state_of(self, entry: EndpointEntry, now_ms: float) -> str:
        """Return an endpoint's state with drains applied: a ready endpoint that is drained is draining."""
        if entry.state == EndpointState.READY and self.covering(entry, now_ms):
            return EndpointState.DRAINING
        return entry.state

    def next_expiry_ms(self, now_ms: float) -> float:
        """Return when the next drain in force expires, or `INFINITY`."""
        return min([drain.expires_ms for drain in self.in_force(now_ms)], default=INFINITY)

    def find(self, target_kind: TargetKind, target: str, now_ms: float) -> Drain | None:
        """Return the drain in force of exactly this target, or None."""
        for drain in self.in_force(now_ms):
            if (drain.target_kind, drain.target) == (target_kind, target):
                return drain
        return None


def set_drain(
    drains: DrainSet, drain: Drain, now_ms: float, over_revision: int = 0, wall_ms: float | None = None
) -> DrainSet:
    """Return the next set, with a drain added, or replacing the drain of the same target.

    `over_revision` is the revision of another operator's drain that this one may replace, 0 for none.
    `wall_ms` is the wall clock time, by default `now_ms`. Raises `DrainRefusedError` where another operator's
    drain of the target is in force, or `MAX_DRAINS` drains are in force.
    """
    wall_now_ms = now_ms if wall_ms is None else wall_ms
    existing = drains.find(drain.target_kind, drain.target, now_ms)
    _check_may_change(existing, drain.operator, over_revision)
    if existing is None and len(drains.in_force(now_ms)) >= MAX_DRAINS:
        raise DrainRefusedError(f"{MAX_DRAINS} drains are in force already, which is the maximum")
    added = drain._replace(started_ms=wall_now_ms, revision=drains.revision + 1)
    next_set = _without_expired(drains, now_ms, wall_now_ms)
    if existing is not None:
        ended = EndedDrain(existing, wall_now_ms, drain.operator, EndReason.REPLACED)
        next_set = _without(next_set, ended)
    return next_set._replace(drains=(*next_set.drains, added))


def restore(
    drains: DrainSet,
    target_kind: TargetKind,
    target: str,
    operator: str,
    now_ms: float,
    over_revision: int = 0,
    wall_ms: float | None = None,
) -> DrainSet:
    """Return the next set, without the drain of a target; arguments and errors are those of `set_drain`.

    Raises `DrainRefusedError` also if no drain of the target is in force.
    """
    wall_now_ms = now_ms if wall_ms is None else wall_ms
    existing = drains.find(target_kind, target, now_ms)
    _check_may_change(existing, operator, over_revision)
    if existing is None:
        raise DrainRefusedError(f"no drain of {target_kind} {target} stands")
    ended = EndedDrain(existing, wall_now_ms, operator, EndReason.RESTORED)
    return _without(_without_expired(drains, now_ms, wall_now_ms), ended)


def shift_expiries(drains: DrainSet, offset_ms: float) -> DrainSet:
    """Return the same set for a clock that is `offset_ms` ahead of the one that the expiries are by."""
    shifted = [drain._replace(expires_ms=drain.expires_ms + offset_ms) for drain in drains.drains]
    return drains._replace(drains=tuple(shifted))


def unserved_classes(
    drains: DrainSet, entries: Iterable[EndpointEntry], kind_by_class: Mapping[str, str], now_ms: float
) -> list[str]:
    """Return the request classes that no ready endpoint would serve, or `[ANY_CLASS]` if none is ready.

    `kind_by_class` maps each class to the kind of endpoint that it requires, empty for any kind.
    """
    ready_kinds = {entry.kind for entry in entries if drains.state_of(entry, now_ms) == EndpointState.READY}
    if not ready_kinds:
        return [ANY_CLASS]
    return [name for name, kind in kind_by_class.items() if kind and kind not in ready_kinds]


def _check_may_change(existing: Drain | None, operator: str, over_revision: int) -> None:
    """Refuse a change of another operator's drain, unless `over_revision` is the revision of that drain."""
    if over_revision and (existing is None or existing.revision != over_revision):
        found = "none is in force" if existing is None else f"in force is {existing.describe()}"
        raise DrainRefusedError(f"no drain of revision {over_revision} to replace: {found}")
    if existing is not None and existing.operator != operator and not over_revision:
        raise DrainRefusedError(
            f"another's stands: {existing.describe()}; --over {existing.revision} replaces it"
        )


def _without_expired(drains: DrainSet, now_ms: float, wall_now_ms: float) -> DrainSet:
    """Return the next set, with expired drains moved to `ended` at their expiry by the wall clock."""
    offset_ms = wall_now_ms - now_ms
    expired = [
        EndedDrain(drain, drain.expires_ms + offset_ms, "", EndReason.EXPIRED)
        for drain in drains.drains
        if not drain.in_force(now_ms)
    ]
    return DrainSet(
        drains.epoch,
        drains.revision + 1,
        tuple(drains.in_force(now_ms)),
        (*drains.ended, *expired)[-MAX_ENDED:],
    )


def _without(drains: DrainSet, ended: EndedDrain) -> DrainSet:
    """Return a set of the same revision, with one drain moved to `ended`."""
    remaining = [drain for drain in drains.drains if drain != ended.drain]
    return drains._replace(drains=tuple(remaining), ended=(*drains.ended, ended)[-MAX_ENDED:])
