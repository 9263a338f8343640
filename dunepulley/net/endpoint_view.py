"""The endpoints as this dispatcher uses them: discovery's list with drains and the traffic plan applied.

An endpoint that is drained, or that the traffic plan excludes for this dispatcher, is passed to the router as
draining.
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

# While a plan is in force, how often to check whether most of the endpoints that it allows are ejected.
PLAN_CHECK_MS = 250.0


@dataclass(frozen=True, slots=True)
class EndpointDescription:
    """One endpoint as the admin interface shows it; `routing` is from `inspection.describe_endpoint`."""

    entry: EndpointEntry
    state: str
    drains: tuple[str, ...]
    routing: dict[str, Any]

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object that the admin interface prints."""
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
    """All endpoints, and by request class the kind that it requires; an empty string means any kind."""

    endpoints: tuple[EndpointDescription, ...]
    required_kinds: dict[str, str]

    def to_wire(self) -> tuple[list[dict[str, Any]], dict[str, str]]:
        """Return the JSON for the admin interface: one object per endpoint, and the required kinds."""
        return [endpoint.to_wire() for endpoint in self.endpoints], self.required_kinds


def diff_lists(current: dict[str, EndpointEntry], entries: tuple[EndpointEntry, ...]) -> EndpointListUpdate:
    """Return a full list as an update of the current one: new and changed entries, and removals."""
    listed = {entry.endpoint_id: entry for entry in entries}
    changed = [entry for endpoint_id, entry in listed.items() if current.get(endpoint_id) != entry]
    removed = [
        entry._replace(state=EndpointState.REMOVED)
        for endpoint_id, entry in current.items()
        if endpoint_id not in listed
    ]
    return EndpointListUpdate(ListUpdateKind.CHANGES, (*changed, *removed))


class EndpointView:
    """Owns the list, the drains and the plan, and publishes changes of the result to the router.

    Args:
        clock: the process's clock, Unix time in ms.
        publish: called with each update for the router.
    """

    def __init__(self, clock: Clock, publish: Callable[[EndpointListUpdate], None]) -> None:
        self._publish = publish
        self.revision = 0
        self.entries: dict[str, EndpointEntry] = {}
        self.addresses: dict[str, str] = {}
        self.starts = EndpointStarts(clock)
        # The endpoints that were last published as ready.
        self.ready_ids: set[str] = set()
        # Set once an endpoint was ready.
        self.became_usable = asyncio.Event()
        self.drains = DrainSet()
        # None if this dispatcher follows no traffic plan.
        self.follower: Follower | None = None
        self._plan_view = PlanView()

    def is_ready_at(self, endpoint_id: str, address: str) -> bool:
        """Whether an endpoint is ready and still listed with this address."""
        return endpoint_id in self.ready_ids and self.addresses.get(endpoint_id) == address

    def ready_entries(self, now: float) -> list[EndpointEntry]:
        """Return the endpoints that are ready according to the list and the drains, ignoring the plan."""
        return self._plan_view.ready_entries(now, self.entries, self.drains)

    # ---------------------------------------------------------------- changes

    def update_list(self, message: EndpointList, now: float, router: Router, as_changes: bool) -> None:
        """Apply a message of discovery; with `as_changes`, a full list is published as its differences."""
        self.revision = message.revision
        update = message.update
        self.starts.update(update)
        if update.kind == ListUpdateKind.FULL and self.entries and as_changes:
            update = diff_lists(self.entries, update.entries)
            self.addresses = message.addresses
        elif update.kind != ListUpdateKind.CHANGES:
            self.entries.clear()
            self.addresses.clear()
            self.ready_ids.clear()
        for entry in update.entries:
            self._store(entry, message.addresses.get(entry.endpoint_id))
        self._plan_view.invalidate()
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

    def apply_drains(self, drains: DrainSet) -> bool:
        """Put a set of drains in force; return False, and keep the current one, if the set is older."""
        if drains.version < self.drains.version:
            return False
        self.drains = drains
        return True

    def apply_plan(self, lease: PlanLease) -> bool:
        """Follow a traffic plan; return False if it is older, or if this dispatcher follows no plans."""
        return self.follower is not None and self.follower.accept(lease)

    def refresh(self, now: float, router: Router) -> None:
        """Publish the endpoints whose state differs under the drains and the plan in force now."""
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
        """Return in how many ms the usable endpoints may change without an update; infinite if never."""
        wait_ms = self.drains.next_expiry_ms(now) - now
        if self.follower is not None and self.follower.has_valid_plan(now):
            # The router does not report ejections, so they are polled.
            wait_ms = min(wait_ms, PLAN_CHECK_MS)
        return wait_ms

    def _apply(self, kind: str, entries: Iterable[EndpointEntry], now: float, router: Router) -> None:
        """Publish entries with the drains and the plan applied."""
        usable = self._usable_ids(now, router) if self.follower is not None else None
        effective = [self._effective_entry(entry, usable, now) for entry in entries]
        for entry in effective:
            if entry.state == EndpointState.READY:
                self.ready_ids.add(entry.endpoint_id)
            else:
                self.ready_ids.discard(entry.endpoint_id)
        if self.ready_ids:
            self.became_usable.set()
        self._publish(EndpointListUpdate(kind, tuple(effective)))
        if self.follower is not None:
            # These entries may change which of the other endpoints the plan selects.
            self.refresh(now, router)

    def _effective_entry(
        self, entry: EndpointEntry, usable: frozenset[str] | None, now: float
    ) -> EndpointEntry:
        """Return an entry with the state and start time that are published to the router."""
        state = self.drains.state_of(entry, now)
        if usable is not None and state == EndpointState.READY and entry.endpoint_id not in usable:
            state = EndpointState.DRAINING
        started_ms = self.starts.start_of(entry)
        if state == entry.state and started_ms == entry.started_ms:
            return entry
        return entry._replace(state=state, started_ms=started_ms)

    def _usable_ids(self, now: float, router: Router) -> frozenset[str]:
        """Return the ids of the ready endpoints that this dispatcher uses."""
        ready = self.ready_entries(now)
        if self.follower is None:
            return frozenset([entry.endpoint_id for entry in ready])
        ejected = inspection.ejected_endpoints(router)
        required_kinds = set(inspection.required_kinds(router).values())
        return self._plan_view.usable_ids(now, self.follower, ready, ejected, required_kinds)

    # ---------------------------------------------------------------- for the admin interface

    def describe(self, now: float, router: Router) -> EndpointDescriptions:
        """Return all endpoints with their drains and the router's view of each."""
        # With no drain in force the look-up of drains is skipped: for thousands of endpoints it takes a third
        # of the time of this method.
        any_drain = bool(self.drains.drains)
        endpoints = []
        for entry in self.entries.values():
            state = self.drains.state_of(entry, now) if any_drain else entry.state
            drains = [drain.describe() for drain in self.drains.covering(entry, now)] if any_drain else []
            routing = inspection.describe_endpoint(router, entry.endpoint_id)
            endpoints.append(EndpointDescription(entry, state, tuple(drains), routing))
        return EndpointDescriptions(tuple(endpoints), inspection.required_kinds(router))
