"""A hand-driven router, with an oracle that checks its commands against the four rules."""

from __future__ import annotations

from typing import NamedTuple

from dunepulley.routing.commands import Fail, Reject, SetTimer, StartAttempt
from dunepulley.routing.events import (
    NOT_EXECUTED,
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    RequestArrived,
)
from dunepulley.routing.router import Router
from dunepulley.routing.settings import Idempotency

# Three request classes, one for each kind of idempotency.
SETTINGS = {
    "balancers": 2.0,
    "categories.count": 3.0,
    "categories.0.name": "look",
    "categories.0.effect": Idempotency.IDEMPOTENT,
    "categories.0.payoff": 5.0,
    "categories.1.name": "store",
    "categories.1.effect": Idempotency.KEYED,
    "categories.1.keyScope": "cell",
    "categories.1.windowMs": 3000.0,
    "categories.2.name": "pay",
    "categories.2.effect": Idempotency.NON_IDEMPOTENT,
    "familyInfo.tellsStart": True,
    "policyLimits.mostHandOffs": 5.0,
    "policyLimits.cancel": True,
    "policyLimits.secondCopies": True,
    "rules.coldFrom": 0.2,
    "rules.coldMs": 20000.0,
    "rules.fallMultiple": 4.0,
    "rules.tipAfterMs": 1000.0,
    "rules.drainGraceMs": 300.0,
}
CLASS_COUNT = 3
for number in range(CLASS_COUNT):
    SETTINGS |= {f"categories.{number}.dueTimeMs": 500.0, f"categories.{number}.expiryMs": 5000.0}


class SentAttempt(NamedTuple):
    """An attempt that the router has started; `result` is empty while it is in flight."""

    endpoint_id: str
    started_ms: float
    result: str = ""


class RouterRig:
    """Feeds events to a router, records them, and checks every command against the records.

    Starts with `endpoints` endpoints in the list, at the time `now` in ms. Keyword arguments override
    `SETTINGS`, with `__` in place of each dot. `sent` holds the attempts of each request, `answer` the kind
    of each final response by request, and `timers` the time and the token of each timer that was set.
    """

    def __init__(self, endpoints: int = 4, seed: int = 7, now: float = 1000.0, **settings: object) -> None:
        self.settings = SETTINGS | {name.replace("__", "."): value for name, value in settings.items()}
        self.router = Router(seed, self.settings, now)
        self.now = now
        self.arrived: dict[str, RequestArrived] = {}
        self.sent: dict[str, list[SentAttempt]] = {}
        self.answer: dict[str, str] = {}
        self.entries: dict[str, EndpointEntry] = {}
        self.timers: list[tuple[float, int]] = []
        if endpoints:
            entries = tuple(endpoint_entry(number) for number in range(endpoints))
            self.feed(EndpointListUpdate(ListUpdateKind.FULL, entries))

    def feed(self, *events: object, after: float = 0.0) -> list[object]:
        """Let `after` ms pass, pass events to the router, check and return its commands."""
        self.now += after
        for event in events:
            self._record(event)
        commands = self.router.handle(self.now, list(events))
        for command in commands:
            self._check(command)
        return commands

    def _record(self, event: object) -> None:
        if isinstance(event, EndpointListUpdate):
            self._record_list(event)
        elif isinstance(event, RequestArrived):
            self.arrived[event.request_id] = event
            self.sent[event.request_id] = []
        elif isinstance(event, AttemptEnded):
            attempts = self.sent.get(event.request_id, [])
            if event.attempt_number < len(attempts):
                ended = attempts[event.attempt_number]
                attempts[event.attempt_number] = ended._replace(result=event.result)
            if event.answered:
                self.answer.setdefault(event.request_id, "finished")

    def _record_list(self, update: EndpointListUpdate) -> None:
        named = {entry.endpoint_id for entry in update.entries}
        if update.kind == ListUpdateKind.FULL:
            for endpoint_id in self.entries.keys() - named:
                self.entries[endpoint_id] = self.entries[endpoint_id]._replace(state=EndpointState.REMOVED)
        self.entries |= {entry.endpoint_id: entry for entry in update.entries}

    def _check(self, command: object) -> None:
        """Check one command against the rules, independently of the router's state."""
        if isinstance(command, StartAttempt):
            self._check_attempt(command)
        elif isinstance(command, Reject | Fail):
            self._check_final_response(command)
        elif isinstance(command, SetTimer):
            self.timers.append((self.now + command.delay_ms, command.token))

    def _check_attempt(self, command: StartAttempt) -> None:
        assert command.request_id not in self.answer, "an attempt after the final response"
        entry = self.entries[command.endpoint_id]
        assert entry.state == EndpointState.READY, "an attempt at an endpoint that drains or is removed"
        attempts = self.sent[command.request_id]
        class_number = self._class_number(command.request_id)
        for earlier in attempts:
            self._check_repeat(class_number, earlier, entry)
        in_flight = sum(attempt.result == "" for attempt in attempts)
        assert not in_flight or self.settings["policyLimits.secondCopies"], "two attempts in flight"
        assert len(attempts) < self.settings["policyLimits.mostHandOffs"], "too many attempts"
        attempts.append(SentAttempt(command.endpoint_id, self.now))

    def _check_repeat(self, class_number: int, earlier: SentAttempt, entry: EndpointEntry) -> None:
        """Check that a request may be sent to an endpoint after an earlier attempt."""
        effect = self._class_setting(class_number, "effect")
        if earlier.result in NOT_EXECUTED or effect == Idempotency.IDEMPOTENT:
            return
        assert effect == Idempotency.KEYED, "a non-idempotent request may run twice"
        window_ms = self._class_setting(class_number, "windowMs")
        assert self.now - earlier.started_ms < window_ms, "repeated after the window"
        scope = self._class_setting(class_number, "keyScope")
        if scope != "all":
            same = getattr(entry, scope) == getattr(self.entries[earlier.endpoint_id], scope)
            assert same, "repeated outside the scope of its key"

    def _check_final_response(self, command: Reject | Fail) -> None:
        assert command.request_id not in self.answer, "two final responses"
        self.answer[command.request_id] = type(command).__name__
        class_number = self._class_number(command.request_id)
        may_have_run = any(attempt.result not in NOT_EXECUTED for attempt in self.sent[command.request_id])
        if isinstance(command, Reject) and may_have_run:
            effect = self._class_setting(class_number, "effect")
            scope = self._class_setting(class_number, "keyScope")
            safe = effect == Idempotency.IDEMPOTENT or (effect == Idempotency.KEYED and scope == "all")
            assert safe, "rejected with Retry-After, though a repeat is not safe"

    def _class_number(self, request_id: str) -> int:
        names = [self.settings[f"categories.{number}.name"] for number in range(CLASS_COUNT)]
        return names.index(self.arrived[request_id].request_class)

    def _class_setting(self, class_number: int, name: str) -> object:
        return self.settings.get(f"categories.{class_number}.{name}")


def endpoint_entry(
    number: int, state: str = EndpointState.READY, since: float = 0.0, cells: int = 2, **more: object
) -> EndpointEntry:
    """The list entry of endpoint w`number`, started at `since` in ms; all endpoints are of one kind."""
    cell = str(number % cells)
    return EndpointEntry(f"w{number}", "here", "box", cell, state, 1.0, since)._replace(**more)


def commands_of(kind: type, commands: list[object]) -> list:
    """The commands of one type."""
    return [command for command in commands if isinstance(command, kind)]
