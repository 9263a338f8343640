"""The endpoints as this dispatcher uses them: discovery's list with drains and the traffic plan applied.

The router is told of an endpoint that is drained, or that the plan leaves to others, as draining.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from dunepulley.clocks import Clock
from dunepulley.control.drains import DrainSet
from dunepulley.net.endpoint_list import EndpointList
from dunepulley.net.endpoint_starts import EndpointStarts
from dunepulley.net.plan_view import PlanView
from dunepulley.routing import inspection
from dunepulley.routing.events import EndpointEntry, EndpointListUpdate, EndpointState, ListUpdateKind

if TYPE_CHECKING:
    from dunepulley.control.plan_application import Follower, PlanLease
    from dunepulley.routing.router import Router

# While a plan holds, this often it is checked whether most of the endpoints that it leaves are ejected.
PLAN_CHECK_MS = 250.0


@dataclass(frozen=True, slots=True)
class EndpointDescription:
    """One endpoint as people are told of it; `routing` is what `inspection.describe_endpoint` says."""

    entry: EndpointEntry
    state: str
    drains: tuple[str, ...]
    routing: dict[str, Any]

    def to_wire(self) -> dict[str, Any]:
        """The map that the admin interface prints."""
        return {
            "id": self.entry.endpoint_id,
            "zone": self.entry.zone,
            "kind": self.entry.kind,
            "listed": self.entry.state,
            "state": self.state,
            "drains": list(self.drains),
            **self.routing,
        }


@dataclass(frozen=True, slots=True)
class EndpointDescriptions:
    """All endpoints, and by request class the kind that it is bound to, empty where any will do."""

    endpoints: tuple[EndpointDescription, ...]
    required_kinds: dict[str, str]

    def to_wire(self) -> tuple[list[dict[str, Any]], dict[str, str]]:
        """The maps that the admin interface prints: one for each endpoint, and the required kinds."""
        return [endpoint.to_wire() for endpoint in self.endpoints], self.required_kinds


def list_changes(known: dict[str, EndpointEntry], entries: tuple[EndpointEntry, ...]) -> EndpointListUpdate:
    """What a full list changes: entries that are new or differ from those known, and removals."""
    listed = {entry.endpoint_id: entry for entry in entries}
    changed = [entry for endpoint_id, entry in listed.items() if known.get(endpoint_id) != entry]
    removed = [
        entry._replace(state=EndpointState.REMOVED)
        for endpoint_id, entry in known.items()
        if endpoint_id not in listed
    ]
    return EndpointListUpdate(ListUpdateKind.CHANGES, (*changed, *removed))


class EndpointView:
    """Owns the list, the drains and the plan, and passes the router what changes by `publish`.

    Args:
        clock: the process's clock, Unix time in ms.
        publish: takes each update that the router is to be told of.
    """

    def __init__(self, clock: Clock, publish: Callable[[EndpointListUpdate], None]) -> None:
        self._publish = publish
        self.revision = 0
        self.entries: dict[str, EndpointEntry] = {}
        self.addresses: dict[str, str] = {}
        self.starts = EndpointStarts(clock)
        # The endpoints that the router was last told are ready.
        self.ready_ids: set[str] = set()
        # Set once some endpoint was ready.
        self.became_usable = asyncio.Event()
        self.drains = DrainSet()
        # None where this dispatcher goes by no traffic plan.
        self.follower: Follower | None = None
        self._plan_view = PlanView()

    def is_ready_at(self, endpoint_id: str, address: str) -> bool:
        """Whether an endpoint is ready and still listens at this address."""
        return endpoint_id in self.ready_ids and self.addresses.get(endpoint_id) == address

    def ready_entries(self, now: float) -> list[EndpointEntry]:
        """The endpoints that are ready by the list and the drains, whatever the plan says."""
        return self._plan_view.ready(now, self.entries, self.drains)

    # ---------------------------------------------------------------- changes

    def update_list(self, message: EndpointList, now: float, router: Router, as_changes: bool) -> None:
        """Take in a message of discovery; with `as_changes` the router is told what a full list changes."""
        self.revision = message.revision
        update = message.update
        self.starts.update(update)
        if update.kind == ListUpdateKind.FULL and self.entries and as_changes:
            update = list_changes(self.entries, update.entries)
            self.addresses = message.addresses
        elif update.kind != ListUpdateKind.CHANGES:
            self.entries.clear()
            self.addresses.clear()
            self.ready_ids.clear()
        for entry in update.entries:
            self._store(entry, message.addresses.get(entry.endpoint_id))
        self._plan_view.list_changed()
        self._apply(update.kind, update.entries, now, router)

    def _store(self, entry: EndpointEntry, address: str | None) -> None:
        if entry.state == EndpointState.REMOVED:
            self.entries.pop(entry.endpoint_id, None)
        else:
            self.entries[entry.endpoint_id] = entry
        if address is None:
            self.addresses.pop(entry.endpoint_id, None)
        else:
            self.addresses[entry.endpoint_id] = address

    def take_drains(self, drains: DrainSet) -> bool:
        """Put drains in force, unless they are older than those in force; whether they are."""
        if drains.version < self.drains.version:
            return False
        self.drains = drains
        return True

    def take_plan(self, held: PlanLease) -> bool:
        """Go by a traffic plan; False if it is older than the one in hand, or this dispatcher takes none."""
        return self.follower is not None and self.follower.accept(held)

    def refresh(self, now: float, router: Router) -> None:
        """Publish the endpoints whose state is another by the drains and the plan that are in force now."""
        usable = self._usable_ids(now, router)
        if usable == self.ready_ids:
            return
        changed = [
            entry
            for entry in self.entries.values()
            if (entry.endpoint_id in usable) != (entry.endpoint_id in self.ready_ids)
        ]
        if changed:
            self._apply(ListUpdateKind.CHANGES, changed, now, router)

    def next_refresh_ms(self, now: float) -> float:
        """In how many ms the usable endpoints may change by themselves; infinite if they cannot."""
        wait_ms = self.drains.next_expiry_ms(now) - now
        if self.follower is not None and self.follower.has_valid_plan(now):
            # Ejections are not announced: they are found by looking.
            wait_ms = min(wait_ms, PLAN_CHECK_MS)
        return wait_ms

    def _apply(self, kind: str, entries: Iterable[EndpointEntry], now: float, router: Router) -> None:
        """Publish entries with the drains and the plan applied."""
        usable = self._usable_ids(now, router) if self.follower is not None else None
        applied = [self._applied(entry, usable, now) for entry in entries]
        for entry in applied:
            if entry.state == EndpointState.READY:
                self.ready_ids.add(entry.endpoint_id)
            else:
                self.ready_ids.discard(entry.endpoint_id)
        if self.ready_ids:
            self.became_usable.set()
        self._publish(EndpointListUpdate(kind, tuple(applied)))
        if self.follower is not None:
            # What the plan makes of the other endpoints may depend on these.
            self.refresh(now, router)

    def _applied(self, entry: EndpointEntry, usable: frozenset[str] | None, now: float) -> EndpointEntry:
        """An entry with its state and start as the router is told of them."""
        state = self.drains.state_of(entry, now)
        if usable is not None and state == EndpointState.READY and entry.endpoint_id not in usable:
            state = EndpointState.DRAINING
        started_ms = self.starts.start_of(entry)
        if state == entry.state and started_ms == entry.started_ms:
            return entry
        return entry._replace(state=state, started_ms=started_ms)

    def _usable_ids(self, now: float, router: Router) -> frozenset[str]:
        """The endpoints that this dispatcher uses, of those that are ready."""
        ready = self.ready_entries(now)
        if self.follower is None:
            return frozenset([entry.endpoint_id for entry in ready])
        ejected = inspection.ejected_endpoints(router)
        required_kinds = set(inspection.required_kinds(router).values())
        return self._plan_view.visible(now, self.follower, ready, ejected, required_kinds)

    # ---------------------------------------------------------------- for people

    def describe(self, now: float, router: Router) -> EndpointDescriptions:
        """All endpoints with their drains and how the router sees them."""
        # With no drain in force, asking for those of each of thousands of endpoints takes a third of this.
        any_drain = bool(self.drains.drains)
        endpoints = []
        for entry in self.entries.values():
            state = self.drains.state_of(entry, now) if any_drain else entry.state
            drains = [drain.describe() for drain in self.drains.covering(entry, now)] if any_drain else []
            routing = inspection.describe_endpoint(router, entry.endpoint_id)
            endpoints.append(EndpointDescription(entry, state, tuple(drains), routing))
        return EndpointDescriptions(tuple(endpoints), inspection.required_kinds(router))
