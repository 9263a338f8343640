"""The endpoint list of a simulation, and its delayed updates to each dispatcher."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from dunepulley.model.scenario import ALL_ZONES
from dunepulley.routing.events import EndpointEntry, EndpointListUpdate, EndpointState, ListUpdateKind

if TYPE_CHECKING:
    from dunepulley.model.simulation import Simulation


class EndpointLists:
    """The state of each server, sent to every dispatcher some time after a change."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.scenario, self.rng = simulation.scenario, simulation.rng["troubles"]
        self.states = dict.fromkeys(simulation.servers, EndpointState.READY)
        # Per dispatcher: the entries that it was sent, and the endpoints that the plan or its zone allows.
        # Used unless every dispatcher uses all zones.
        self.listed: list[dict[str, EndpointEntry]] = [{} for _ in range(self.scenario.dispatchers)]
        self.usable: list[frozenset[str]] = [frozenset()] * self.scenario.dispatchers

    def send_initial_lists(self) -> None:
        """Send the initial endpoint list to every dispatcher."""
        for dispatcher in range(self.scenario.dispatchers):
            self._send_servers(dispatcher, ListUpdateKind.FULL, list(self.states))

    def change_state(self, name: str, state: EndpointState) -> None:
        """Change a server's state, and send it to every dispatcher after a delay."""
        self.states[name] = state
        time = self.simulation.time
        for dispatcher in range(self.scenario.dispatchers):
            factor = float(self.rng.uniform(0.5, 1.5))
            delay_ms = self.scenario.list_delay_ms * factor + self.simulation.disturbances.list_late_ms
            send = functools.partial(self._send_servers, dispatcher, ListUpdateKind.CHANGES, [name])
            time.at(time.now + delay_ms, send)

    def apply_plan(
        self,
        dispatcher: int,
        kind: ListUpdateKind = ListUpdateKind.CHANGES,
        changes: list[EndpointEntry] | None = None,
    ) -> None:
        """Send a dispatcher the changed entries and those whose usability the plan has changed.

        Ready endpoints that the dispatcher must not use are sent as draining.
        """
        listed, before = self.listed[dispatcher], self.usable[dispatcher]
        usable = self.usable[dispatcher] = self._usable(dispatcher)
        updates = {entry.endpoint_id: entry for entry in changes or []}
        updates |= {name: listed[name] for name in before ^ usable if name in listed}
        entries = [
            entry._replace(state=EndpointState.DRAINING)
            if entry.state == EndpointState.READY and name not in usable
            else entry
            for name, entry in updates.items()
        ]
        if entries:
            self._send(dispatcher, kind, entries)

    def _usable(self, dispatcher: int) -> frozenset[str]:
        """Return the ids of the ready endpoints that the plan, or else the dispatcher's own zone, allows."""
        ready = [entry for entry in self.listed[dispatcher].values() if entry.state == EndpointState.READY]
        if self.simulation.plans is not None:
            return self.simulation.plans.usable_endpoints(dispatcher, ready)
        return frozenset(
            [
                entry.endpoint_id
                for entry in ready
                if entry.zone == self.simulation.dispatcher_zones[dispatcher]
            ]
        )

    def _send_servers(self, dispatcher: int, kind: ListUpdateKind, names: list[str]) -> None:
        """Send a dispatcher the current entries of these servers."""
        entries = []
        for name in names:
            server, state = self.simulation.servers[name], self.states[name]
            entry = EndpointEntry(name, server.zone, server.kind, server.cell, state, 1.0, server.started_ms)
            entries.append(entry)
        if self.scenario.way == ALL_ZONES:
            self._send(dispatcher, kind, entries)
        else:
            self.listed[dispatcher] |= {entry.endpoint_id: entry for entry in entries}
            self.apply_plan(dispatcher, kind, entries)

    def _send(self, dispatcher: int, kind: ListUpdateKind, entries: list[EndpointEntry]) -> None:
        for entry in entries:
            self.simulation.rules.record_state(
                self.simulation.time.now, dispatcher, entry.endpoint_id, entry.state
            )
        self.simulation.handle(dispatcher, EndpointListUpdate(kind, tuple(entries)))
