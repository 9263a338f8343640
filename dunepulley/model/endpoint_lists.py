"""What each simulated dispatcher is told of the list of endpoints, and when."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from dunepulley.model.scenario import ALONE
from dunepulley.routing.events import EndpointEntry, EndpointListUpdate, EndpointState, ListUpdateKind

if TYPE_CHECKING:
    from dunepulley.model.simulation import Simulation


class EndpointLists:
    """The list of a world's workers, which each dispatcher hears of a while after it changed."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.scenario, self.draw = simulation.scenario, simulation.draw["troubles"]
        self.states = dict.fromkeys(simulation.workers, EndpointState.READY)
        # What each dispatcher's list says, where more than the list decides what it sees.
        self.known: list[dict[str, EndpointEntry]] = [{} for _ in range(self.scenario.dispatchers)]
        self.seen: list[frozenset[str]] = [frozenset()] * self.scenario.dispatchers

    def tell_all(self) -> None:
        """Tell every dispatcher its first list."""
        for me in range(self.scenario.dispatchers):
            self._tell_workers(me, ListUpdateKind.FULL, list(self.states))

    def change_state(self, name: str, state: EndpointState) -> None:
        """Change a worker's state, of which every dispatcher hears a while later."""
        self.states[name] = state
        time = self.simulation.time
        for me in range(self.scenario.dispatchers):
            drawn = float(self.draw.uniform(0.5, 1.5))
            delay_ms = self.scenario.list_delay_ms * drawn + self.simulation.troubles.list_late_ms
            tell = functools.partial(self._tell_workers, me, ListUpdateKind.CHANGES, [name])
            time.at(time.now + delay_ms, tell)

    def apply_plan(
        self,
        me: int,
        kind: ListUpdateKind = ListUpdateKind.CHANGES,
        changes: list[EndpointEntry] | None = None,
    ) -> None:
        """Tell a dispatcher changes of its list and of what the plan lets it use; the rest is draining."""
        known, before = self.known[me], self.seen[me]
        seen = self.seen[me] = self._usable(me)
        told = {entry.endpoint_id: entry for entry in changes or []}
        told |= {name: known[name] for name in before ^ seen if name in known}
        entries = [
            entry._replace(state=EndpointState.DRAINING)
            if entry.state == EndpointState.READY and name not in seen
            else entry
            for name, entry in told.items()
        ]
        if entries:
            self._tell(me, kind, entries)

    def _usable(self, me: int) -> frozenset[str]:
        """The ready endpoints that the plan, or the dispatcher's fixed zone, lets it use."""
        ready = [entry for entry in self.known[me].values() if entry.state == EndpointState.READY]
        if self.simulation.plans is not None:
            return self.simulation.plans.usable_endpoints(me, ready)
        return frozenset([entry.endpoint_id for entry in ready if entry.zone == self.simulation.homes[me]])

    def _tell_workers(self, me: int, kind: ListUpdateKind, names: list[str]) -> None:
        """Tell a dispatcher these workers as they are by now."""
        entries = []
        for name in names:
            server, state = self.simulation.workers[name], self.states[name]
            entry = EndpointEntry(name, server.zone, server.kind, server.cell, state, 1.0, server.since)
            entries.append(entry)
        if self.scenario.way == ALONE:
            self._tell(me, kind, entries)
        else:
            self.known[me] |= {entry.endpoint_id: entry for entry in entries}
            self.apply_plan(me, kind, entries)

    def _tell(self, me: int, kind: ListUpdateKind, entries: list[EndpointEntry]) -> None:
        for entry in entries:
            self.simulation.rules.state_told(self.simulation.time.now, me, entry.endpoint_id, entry.state)
        self.simulation.handle(me, EndpointListUpdate(kind, tuple(entries)))
