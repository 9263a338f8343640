"""One hand-driven dispatcher, and an oracle that checks the four rules on what it commands."""

from __future__ import annotations

from dunepulley.brain import Dispatcher
from dunepulley.interface import (
    EXCLUSIVE,
    FULL_LIST,
    LEAVING,
    LEFT,
    NEVER_RAN,
    READY,
    RERUNNABLE,
    TICKETED,
    Arrived,
    Defer,
    Ended,
    Entry,
    HandOff,
    ListNews,
    SetAlarm,
    WriteOff,
)

SETTINGS = {
    "balancers": 2.0,
    "categories.count": 3.0,
    "categories.0.name": "look",
    "categories.0.effect": RERUNNABLE,
    "categories.0.payoff": 5.0,
    "categories.1.name": "store",
    "categories.1.effect": TICKETED,
    "categories.1.keyScope": "cell",
    "categories.1.windowMs": 3000.0,
    "categories.2.name": "pay",
    "categories.2.effect": EXCLUSIVE,
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
for number in range(3):
    SETTINGS |= {f"categories.{number}.dueTimeMs": 500.0, f"categories.{number}.expiryMs": 5000.0}


class Rig:
    """Feeds a dispatcher events and keeps the books that the rules are checked against."""

    def __init__(self, workers: int = 4, seed: int = 7, now: float = 1000.0, **settings: object) -> None:
        self.settings = SETTINGS | {name.replace("__", "."): value for name, value in settings.items()}
        self.brain = Dispatcher(seed, self.settings, now)
        self.now = now
        self.arrived: dict[str, Arrived] = {}
        self.sent: dict[str, list[list]] = {}
        self.answer: dict[str, str] = {}
        self.state: dict[str, Entry] = {}
        self.alarms: list[tuple[float, int]] = []
        if workers:
            self.feed(ListNews(FULL_LIST, tuple(entry(number) for number in range(workers))))

    def feed(self, *events: object, after: float = 0.0) -> list[object]:
        """Let time pass, hand over events and check every command that comes back."""
        self.now += after
        for event in events:
            self.book(event)
        commands = self.brain.handle(self.now, list(events))
        for command in commands:
            self.check(command)
        return commands

    def book(self, event: object) -> None:
        if isinstance(event, ListNews):
            named = {item.worker for item in event.entries}
            if event.how == FULL_LIST:
                for worker in self.state.keys() - named:
                    self.state[worker] = self.state[worker]._replace(state=LEFT)
            self.state |= {item.worker: item for item in event.entries}
        elif isinstance(event, Arrived):
            self.arrived[event.wi] = event
            self.sent[event.wi] = []
        elif isinstance(event, Ended):
            if event.ho < len(self.sent.get(event.wi, [])):
                self.sent[event.wi][event.ho][2] = event.result
            if event.over:
                self.answer.setdefault(event.wi, "finished")

    def check(self, command: object) -> None:
        """The oracle: the rules, read off the commands alone."""
        if isinstance(command, HandOff):
            assert command.wi not in self.answer, "handed off after the final answer"
            entry_now = self.state[command.worker]
            assert entry_now.state == READY, "handed off to a worker that drains or is gone"
            tries = self.sent[command.wi]
            category = self.category(command.wi)
            for worker, sent, result in tries:
                if result in NEVER_RAN or self.said(category, "effect") == RERUNNABLE:
                    continue
                assert self.said(category, "effect") == TICKETED, "an exclusive item may run twice"
                assert self.now - sent < self.said(category, "windowMs"), "repeated after the window"
                group = self.said(category, "keyScope")
                if group != "all":
                    same = getattr(entry_now, group) == getattr(self.state[worker], group)
                    assert same, "repeated outside the group"
            out = sum(result == "" for _, _, result in tries)
            assert not out or self.settings["policyLimits.secondCopies"], "two hand-offs out at once"
            assert len(tries) < self.settings["policyLimits.mostHandOffs"], "too many hand-offs"
            tries.append([command.worker, self.now, ""])
        elif isinstance(command, Defer | WriteOff):
            assert command.wi not in self.answer, "answered twice"
            self.answer[command.wi] = type(command).__name__
            category = self.category(command.wi)
            unclear = any(result not in NEVER_RAN for _, _, result in self.sent[command.wi])
            if isinstance(command, Defer) and unclear:
                effect, group = self.said(category, "effect"), self.said(category, "keyScope")
                assert effect == RERUNNABLE or (effect == TICKETED and group == "all"), "unsafe deferral"
        elif isinstance(command, SetAlarm):
            self.alarms.append((self.now + command.delay, command.token))

    def category(self, wi: str) -> int:
        names = [self.settings[f"categories.{number}.name"] for number in range(3)]
        return names.index(self.arrived[wi].category)

    def said(self, category: int, name: str) -> object:
        return self.settings.get(f"categories.{category}.{name}")


def entry(number: int, state: str = READY, since: float = 0.0, cells: int = 2, **more: object) -> Entry:
    """A worker of a like-built fleet."""
    return Entry(f"w{number}", "here", "box", str(number % cells), state, 1.0, since)._replace(**more)


def of(kind: type, commands: list[object]) -> list:
    """The commands of one type."""
    return [command for command in commands if isinstance(command, kind)]


__all__ = ["LEAVING", "LEFT", "Rig", "entry", "of"]
