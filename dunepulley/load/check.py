"""Checks the four guarantees of `model.rules` in the record of a run against real dispatchers.

Effects of injected faults are no violations: a request is not lost if its dispatcher was killed or stopped,
or its client was cut off from the dispatcher; and a change of the endpoint list counts as received only once
the dispatcher runs and can reach its discovery.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from dunepulley.load.faults import CLIENTS, DISCOVERY
from dunepulley.model.rules import Rules
from dunepulley.model.scenario import LINK_FAULTS, Scenario, zone_of

# An answer up to this long after the deadline is only late; after that the request counts as lost.
ANSWER_SLACK_MS = 500.0
# Tolerance for the drain grace time, as sockets and processes add delays.
TIMEOUT_SLACK_MS = 50.0
# A list update counts as received this long after a dispatcher can reach its discovery again.
DISCOVERY_RECOVERY_MS = 6000.0


class Span(NamedTuple):
    """The time span of a fault, in ms since the start of the run, and the link's two ends or the process."""

    first: float
    last: float
    parties: frozenset[str]


class RecordedServer(NamedTuple):
    """A server of a record, with the attributes that the rules need."""

    name: str
    zone: str
    cell: str
    started_ms: float = 0.0
    speed: float = 1.0
    slots: int = 1
    factors: dict[str, float] = {}


def spans_of(events: list[dict[str, Any]]) -> tuple[list[Span], list[Span]]:
    """Return the spans of link faults, and those from a process's kill or stop until it served again."""
    links, processes = [], []
    started: dict[Any, float] = {}
    for event in events:
        if event["event"] == "fault" and event["kind"] in LINK_FAULTS:
            for pair in event["pairs"]:
                key = (event["number"], *sorted(pair))
                if event["on"]:
                    started[key] = event["at"]
                else:
                    links.append(Span(started.pop(key, 0.0), event["at"], frozenset(pair)))
        elif event["event"] == "process":
            name, action = event["name"], event["what"]
            if action in ("killed", "stopped"):
                started.setdefault(name, event["at"])
            elif action in ("ready", "goes on") and name in started:
                processes.append(Span(started.pop(name), event["at"], frozenset([name])))
    last = events[-1]["at"] if events else 0.0
    for key, first in started.items():
        spans, parties = (processes, [key]) if isinstance(key, str) else (links, key[1:])
        spans.append(Span(first, last, frozenset(parties)))
    return links, processes


class Checker:
    """Passes the events of a record to the rules, in order."""

    def __init__(self, scenario: Scenario, events: list[dict[str, Any]]) -> None:
        self.scenario, self.events = scenario, events
        self.links, self.processes = spans_of(events)
        self.rules = Rules(
            scenario._replace(drain_grace_ms=scenario.drain_grace_ms + TIMEOUT_SLACK_MS), ANSWER_SLACK_MS
        )
        self.request_classes = {request_class.name: request_class for request_class in scenario.categories}
        self.homes: dict[str, str] = {}
        # When each request was sent, and to which dispatcher.
        self.sent: dict[str, tuple[float, str]] = {}
        self.class_names: dict[str, str] = {}
        # The servers at which attempts of a request have neither ended nor been cancelled.
        self.in_flight: dict[str, set[str]] = {}
        # Attempts whose cancellation was recorded before their arrival, as (request id, server).
        self.cancelled_early: set[tuple[str, str]] = set()

    def violations(self) -> list[str]:
        """Return the violations of the rules."""
        for event in self.events:
            reader = self.READERS.get(event["event"])
            if reader is not None:
                reader(self, event["at"], event)
        for request_id in self.rules.deadlines.keys() - self.rules.answered:
            if self._excused(request_id):
                del self.rules.deadlines[request_id]
        self.rules.finish(float("inf"))
        return self.rules.violations

    def _overlapping(self, spans: list[Span], parties: set[str], first: float, last: float) -> list[Span]:
        return [
            span for span in spans if span.parties <= parties and span.first <= last and span.last >= first
        ]

    def _excused(self, request_id: str) -> bool:
        """Whether a fault may have prevented the answer to a request."""
        at, dispatcher = self.sent[request_id]
        until = self.rules.deadlines[request_id] + ANSWER_SLACK_MS
        cut = self._overlapping(self.links, {CLIENTS, dispatcher}, at, until)
        return bool(cut or self._overlapping(self.processes, {dispatcher}, at, until))

    def _server(self, name: str, **attributes: Any) -> RecordedServer:
        number = int(name[1:])
        return RecordedServer(
            name,
            zone_of(self.scenario, number, self.scenario.workers),
            str(number % self.scenario.cells),
            **attributes,
        )

    def _read_sent(self, at: float, event: dict[str, Any]) -> None:
        request_id = event["wi"]
        self.sent[request_id], self.class_names[request_id] = (at, event["to"]), event["category"]
        self.rules.request_accepted(at, request_id, event["budget"])

    def _read_answered(self, at: float, event: dict[str, Any]) -> None:
        request_id = event["wi"]
        if event["how"] == "refused":
            # The connection was refused: no dispatcher has accepted the request.
            self.rules.deadlines.pop(request_id, None)
        elif event["how"] != "no answer" and not (
            at > self.rules.deadlines[request_id] and self._excused(request_id)
        ):
            self.rules.request_answered(at, request_id)
        elif event["how"] != "no answer":
            self.rules.answered.add(request_id)

    def _read_arrived(self, at: float, event: dict[str, Any]) -> None:
        request_id, target = event["wi"], event["worker"]
        dispatcher = self.sent[request_id][1]
        notified_at = self.rules.notified.get((dispatcher, target))
        # The time of sending is unknown if the link was at fault, as the link may have delayed the attempt.
        late = self._overlapping(
            self.links, {dispatcher, target}, notified_at if notified_at is not None else at, at
        )
        if notified_at is not None and not late:
            self.rules.notified[dispatcher, target] = self._received_at(dispatcher, notified_at)
            self.rules.attempt_sent(at, dispatcher, target)
        if "able" in event:
            capacity = event["able"] / self.scenario.slots
            server = self._server(target, started_ms=at, speed=capacity, slots=self.scenario.slots)
            self.rules.attempt_arrived(at, server, event["work"])
        in_flight = self.in_flight.setdefault(request_id, set())
        # A server must have at most one attempt of a request at a time, even if hedged requests are allowed.
        is_duplicate = target in in_flight or (in_flight and not self.scenario.second_copies)
        if is_duplicate and not self._overlapping(self.links, {dispatcher, *in_flight}, 0.0, at):
            self.rules.report_violation(
                "copies",
                f"{request_id} was in flight at {', '.join(sorted(in_flight))} and sent to {target}",
            )
        if (request_id, target) in self.cancelled_early:
            self.cancelled_early.discard((request_id, target))
        else:
            in_flight.add(target)

    def _received_at(self, dispatcher: str, notified_at: float) -> float:
        """Return when a dispatcher has received a list that was written to it at `notified_at`."""
        for span in sorted(self._overlapping(self.processes, {dispatcher}, 0.0, float("inf"))):
            notified_at = span.last if span.first <= notified_at <= span.last else notified_at
        for span in sorted(self._overlapping(self.links, {dispatcher, DISCOVERY}, 0.0, float("inf"))):
            notified_at = (
                span.last + DISCOVERY_RECOVERY_MS
                if span.first <= notified_at <= span.last + DISCOVERY_RECOVERY_MS
                else notified_at
            )
        return notified_at

    def _read_began(self, at: float, event: dict[str, Any]) -> None:
        request_id = event["wi"]
        self.rules.attempt_started(
            at,
            request_id,
            self.request_classes[self.class_names[request_id]],
            self._server(event["worker"]),
        )

    def _read_end(self, at: float, event: dict[str, Any]) -> None:
        request_id, target = event["wi"], event["worker"]
        if target in self.in_flight.get(request_id, ()):
            self.in_flight[request_id].discard(target)
        elif event["event"] == "given up":
            self.cancelled_early.add((request_id, target))

    def _read_listed(self, at: float, event: dict[str, Any]) -> None:
        for name, state in event["workers"].items():
            self.rules.record_state(at, event["to"], name, state)

    def _read_process(self, at: float, event: dict[str, Any]) -> None:
        if event["what"] in ("killed", "ended"):
            # A restarted dispatcher has not received any endpoint list yet.
            for key in [key for key in self.rules.notified if key[0] == event["name"]]:
                del self.rules.notified[key]

    def _read_worker(self, at: float, event: dict[str, Any]) -> None:
        if event["what"] == "falls silent":
            for in_flight in self.in_flight.values():
                in_flight.discard(event["name"])

    READERS = {
        "sent": _read_sent,
        "answered": _read_answered,
        "arrived": _read_arrived,
        "began": _read_began,
        "full": _read_end,
        "finished": _read_end,
        "lost": _read_end,
        "given up": _read_end,
        "listed": _read_listed,
        "process": _read_process,
        "worker": _read_worker,
    }


def find_violations(scenario: Scenario, events: list[dict[str, Any]]) -> list[str]:
    """Return the violations in a run; raises ValueError where the record does not match the scenario."""
    try:
        return Checker(scenario, events).violations()
    except (KeyError, TypeError, AttributeError) as problem:
        raise ValueError(f"the record does not match the scenario, or is damaged: {problem!r}") from problem
