"""The four rules, checked in the record of a run against real dispatchers.

What a fault takes away is not held against anybody: an item whose dispatcher is killed or stands still, or
whose client is cut off from it, is not lost by it; a change of the list counts as told only once the
dispatcher runs and can hear it.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from dunepulley.load.faults import CLIENTS, DISCOVERY
from dunepulley.model.rules import Rules
from dunepulley.model.scenario import LINKS, Scenario, zone_of

# Up to so long after its time an answer only earns nothing; later, or never, the item is lost.
ANSWER_SLACK_MS = 500.0
# Each time limit is longer by this on sockets.
SLACK_MS = 50.0
# News counts as told so long after discovery can be reached again.
TOLD_MS = 6000.0


class Span(NamedTuple):
    """From when to when something held, and between whom (one name for a process)."""

    first: float
    last: float
    who: frozenset[str]


class Place(NamedTuple):
    """A worker as the rules look at it."""

    name: str
    zone: str
    cell: str
    since: float = 0.0
    speed: float = 1.0
    slots: int = 1
    factors: dict[str, float] = {}


def spans_of(events: list[dict[str, Any]]) -> tuple[list[Span], list[Span]]:
    """When links were at fault, and when processes were killed or stood still, until they served again."""
    links, processes = [], []
    begun: dict[Any, float] = {}
    for event in events:
        if event["event"] == "fault" and event["kind"] in LINKS:
            for pair in event["pairs"]:
                key = (event["number"], *sorted(pair))
                if event["on"]:
                    begun[key] = event["at"]
                else:
                    links.append(Span(begun.pop(key, 0.0), event["at"], frozenset(pair)))
        elif event["event"] == "process":
            name, what = event["name"], event["what"]
            if what in ("killed", "stopped"):
                begun.setdefault(name, event["at"])
            elif what in ("ready", "goes on") and name in begun:
                processes.append(Span(begun.pop(name), event["at"], frozenset([name])))
    last = events[-1]["at"] if events else 0.0
    for key, first in begun.items():
        some, who = (processes, [key]) if isinstance(key, str) else (links, key[1:])
        some.append(Span(first, last, frozenset(who)))
    return links, processes


class Checker:
    """Reads a record from its first event to its last."""

    def __init__(self, scenario: Scenario, events: list[dict[str, Any]]) -> None:
        self.scenario, self.events = scenario, events
        self.links, self.processes = spans_of(events)
        self.rules = Rules(
            scenario._replace(drain_grace_ms=scenario.drain_grace_ms + SLACK_MS), ANSWER_SLACK_MS
        )
        self.categories = {category.name: category for category in scenario.categories}
        self.homes: dict[str, str] = {}
        self.sent: dict[str, tuple[float, str]] = {}
        self.category: dict[str, str] = {}
        # Where hand-offs of an item have neither ended nor been given up.
        self.out: dict[str, set[str]] = {}
        # Given up before they were seen to arrive.
        self.early: set[tuple[str, str]] = set()

    def broken(self) -> list[str]:
        """What went against a rule."""
        for event in self.events:
            reader = self.READERS.get(event["event"])
            if reader is not None:
                reader(self, event["at"], event)
        for request_id in self.rules.deadlines.keys() - self.rules.answered:
            if self._excused(request_id):
                del self.rules.deadlines[request_id]
        self.rules.finish(float("inf"))
        return self.rules.broken

    def _during(self, spans: list[Span], who: set[str], first: float, last: float) -> list[Span]:
        return [span for span in spans if span.who <= who and span.first <= last and span.last >= first]

    def _excused(self, request_id: str) -> bool:
        """Whether a fault may have taken an item's answer away."""
        at, home = self.sent[request_id]
        until = self.rules.deadlines[request_id] + ANSWER_SLACK_MS
        cut = self._during(self.links, {CLIENTS, home}, at, until)
        return bool(cut or self._during(self.processes, {home}, at, until))

    def _place(self, name: str, **more: Any) -> Place:
        number = int(name[1:])
        return Place(
            name,
            zone_of(self.scenario, number, self.scenario.workers),
            str(number % self.scenario.cells),
            **more,
        )

    def _read_sent(self, at: float, event: dict[str, Any]) -> None:
        request_id = event["wi"]
        self.sent[request_id], self.category[request_id] = (at, event["to"]), event["category"]
        self.rules.request_accepted(at, request_id, event["budget"])

    def _read_answered(self, at: float, event: dict[str, Any]) -> None:
        request_id = event["wi"]
        if event["how"] == "refused":
            # Its connection was: nobody has taken it.
            self.rules.deadlines.pop(request_id, None)
        elif event["how"] != "no answer" and not (
            at > self.rules.deadlines[request_id] and self._excused(request_id)
        ):
            self.rules.request_answered(at, request_id)
        elif event["how"] != "no answer":
            self.rules.answered.add(request_id)

    def _read_arrived(self, at: float, event: dict[str, Any]) -> None:
        request_id, worker = event["wi"], event["worker"]
        home = self.sent[request_id][1]
        told = self.rules.notified.get((home, worker))
        # Under a link that is at fault nobody sees when it was sent.
        late = self._during(self.links, {home, worker}, told if told is not None else at, at)
        if told is not None and not late:
            self.rules.notified[home, worker] = self._heard(home, told)
            self.rules.attempt_sent(at, home, worker)
        if "able" in event:
            able = event["able"] / self.scenario.slots
            place = self._place(worker, since=at, speed=able, slots=self.scenario.slots)
            self.rules.attempt_arrived(at, place, event["work"])
        out = self.out.setdefault(request_id, set())
        # One worker gets one hand-off of an item at a time, also where there may be copies elsewhere.
        wrong = worker in out or (out and not self.scenario.second_copies)
        if wrong and not self._during(self.links, {home, *out}, 0.0, at):
            self.rules.report_violation(
                "copies", f"{request_id} was out at {', '.join(sorted(out))} and sent to {worker}"
            )
        if (request_id, worker) in self.early:
            self.early.discard((request_id, worker))
        else:
            out.add(worker)

    def _heard(self, home: str, told: float) -> float:
        """When what was written to a dispatcher can have been heard there."""
        for span in sorted(self._during(self.processes, {home}, 0.0, float("inf"))):
            told = span.last if span.first <= told <= span.last else told
        for span in sorted(self._during(self.links, {home, DISCOVERY}, 0.0, float("inf"))):
            told = span.last + TOLD_MS if span.first <= told <= span.last + TOLD_MS else told
        return told

    def _read_began(self, at: float, event: dict[str, Any]) -> None:
        request_id = event["wi"]
        self.rules.attempt_started(
            at, request_id, self.categories[self.category[request_id]], self._place(event["worker"])
        )

    def _read_end(self, at: float, event: dict[str, Any]) -> None:
        request_id, worker = event["wi"], event["worker"]
        if worker in self.out.get(request_id, ()):
            self.out[request_id].discard(worker)
        elif event["event"] == "given up":
            self.early.add((request_id, worker))

    def _read_listed(self, at: float, event: dict[str, Any]) -> None:
        for worker, state in event["workers"].items():
            self.rules.state_told(at, event["to"], worker, state)

    def _read_process(self, at: float, event: dict[str, Any]) -> None:
        if event["what"] in ("killed", "ended"):
            # Who starts anew has been told nothing yet.
            for key in [key for key in self.rules.notified if key[0] == event["name"]]:
                del self.rules.notified[key]

    def _read_worker(self, at: float, event: dict[str, Any]) -> None:
        if event["what"] == "falls silent":
            for out in self.out.values():
                out.discard(event["name"])

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


def broken_in(scenario: Scenario, events: list[dict[str, Any]]) -> list[str]:
    """What a run went against; raises ValueError where the record is not of this day."""
    try:
        return Checker(scenario, events).broken()
    except (KeyError, TypeError, AttributeError) as problem:
        raise ValueError(f"the record is of another day, or no record: {problem!r}") from problem
