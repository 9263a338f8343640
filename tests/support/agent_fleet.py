"""Agent processes, each with a fake dispatcher, connected by links that a test can cut."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any, BinaryIO

from dunepulley.agent import wire
from dunepulley.load import links
from dunepulley.load.ports import free_port
from support.event_loop import until, until_answered
from support.fake_dispatcher import FakeDispatcher

WAIT_TIMEOUT_S = 15.0
ANSWER_TIMEOUT_S = 8.0
ZONES = "abc"
# States accepted as well: a returning zone may be near again before a test polls it.
EQUIVALENT_STATES = {"returning": ("near",)}


class AgentFleet:
    """Three hosts, each with an agent process and a fake dispatcher; agents are connected by links.

    A plan that an agent pushes stays in force for `hold_s` seconds. Agents named in `older` are not started;
    the test starts them itself.
    """

    def __init__(
        self,
        folder: Path,
        hold_s: float = 4.0,
        names: Sequence[str] = ("h1", "h2", "h3"),
        older: Sequence[str] = (),
    ) -> None:
        self.folder, self.hold_s, self.names, self.older = folder, hold_s, names, older
        pairs = zip(names, ZONES, strict=True)
        self.dispatchers = {name: FakeDispatcher(f"n-{name}", zone) for name, zone in pairs}
        self.ports = {name: free_port() for name in names}
        self.links: dict[tuple[str, str], links.Link] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def __aenter__(self) -> AgentFleet:
        for name in self.names:
            await self.dispatchers[name].__aenter__()
            for other in self.names:
                if name != other:
                    link = await links.Link(f"127.0.0.1:{self.ports[other]}").__aenter__()
                    self.links[name, other] = link
        for name, dispatcher in self.dispatchers.items():
            dispatcher.set_zone_report(dispatcher.home_zone)
            self._write(name)
        for name in self.names:
            if name not in self.older:
                await self.start(name, "--new-votes")
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for peer in (*self.links.values(), *self.dispatchers.values()):
            await peer.__aexit__()

    def _write(self, name: str) -> None:
        """Write an agent's configuration to NAME.toml."""
        lines = [f'listen = "127.0.0.1:{self.ports[name]}"', f'state = "{name}-drains.json"']
        lines += ["answer_s = 0.3", "[[dispatcher]]", f'name = "n-{name}"']
        lines += [f'console = "{self.dispatchers[name].address}"']
        lines += ["[fleet]", f'name = "{name}"', f'votes = "{name}.votes"', f"hold_s = {self.hold_s}"]
        for other in self.names:
            own_address = f"127.0.0.1:{self.ports[name]}"
            address = own_address if other == name else self.links[name, other].address
            lines += ["[[fleet.member]]", f'name = "{other}"', f'address = "{address}"']
        (self.folder / f"{name}.toml").write_text("\n".join(lines) + "\n")

    async def start(self, name: str, *arguments: str) -> None:
        """Start an agent with these command-line arguments; its log goes to NAME.log."""
        with self._open_log(name) as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *[sys.executable, "-m", "dunepulley", "agent", "--config", f"{name}.toml", *arguments],
                cwd=self.folder,
                env=os.environ | {"PYTHONPATH": os.pathsep.join([str(Path.cwd()), *sys.path])},
                stderr=log,
            )

    def _open_log(self, name: str) -> BinaryIO:
        return (self.folder / f"{name}.log").open("ab")

    def log(self, name: str) -> str:
        """The log of an agent so far."""
        return (self.folder / f"{name}.log").read_text()

    async def kill(self, name: str) -> None:
        """Kill an agent (SIGKILL) and wait for its end."""
        self.processes[name].kill()
        await self.processes[name].wait()

    def cut(self, name: str, *directions: str) -> None:
        """Cut the links of one host with all others, in both directions or in the given ones."""
        for pair, link in self.links.items():
            if name in pair:
                link.cut(*directions)

    def mend(self) -> None:
        """Restore all links."""
        for link in self.links.values():
            link.mend()

    def set_reports(self, zone: str, **numbers: float) -> None:
        """Set the report on a zone at every dispatcher that reports the zone."""
        for dispatcher in self.dispatchers.values():
            if zone in dispatcher.zones:
                dispatcher.set_zone_report(zone, **numbers)

    async def ask(self, name: str, **question: Any) -> dict[str, Any]:
        """Send an agent a question; returns its answer, empty where it does not answer."""
        with contextlib.suppress(wire.WireError):
            return await wire.ask(f"127.0.0.1:{self.ports[name]}", question, ANSWER_TIMEOUT_S)
        return {}

    async def override_zone(self, name: str, says: str, zone: str, **more: Any) -> dict[str, Any]:
        """Send an agent an operator override for a zone; returns its answer."""
        return await self.ask(name, do="zone", says=says, zone=zone, by="ana", why="test", **more)

    async def wait_until_answering(self, name: str) -> None:
        """Wait until an agent answers questions."""
        await until_answered(lambda: self.ask(name, do="zones"), WAIT_TIMEOUT_S)

    async def wait_for_state(self, zone: str, expected: str, names: Sequence[str] | None = None) -> None:
        """Wait until the plan in force at each of these dispatchers gives a zone the expected state."""
        accepted = (expected, *EQUIVALENT_STATES.get(expected, ()))
        dispatchers = [self.dispatchers[name] for name in names or self.names]
        await until(
            lambda: all([dispatcher.state(zone) in accepted for dispatcher in dispatchers]), WAIT_TIMEOUT_S
        )

    async def wait_until_connected(self, *names: str) -> None:
        """Wait until these agents confirm a plan and each lists all of them and their zones."""
        await until_answered(lambda: self._are_connected(names or self.names), WAIT_TIMEOUT_S, period_s=0.05)

    async def _are_connected(self, names: Sequence[str]) -> bool:
        """Whether these agents' answers list all of them as reachable and all of their zones."""
        answers = [await self.ask(name, do="zones") for name in names]
        home_zones = {self.dispatchers[name].home_zone for name in names}
        agents = [agent for answer in answers for agent in answer.get("agents", [])]
        agent_states = [agent["stands"] for agent in agents if agent["name"] in names]
        listed_zones = [
            {zone["name"] for zone in answer.get("zones", []) if zone["workers"]} for answer in answers
        ]
        confirmed = all([answer.get("confirmed") is not None for answer in answers])
        all_reachable = len(agent_states) == len(names) ** 2 and set(agent_states) <= {"me", "here"}
        return confirmed and all_reachable and all([home_zones <= zones for zones in listed_zones])

    def check_plan_numbers(self) -> list[int]:
        """Return the numbers of all pushed plans in order; fails if two plans have the same number."""
        plans: dict[int, dict[str, Any]] = {}
        for dispatcher in self.dispatchers.values():
            for number, plan in dispatcher.numbers.items():
                assert plans.setdefault(number, plan) == plan, f"two different plans with number {number}"
        return sorted(plans)
