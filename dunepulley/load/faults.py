"""What a day does to links and processes: whom its words mean, the links it takes, when each is at fault."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from dunepulley.load.links import BACK, THERE, Link
from dunepulley.load.record import Record
from dunepulley.model.scenario import CLOCK, COMMON, LINKS, PROCESSES, Fault, Scenario, zone_of

CLIENTS, DISCOVERY = "clients", "discovery"
# Each is a listening socket, and two more for each connection that it carries.
MOST_LINKS = 2000


class Names:
    """Who takes part in a day: dispatchers n0, n1, ..., workers w0, ..., an agent for each zone, hz0, ..."""

    def __init__(self, scenario: Scenario) -> None:
        homes = {f"n{k}": zone_of(scenario, k, scenario.dispatchers) for k in range(scenario.dispatchers)}
        sites = {f"w{k}": zone_of(scenario, k, scenario.workers) for k in range(scenario.workers)}
        agents = {f"h{zone}": zone for zone in sorted({*homes.values()})} if scenario.way == COMMON else {}
        self.zones = {"dispatchers": homes, "workers": sites, "agents": agents}
        self.homes, self.sites, self.agents = homes, sites, agents

    def meant(self, text: str) -> list[str]:
        """Whom a fault's word means; raises ValueError where nobody is called so."""
        if text in (CLIENTS, DISCOVERY):
            return [text]
        kind, _, zone = text.partition("@")
        if kind in self.zones:
            some = [name for name, home in self.zones[kind].items() if not zone or home == zone]
        else:
            some = [text] if any([text in each for each in self.zones.values()]) else []
        if not some:
            raise ValueError(f"a fault names {text!r}, which nobody here is called")
        return some

    def callers(self, one: str, other: str) -> list[tuple[str, str]]:
        """The links between two, from who calls to who is called; raises ValueError where there is none."""
        pairs = [
            pair
            for pair in ((one, other), (other, one))
            if any([pair[0] in a and pair[1] in b for a, b in self._ways()])
        ]
        if not pairs:
            raise ValueError(f"nothing goes between {one} and {other}")
        return pairs

    def _ways(self) -> list[tuple[Iterable[str], Iterable[str]]]:
        return [
            ((CLIENTS,), self.homes),
            (self.homes, self.sites),
            (self.sites, self.homes),
            (self.homes, (DISCOVERY,)),
            (self.agents, self.homes),
            (self.agents, self.agents),
        ]


class Planned:
    """One fault of a day, and whom it strikes."""

    def __init__(self, number: int, fault: Fault, names: Names, chance: random.Random) -> None:
        self.number, self.fault = number, fault
        self.pairs: list[tuple[str, str]] = []
        self.who: list[str] = []
        if fault.kind in LINKS:
            ends = [(a, b) for a in names.meant(fault.one) for b in names.meant(fault.other) if a != b]
            unordered = list({frozenset(pair): pair for pair in ends}.values())
            self.pairs = drawn(unordered, fault.part, chance)
            self.links = [link for pair in self.pairs for link in names.callers(*pair)]
            return
        self.links = []
        self.who = drawn(names.meant(fault.one), fault.part, chance)
        able = set(names.sites) if fault.kind == CLOCK else {*names.homes, *names.agents}
        odd = [name for name in self.who if name not in able]
        if odd:
            what = "the clocks of workers" if fault.kind == CLOCK else "dispatchers and agents"
            raise ValueError(f"fault {fault.kind}: {odd[0]} is none of {what}")

    def ways(self, link: tuple[str, str]) -> tuple[str, ...]:
        """The directions of a link, as its caller sees them, that are struck."""
        if self.fault.way == "both":
            return THERE, BACK
        # `there` is from `one` to `other`, whoever of them calls.
        along = link in self.pairs
        return (THERE if (self.fault.way == "there") == along else BACK,)


def drawn(some: list[Any], part: float, chance: random.Random) -> list[Any]:
    """A part of some, at least one, in their order."""
    count = max(1, round(part * len(some)))
    chosen = set(chance.sample(range(len(some)), min(count, len(some))))
    return [each for number, each in enumerate(some) if number in chosen]


def planned(scenario: Scenario, seed: int) -> list[Planned]:
    """The faults of a day with one seed; raises ValueError where one makes no sense."""
    names, chance = Names(scenario), random.Random(seed)
    faults = [Planned(number, fault, names, chance) for number, fault in enumerate(scenario.faults)]
    count = len({link for each in faults for link in each.links})
    if count > MOST_LINKS:
        raise ValueError(f"the faults take {count} links, more than {MOST_LINKS}")
    return faults


class Faults:
    """Owns the links of a run, and has each fault begin and end at its time."""

    def __init__(self, faults: list[Planned], record: Record, seed: int) -> None:
        self.faults, self.record, self.seed = faults, record, seed
        self.links: dict[tuple[str, str], Link | None] = {
            link: None for each in faults for link in each.links
        }
        self.active: dict[int, Planned] = {}
        self.clocks: dict[str, float] = {}
        self.tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> Faults:
        for number, pair in enumerate(self.links):
            self.links[pair] = await Link("", self.seed * 100_003 + number).__aenter__()
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for link in self.links.values():
            if link is not None:
                await link.__aexit__()

    def through(self, caller: str, called: str, address: str) -> str:
        """Where somebody has to call to reach an address: there, or the link that leads there now."""
        link = self.links.get((caller, called))
        if link is None:
            return address
        link.target = address
        return link.address

    def start(self, begin_s: float, acts: dict[str, Callable[[str, float], Awaitable[None]]]) -> None:
        """Have faults begin; `acts` does what is done to a process, told its name and until when."""
        for each in self.faults:
            self.tasks.append(asyncio.create_task(self._play(each, begin_s, acts)))

    async def _play(self, each: Planned, begin_s: float, acts: dict[str, Any]) -> None:
        fault, loop = each.fault, asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, begin_s + fault.from_s - loop.time()))
        told = {"number": each.number, "kind": fault.kind, "pairs": each.pairs, "who": each.who}
        self.record.note("fault", on=True, **told)
        until = begin_s + fault.to_s
        if fault.kind in PROCESSES:
            await asyncio.gather(*[acts[fault.kind](name, until) for name in each.who])
        elif fault.kind == CLOCK:
            self.clocks |= dict.fromkeys(each.who, fault.size)
        elif fault.kind == "reset":
            for link in each.links:
                self.links[link].reset()
        else:
            self.active[each.number] = each
            self._apply(each.links)
        if fault.kind not in PROCESSES and fault.kind != "reset":
            await asyncio.sleep(max(0.0, until - loop.time()))
            self.active.pop(each.number, None)
            self._apply(each.links)
            for name in each.who:
                self.clocks.pop(name, None)
        self.record.note("fault", on=False, **told)

    def _apply(self, links: Iterable[tuple[str, str]]) -> None:
        """Set links to what all faults of now make of them."""
        for pair in links:
            link = self.links[pair]
            mine = [each for each in self.active.values() if pair in each.links]
            for name, way in link.ways.items():
                struck = [each.fault for each in mine if name in each.ways(pair)]
                way.late_ms = max([one.size for one in struck if one.kind == "slow"], default=0.0)
                way.lossy = max([one.size for one in struck if one.kind == "lossy"], default=0.0)
                cut = any([one.kind == "cut" for one in struck])
                (way.whole.clear if cut else way.whole.set)()
            refuses = any([each.fault.kind == "refuse" for each in mine])
            if refuses and not link.refusing:
                link.refuse()
            link.refusing = refuses
