"""When endpoints last started, by this process's clock, even if the wall clock was stepped since.

Discovery reports `up_since_ms` in Unix time. While all clocks agree, that time is used. Once they are seen to
disagree, the safe assumption is made: an endpoint counts as warming up from the latest time at which it may
have started. That is never later than the time at which it was first listed with this start, and it is kept
for as long as discovery reports the same start. All times are Unix time in ms; 0 means long ago.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from dunepulley.clocks import STEP_MS, Clock
from dunepulley.routing.events import EndpointEntry, EndpointListUpdate, EndpointState, ListUpdateKind

# Tolerance for late lists. If an endpoint's new start is reported as earlier, by more than this, than a list
# that still showed its previous start, the start was reported by a clock that differs from this one.
LATE_LIST_MS = 30_000.0


class EndpointStart(NamedTuple):
    """One start of an endpoint: as reported, by this process's clock, and when it was first listed."""

    reported_ms: float
    started_ms: float
    listed_ms: float


class EndpointStarts:
    """The start time of each listed endpoint."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.by_endpoint: dict[str, EndpointStart] = {}
        # The lowest observed offset of the wall clock from this process's clock; 0 or less.
        self._wall_clock_offset_ms = 0.0

    def update(self, update: EndpointListUpdate) -> None:
        """Apply an update of the endpoint list."""
        now = self.clock()
        self._wall_clock_offset_ms = min(self._wall_clock_offset_ms, self.clock.wall_offset_ms())
        if update.kind not in (ListUpdateKind.CHANGES, ListUpdateKind.FAILED):
            listed = {entry.endpoint_id for entry in update.entries}
            self.by_endpoint = {
                endpoint_id: start for endpoint_id, start in self.by_endpoint.items() if endpoint_id in listed
            }
        # A list from a file was received at some unknown earlier time.
        listed_ms = 0.0 if update.kind == ListUpdateKind.FROM_DISK else now
        for entry in update.entries:
            self._update_entry(entry, listed_ms, now)

    def _update_entry(self, entry: EndpointEntry, listed_ms: float, now: float) -> None:
        if entry.state == EndpointState.REMOVED:
            self.by_endpoint.pop(entry.endpoint_id, None)
            return
        previous = self.by_endpoint.get(entry.endpoint_id)
        if previous is None or previous.reported_ms != entry.started_ms:
            started_ms = self._latest_start(entry.started_ms, previous, now)
            self.by_endpoint[entry.endpoint_id] = EndpointStart(entry.started_ms, started_ms, listed_ms)
        elif not previous.listed_ms:
            self.by_endpoint[entry.endpoint_id] = previous._replace(listed_ms=listed_ms)

    def _latest_start(self, reported_ms: float, previous: EndpointStart | None, now: float) -> float:
        """Return the latest time at which an endpoint may have started whose start is first reported now."""
        if reported_ms <= 0.0:
            return reported_ms  # long ago
        if previous is not None and previous.reported_ms < reported_ms < previous.listed_ms - LATE_LIST_MS:
            return now
        # A start that was reported by a clock that had been set back is later than reported.
        started_ms = reported_ms - self._wall_clock_offset_ms
        clocks_disagree = self._wall_clock_offset_ms < 0.0 or started_ms > now + STEP_MS
        return min(started_ms, now) if clocks_disagree else started_ms

    def start_of(self, entry: EndpointEntry) -> float:
        """Return when an endpoint started, by this process's clock; 0 for long ago."""
        start = self.by_endpoint.get(entry.endpoint_id)
        return start.started_ms if start is not None else entry.started_ms

    def corrected_starts(self) -> dict[str, float]:
        """Return the starts that differ from the reported ones, by endpoint id, for a child process."""
        return {
            endpoint_id: start.started_ms
            for endpoint_id, start in self.by_endpoint.items()
            if start.started_ms != start.reported_ms
        }

    def inherit(self, entries: Iterable[EndpointEntry], corrected_starts: Mapping[str, float]) -> None:
        """Initialise from the parent process's list and corrected starts; both processes use one clock."""
        for entry in entries:
            started_ms = corrected_starts.get(entry.endpoint_id, entry.started_ms)
            self.by_endpoint[entry.endpoint_id] = EndpointStart(entry.started_ms, started_ms, 0.0)
