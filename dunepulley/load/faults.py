"""Faults of links, processes and clocks: resolves their targets, and starts and ends each at its time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from dunepulley.load.links import BACKWARD, FORWARD, Link
from dunepulley.load.record import Record
from dunepulley.model.scenario import (
    CLOCK_FAULT,
    COMMON_PLAN,
    LINK_FAULTS,
    PROCESS_FAULTS,
    Fault,
    Scenario,
    zone_of,
)

CLIENTS, DISCOVERY = "clients", "discovery"
# Each link needs a listening socket, and two sockets for each connection that it carries.
MAX_LINKS = 2000


class Participants:
    """The processes of a scenario and their zones: dispatchers n0, ..., servers w0, ..., agents hz0, ..."""

    def __init__(self, scenario: Scenario) -> None:
        dispatcher_zones = {
            f"n{k}": zone_of(scenario, k, scenario.dispatchers) for k in range(scenario.dispatchers)
        }
        server_zones = {f"w{k}": zone_of(scenario, k, scenario.workers) for k in range(scenario.workers)}
        agent_zones = (
            {f"h{zone}": zone for zone in sorted({*dispatcher_zones.values()})}
            if scenario.way == COMMON_PLAN
            else {}
        )
        self.zones = {"dispatchers": dispatcher_zones, "workers": server_zones, "agents": agent_zones}
        self.dispatcher_zones, self.server_zones, self.agent_zones = (
            dispatcher_zones,
            server_zones,
            agent_zones,
        )

    def resolve(self, text: str) -> list[str]:
        """Return the names that an end of a fault refers to; raises ValueError where there is none."""
        if text in (CLIENTS, DISCOVERY):
            return [text]
        kind, _, zone = text.partition("@")
        if kind in self.zones:
            found = [name for name, home_zone in self.zones[kind].items() if not zone or home_zone == zone]
        else:
            found = [text] if any([text in names for names in self.zones.values()]) else []
        if not found:
            raise ValueError(f"fault: {text!r} is not a known process or group")
        return found

    def links_between(self, end: str, other_end: str) -> list[tuple[str, str]]:
        """Return the links between two participants as (caller, target).

        Raises ValueError where there is none.
        """
        pairs = [
            pair
            for pair in ((end, other_end), (other_end, end))
            if any([pair[0] in a and pair[1] in b for a, b in self._possible_links()])
        ]
        if not pairs:
            raise ValueError(f"fault: there is no link between {end} and {other_end}")
        return pairs

    def _possible_links(self) -> list[tuple[Iterable[str], Iterable[str]]]:
        return [
            ((CLIENTS,), self.dispatcher_zones),
            (self.dispatcher_zones, self.server_zones),
            (self.server_zones, self.dispatcher_zones),
            (self.dispatcher_zones, (DISCOVERY,)),
            (self.agent_zones, self.dispatcher_zones),
            (self.agent_zones, self.agent_zones),
        ]


class PlannedFault:
    """A fault of a scenario, and the links or processes that it affects."""

    def __init__(self, number: int, fault: Fault, participants: Participants, rng: random.Random) -> None:
        self.number, self.fault = number, fault
        self.pairs: list[tuple[str, str]] = []
        self.processes: list[str] = []
        if fault.kind in LINK_FAULTS:
            ends = [
                (a, b)
                for a in participants.resolve(fault.one)
                for b in participants.resolve(fault.other)
                if a != b
            ]
            unordered = list({frozenset(pair): pair for pair in ends}.values())
            self.pairs = draw_sample(unordered, fault.part, rng)
            self.links = [link for pair in self.pairs for link in participants.links_between(*pair)]
            return
        self.links = []
        self.processes = draw_sample(participants.resolve(fault.one), fault.part, rng)
        suitable = (
            set(participants.server_zones)
            if fault.kind == CLOCK_FAULT
            else {*participants.dispatcher_zones, *participants.agent_zones}
        )
        unsuitable = [name for name in self.processes if name not in suitable]
        if unsuitable:
            expected = "workers" if fault.kind == CLOCK_FAULT else "dispatchers or agents"
            raise ValueError(f"fault {fault.kind}: {unsuitable[0]} is invalid, expected {expected}")

    def directions(self, link: tuple[str, str]) -> tuple[str, ...]:
        """Return the affected directions of a link, as seen by its caller."""
        if self.fault.way == "both":
            return FORWARD, BACKWARD
        # `there` is the direction from `one` to `other`, whichever of them is the caller.
        is_caller_first = link in self.pairs
        return (FORWARD if (self.fault.way == "there") == is_caller_first else BACKWARD,)


def draw_sample(values: list[Any], fraction: float, rng: random.Random) -> list[Any]:
    """Draw a fraction of the values, at least one, and return them in their order."""
    count = max(1, round(fraction * len(values)))
    drawn = set(rng.sample(range(len(values)), min(count, len(values))))
    return [value for number, value in enumerate(values) if number in drawn]


def plan_faults(scenario: Scenario, seed: int) -> list[PlannedFault]:
    """Draw the targets of a scenario's faults with a seed; raises ValueError where a fault is invalid."""
    participants, rng = Participants(scenario), random.Random(seed)
    faults = [PlannedFault(number, fault, participants, rng) for number, fault in enumerate(scenario.faults)]
    count = len({link for planned in faults for link in planned.links})
    if count > MAX_LINKS:
        raise ValueError(f"the faults need {count} links, more than {MAX_LINKS}")
    return faults


class Faults:
    """Owns the links of a run, and starts and ends each fault at its time."""

    def __init__(self, faults: list[PlannedFault], record: Record, seed: int) -> None:
        self.faults, self.record, self.seed = faults, record, seed
        self.links: dict[tuple[str, str], Link | None] = {
            link: None for planned in faults for link in planned.links
        }
        self.active: dict[int, PlannedFault] = {}
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

    def routed_address(self, caller: str, target: str, address: str) -> str:
        """Return the address that a caller uses to reach `address`: that of the link, where there is one.

        The link's target is set to `address`.
        """
        link = self.links.get((caller, target))
        if link is None:
            return address
        link.target = address
        return link.address

    def start(self, begin_s: float, actions: dict[str, Callable[[str, float], Awaitable[None]]]) -> None:
        """Schedule all faults from `begin_s`, in seconds of the loop's clock.

        `actions` holds a function for each kind of process fault; it takes the process's name and the time at
        which the fault ends.
        """
        for planned in self.faults:
            self.tasks.append(asyncio.create_task(self._run_fault(planned, begin_s, actions)))

    async def _run_fault(self, planned: PlannedFault, begin_s: float, actions: dict[str, Any]) -> None:
        fault, loop = planned.fault, asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, begin_s + fault.from_s - loop.time()))
        fields = {
            "number": planned.number,
            "kind": fault.kind,
            "pairs": planned.pairs,
            "who": planned.processes,
        }
        self.record.add_event("fault", on=True, **fields)
        until = begin_s + fault.to_s
        if fault.kind in PROCESS_FAULTS:
            await asyncio.gather(*[actions[fault.kind](name, until) for name in planned.processes])
        elif fault.kind == CLOCK_FAULT:
            self.clocks |= dict.fromkeys(planned.processes, fault.size)
        elif fault.kind == "reset":
            for link in planned.links:
                self.links[link].reset()
        else:
            self.active[planned.number] = planned
            self._apply(planned.links)
        if fault.kind not in PROCESS_FAULTS and fault.kind != "reset":
            await asyncio.sleep(max(0.0, until - loop.time()))
            self.active.pop(planned.number, None)
            self._apply(planned.links)
            for name in planned.processes:
                self.clocks.pop(name, None)
        self.record.add_event("fault", on=False, **fields)

    def _apply(self, links: Iterable[tuple[str, str]]) -> None:
        """Apply the combination of all active faults to these links."""
        for pair in links:
            link = self.links[pair]
            planned_faults = [planned for planned in self.active.values() if pair in planned.links]
            for name, direction in link.directions.items():
                active = [planned.fault for planned in planned_faults if name in planned.directions(pair)]
                direction.delay_ms = max(
                    [fault.size for fault in active if fault.kind == "slow"], default=0.0
                )
                direction.loss_ratio = max(
                    [fault.size for fault in active if fault.kind == "lossy"], default=0.0
                )
                is_cut = any([fault.kind == "cut" for fault in active])
                (direction.connected.clear if is_cut else direction.connected.set)()
            refuses = any([planned.fault.kind == "refuse" for planned in planned_faults])
            if refuses and not link.refusing:
                link.refuse()
            link.refusing = refuses
