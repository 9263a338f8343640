"""Plays a day's traffic or a trace against real dispatchers, with the model's workers in real time."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import functools
import json
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import numpy as np

from dunepulley import trace_format
from dunepulley.load import check, faults
from dunepulley.load.clients import ClientRequest, Clients, Dispatchers, open_session
from dunepulley.load.local import Catalog, RealTime, free_ports, member, serve_catalog
from dunepulley.load.processes import Processes
from dunepulley.load.record import Record, RecordError, read
from dunepulley.load.stub_servers import StubServers, load_report_fields
from dunepulley.model import compare
from dunepulley.model import scenario as scenarios
from dunepulley.model.plans import simulated_regions
from dunepulley.model.server import ModelServer
from dunepulley.model.simulation import Simulation
from dunepulley.model.traffic import spread_out
from dunepulley.routing.events import EndpointState

READY_S = 30.0
MOST_S = 600.0
# Of a dispatcher's process; the day says nothing of it.
SOCKETS = 1024
# What a worker's phase in discovery's list is to the rules.
STATES = {"Ready": EndpointState.READY, "Terminating": EndpointState.DRAINING}


class LoadRun:
    """One run: stubs of all that dispatchers speak with, their processes, and what happened."""

    def __init__(
        self,
        scenario: scenarios.Scenario,
        seed: int,
        due: dict[str, ClientRequest],
        simulation: Simulation,
        folder: Path,
    ) -> None:
        self.day, self.seed, self.due, self.simulation = scenario, seed, due, simulation
        self.time = RealTime()
        self.record = Record(lambda: self.time.now)
        self.names = faults.Names(scenario)
        self.faults = faults.Faults(faults.planned(scenario, seed), self.record, seed)
        self.processes = Processes(folder)
        self.stub_servers = StubServers(self, self.time, scenario.cancel, scenario.tells_start)
        self.chance = np.random.default_rng(seed)
        count = len(self.names.homes)
        ports = free_ports(2 * count + len(self.names.agents))
        self.listen = dict(zip(self.names.homes, ports[:count], strict=True))
        self.console = dict(zip(self.names.homes, ports[count : 2 * count], strict=True))
        self.agents = dict(zip(self.names.agents, ports[2 * count :], strict=True))
        # What each dispatcher's discovery tells, where, and the states of workers that were written to it.
        self.catalogs: dict[str, Catalog] = {}
        self.discoveries: dict[str, str] = {}
        self.told: dict[str, dict[str, str]] = {name: {} for name in self.names.homes}
        self.entries: dict[str, dict[str, Any]] = {}
        self.list_late = self.reports_late = 0.0
        self.shots: dict[str, list[tuple[float, dict[str, float]]]] = {
            name: [] for name in simulation.workers
        }
        self.dispatchers = Dispatchers(self.names.homes, self.listen, self.faults)
        self.clients = Clients(scenario, self.dispatchers, self.record)
        self.tasks: set[asyncio.Task] = set()

    # ---------------------------------------------------------------- what stub servers ask

    def find_work_ms(self, request_id: str, headers: Any) -> float | None:
        """What an item takes."""
        due = self.due.get(request_id.partition("-")[0])
        return None if due is None or request_id not in self.clients.dispatcher_of else due.work

    def callback_address(self, request_id: str, worker: str) -> str:
        """Where a dispatcher hears of an item."""
        home = self.clients.dispatcher_of[request_id]
        return self.faults.through(worker, home, f"127.0.0.1:{self.listen[home]}")

    def record_event(self, what: str, worker: str, request_id: str, work: float) -> None:
        """Write down what becomes of a hand-off."""
        more = {}
        one = self.stub_servers.workers[worker]
        if what == "arrived":
            more["work"] = work
            if one.since > 0.0 and self.time.now - one.since < self.day.cold_s * 1000.0:
                more["able"] = one.speed * one.factors.get("cold", 1.0) * one.slots
        self.record.note(what, worker=worker, wi=request_id, **more)

    def load_report(self, worker: ModelServer) -> dict[str, float]:
        """As in the model: refreshed now and then, some way behind."""
        now, shots = self.time.now, self.shots[worker.name]
        if not shots or now - shots[-1][0] >= self.day.report_period_ms:
            shots.append((now, load_report_fields(worker)))
        while len(shots) > 1 and shots[1][0] <= now - self.day.report_delay_ms - self.reports_late:
            shots.pop(0)
        return shots[0][1]

    # ---------------------------------------------------------------- workers and the list

    async def open(self, name: str, since: float) -> None:
        """Have a worker's process listen, and note what the list is to tell of it."""
        one = self.stub_servers.workers.get(name)
        if one is None:
            w = self.simulation.workers[name]
            one = ModelServer(self.time, name, w.zone, w.kind, w.cell, w.slots, w.most, w.speed)
        address = await self.stub_servers.open(one)
        entry = member(name, address, one.zone, one.kind, one.cell)
        self.entries[name] = entry | {"up_since_ms": since and since + self.faults.clocks.get(name, 0.0)}

    def listed(self, me: str) -> list[dict[str, Any]]:
        """The list as a dispatcher's discovery has it once all that is under way has come."""
        mine = self.entries.values()
        if self.day.way == scenarios.FIXED:
            mine = [each for each in mine if each["locality"] == self.names.homes[me]]
        return [self._reached(me, each) for each in mine]

    def _reached(self, me: str, entry: dict[str, Any]) -> dict[str, Any]:
        return entry | {"host_port": self.faults.through(me, entry["id"], entry["host_port"])}

    def _change(self, name: str) -> None:
        """The list learns of a worker, and each dispatcher's discovery of that a while later."""
        for me in self.catalogs:
            late = self.day.list_delay_ms * float(self.chance.uniform(0.5, 1.5)) + self.list_late
            self.time.at(self.time.now + late, functools.partial(self._tell, me, name))

    def _tell(self, me: str, name: str) -> None:
        entry, serve_catalog = self.entries.get(name), self.catalogs[me]
        if self.day.way == scenarios.FIXED and self.simulation.workers[name].zone != self.names.homes[me]:
            return
        others = [each for each in serve_catalog.members if each["id"] != name]
        serve_catalog.replace([*others, self._reached(me, entry)] if entry is not None else others)

    def _wrote(self, me: str, members: list[dict[str, Any]]) -> None:
        """Discovery has written its list to a dispatcher."""
        states = {each["id"]: STATES[each["phase"]] for each in members}
        told = self.told[me]
        news = {name: state for name, state in states.items() if told.get(name) != state}
        news |= {name: EndpointState.REMOVED for name in told.keys() - states.keys()}
        self.told[me] = states
        if news:
            self.record.note("listed", to=me, workers=news)

    async def _happen(self, what: str, name: str) -> None:
        """What becomes of a worker, as in the model."""
        self.record.note("worker", name=name, what=what)
        if what == "is to leave":
            self.entries[name] = self.entries[name] | {"phase": "Terminating"}
            self._change(name)
        elif what == "falls silent":
            self.stub_servers.silence(name)
        elif what == "crashes":
            self.entries.pop(name, None)
            await self.stub_servers.crash(name)
            self._change(name)
        else:
            await self.stub_servers.shut(name)
            one = self.stub_servers.workers[name]
            one.start()
            self.shots[name].clear()
            await self.open(name, time.time() * 1000.0)
            one.warm_up(self.day.cold_from, self.day.cold_s * 1000.0)
            self._change(name)

    def trouble(self, begin: float) -> None:
        """Set up what goes wrong from a moment on, as in the model."""
        workers = self.stub_servers.workers
        for at, name, cause, factor in self.simulation.troubles.speed_changes:
            self.time.at(begin + at, functools.partial(workers[name].set_factor, cause, factor))
        for at, what, name in self.simulation.troubles.worker_events:
            self.time.at(begin + at, functools.partial(self._do, self._happen, what, name))
        for each in self.day.troubles:
            if each.kind in ("late reports", "late list"):
                which = "reports_late" if each.kind == "late reports" else "list_late"
                for at, late in ((each.from_s, each.size), (each.to_s, 0.0)):
                    self.time.at(begin + at * 1000.0, functools.partial(setattr, self, which, late))

    def _do(self, what: Callable[..., Awaitable[None]], *more: Any) -> None:
        task = asyncio.ensure_future(what(*more))
        self.tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.record.note("fault of the tool", text=repr(task.exception()))

    # ---------------------------------------------------------------- processes

    async def start(self, name: str, first: bool = False) -> None:
        """Start a dispatcher or an agent, and wait until it serves."""
        if name in self.names.agents:
            words = ("agent", "--config", f"{name}.toml", *(("--new-votes",) if first else ()))
            await self.processes.run(name, "dunepulley", *words)
            self.record.note("process", name=name, what="ready")
            return
        await self.processes.run(name, "dunepulley", "serve", "--config", f"{name}.json")
        self.record.note("process", name=name, what="started")
        if not first:
            await self.serves(name)

    async def serves(self, name: str) -> None:
        """Wait until a dispatcher says that it takes work."""
        process = self.processes.processes[name]
        async with asyncio.timeout(READY_S):
            while True:
                if process.returncode is not None:
                    raise RuntimeError(f"{name} ended: {self.processes.log(name).strip()[-200:]}")
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    async with self.session.get(f"http://127.0.0.1:{self.listen[name]}/_health") as told:
                        if told.status == 200:
                            break
                await asyncio.sleep(0.05)
        self.dispatchers.serving.add(name)
        self.record.note("process", name=name, what="ready")

    async def _wait(self, until: float) -> None:
        await asyncio.sleep(max(0.0, until - asyncio.get_running_loop().time()))

    async def _kill(self, name: str, until: float) -> None:
        self.dispatchers.serving.discard(name)
        self.processes.signal(name, signal.SIGKILL)
        self.record.note("process", name=name, what="killed")
        await self.processes.processes[name].wait()
        await self._wait(until)
        await self._again(name)

    async def _end(self, name: str, until: float) -> None:
        self.dispatchers.serving.discard(name)
        self.processes.signal(name, signal.SIGTERM)
        self.record.note("process", name=name, what="told to end")
        code = await self.processes.processes[name].wait()
        self.record.note("process", name=name, what="ended", code=code)
        await self._again(name)

    async def _again(self, name: str) -> None:
        """Start anew: who does has been told nothing yet."""
        self.told[name] = {}
        await self.start(name)

    async def _stop(self, name: str, until: float) -> None:
        self.processes.signal(name, signal.SIGSTOP)
        self.record.note("process", name=name, what="stopped")
        await self._wait(until)
        self.processes.signal(name, signal.SIGCONT)
        self.record.note("process", name=name, what="goes on")

    async def run(self, settings: dict[str, Any]) -> dict[str, Any]:
        """The whole run; nothing of it is left behind."""
        self.record.begin = self.time.now
        async with contextlib.AsyncExitStack() as stack:
            self.session = await stack.enter_async_context(open_session())
            await stack.enter_async_context(self.stub_servers)
            await stack.enter_async_context(self.faults)
            stack.push_async_callback(self.processes.close)
            for name in self.simulation.workers:
                await self.open(name, 0.0)
            for name in self.names.homes:
                here, self.discoveries[name] = await stack.enter_async_context(
                    serve_catalog(self.listed(name))
                )
                here.wrote = functools.partial(self._wrote, name)
                self.catalogs[name] = here
            write_configurations(self, settings)
            for name in (*self.names.homes, *self.names.agents):
                await self.start(name, first=True)
            await asyncio.gather(*[self.serves(name) for name in self.names.homes])
            begin = asyncio.get_running_loop().time() + 0.1
            self.record.note("clients begin")
            self.trouble(begin * 1000.0)
            self.faults.start(begin, {"kill": self._kill, "end": self._end, "stop": self._stop})
            found = await self.clients.send_all(self.due, begin, self.session)
            # What a day's faults still owe (a process that comes back) is waited for, and read with the rest.
            await asyncio.gather(*self.faults.tasks)
            for task in self.tasks:
                task.cancel()
            crashed = [
                name
                for name in self.dispatchers.serving
                if self.processes.processes[name].returncode is not None
            ]
        broken = check.broken_in(self.day, self.record.events)
        broken += [f"crash: {name}: {self.processes.log(name).strip()[-200:]}" for name in crashed]
        return found | {"broken": broken, "seed": self.seed}


def write_configurations(run: LoadRun, settings: dict[str, Any]) -> None:
    """The files of dispatchers and agents."""
    folder = run.processes.folder
    common = run.day.way == scenarios.COMMON
    for me, name in enumerate(run.names.homes):
        agent = run.faults.through(name, faults.DISCOVERY, run.discoveries[name])
        more: dict[str, Any] = {"listen": f"127.0.0.1:{run.listen[name]}", "discovery": agent}
        more["known"] = {"revision": 1, "complete": True, "members": run.listed(name)}
        if common:
            more |= {"console": f"127.0.0.1:{run.console[name]}", "plan": True}
        told = told_of(run.day, run.seed, me, settings, **more)
        (folder / f"{name}.json").write_text(json.dumps(told))
    for name, zone in run.names.agents.items():
        (folder / f"{name}.toml").write_text(agent_configuration(run, name, zone))
    if common and run.day.regions:
        (folder / "regions.toml").write_text(regions_text(run.day))


def agent_configuration(run: LoadRun, name: str, zone: str) -> str:
    """The configuration of a zone's agent, a TOML text."""
    lines = [f'listen = "127.0.0.1:{run.agents[name]}"', f'state = "{name}-drains.json"']
    lines.append("answer_s = 1.0")
    for one in [one for one, home in run.names.homes.items() if home == zone]:
        console = run.faults.through(name, one, f"127.0.0.1:{run.console[one]}")
        lines += ["[[dispatcher]]", f'name = "{one}"', f'console = "{console}"']
    lines += ["[fleet]", f'name = "{name}"', f'votes = "{name}.votes"']
    if run.day.regions:
        lines.append('regions = "regions.toml"')
    for other, port in run.agents.items():
        address = f"127.0.0.1:{port}"
        if other != name:
            address = run.faults.through(name, other, address)
        lines += ["[[fleet.member]]", f'name = "{other}"', f'address = "{address}"']
    return "\n".join(lines) + "\n"


def regions_text(scenario: scenarios.Scenario) -> str:
    """The operators' file of the day's regions."""
    lines = []
    for region in simulated_regions(scenario.zones, scenario.regions).regions:
        lines += ["[[region]]", f'name = "{region.name}"']
        lines += [f"zones = {json.dumps(region.zones)}", f"near = {json.dumps(region.near)}"]
    return "\n".join(lines) + "\n"


def due_of(scenario: scenarios.Scenario, simulation: Simulation) -> dict[str, ClientRequest]:
    """The items that the model would see, by id."""
    return {
        wi: ClientRequest(
            at, category.name, category.expiry_ms, work if scenario.hints else 0.0, 64, work, home
        )
        for wi, at, category, work, home in simulation.planned
    }


def due_of_trace(
    scenario: scenarios.Scenario, came: list[trace_format.RecordedRequest], seed: int
) -> dict[str, ClientRequest]:
    """The items of a trace; what they run is their hint, or drawn from the day's category."""
    draw = np.random.default_rng(seed)
    known = {category.name: category for category in scenario.categories}
    due = {}
    for number, each in enumerate(came):
        category = known.get(each.category)
        if category is None:
            raise trace_format.TraceError(f"line {number + 2}: the day has no category {each.category}")
        drawn = category.work_ms * float(spread_out(draw.normal(), category.work_cv))
        home = int(draw.integers(0, scenario.dispatchers))
        work = each.hint or drawn
        due[f"i{number}"] = ClientRequest(
            each.at, each.category, each.budget, each.hint, each.size, work, home
        )
    return due


def nested(settings: dict[str, Any]) -> dict[str, Any]:
    """Settings of dotted names as the file of a dispatcher holds them."""
    told: dict[str, Any] = {}
    for name, value in settings.items():
        *path, last = name.split(".")
        place = told
        for part in path:
            place = place.setdefault(part, {})
        place[last] = list(value) if isinstance(value, tuple) else value
    categories = told.pop("categories", {})
    categories.pop("count", None)
    told["categories"] = [categories[number] for number in sorted(categories, key=int)]
    return told


def told_of(
    scenario: scenarios.Scenario, seed: int, me: int, settings: dict[str, Any], **more: Any
) -> dict[str, Any]:
    """A dispatcher's configuration."""
    return {
        "name": f"n{me}",
        "seed": f"{seed * 1009 + me:x}",
        "limits": {"sockets": SOCKETS},
        "settings": nested(scenarios.settings_of(scenario, me) | settings),
    } | more


async def run_scenario(
    scenario: scenarios.Scenario,
    seed: int,
    settings: dict[str, Any],
    came: list[trace_format.RecordedRequest] | None,
    record: tuple[str, str] | None = None,
) -> dict[str, Any]:
    """One run; what clients saw, and what went against a rule.

    `record` is where to write it down, and of which day; raises RecordError where that cannot be done.
    """
    simulation = Simulation(scenario, seed)
    due = due_of(scenario, simulation) if came is None else due_of_trace(scenario, came, seed)
    with tempfile.TemporaryDirectory() as folder:
        one = LoadRun(scenario, seed, due, simulation, Path(folder))
        task = asyncio.current_task()
        # Told to end by whom it may be, it still ends what it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await one.run(settings)
        finally:
            asyncio.get_running_loop().remove_signal_handler(signal.SIGTERM)
            if record is not None:
                one.record.write(*record, seed)


def run(chosen: argparse.Namespace) -> int:
    """Carry out `dunepulley load`; 1 where a rule was broken, 2 where words or files cannot be used."""
    try:
        scenario = scenarios.read(chosen.day)
        settings = compare.read_settings(chosen.settings) if chosen.settings else {}
        came = trace_format.read_trace(chosen.trace) if chosen.trace else None
        if chosen.check:
            return _tell_broken(check.broken_in(scenario, read(chosen.check)))
        _check_playable(scenario, came, chosen)
    except (scenarios.ScenarioError, trace_format.TraceError, RecordError, ValueError) as problem:
        print(f"dunepulley: {problem}", file=sys.stderr)
        return 2
    found = []
    for seed in chosen.seeds:
        begun = time.monotonic()
        try:
            record = (chosen.record, chosen.day) if chosen.record else None
            found.append(asyncio.run(run_scenario(scenario, seed, settings, came, record)))
        except (trace_format.TraceError, RecordError) as problem:
            print(f"dunepulley: {problem}", file=sys.stderr)
            return 2
        except (asyncio.CancelledError, KeyboardInterrupt):
            print("dunepulley: told to end; what was started has ended", file=sys.stderr)
            return 2
        if not chosen.json:
            _print_run(seed, found[-1], time.monotonic() - begun)
    if chosen.json:
        print(json.dumps(found, indent=2))
    return 1 if any([one["broken"] for one in found]) else 0


def _check_playable(
    scenario: scenarios.Scenario, came: list[trace_format.RecordedRequest] | None, chosen: argparse.Namespace
) -> None:
    """Raise ValueError where the day cannot be played as chosen."""
    for seed in chosen.seeds:
        faults.planned(scenario, seed)
    longest = max(
        [scenario.seconds, came[-1].at / 1000.0 if came else 0.0, *[f.to_s for f in scenario.faults]]
    )
    if longest > MOST_S:
        raise ValueError(f"{longest:g} s are more than the {MOST_S:g} s that are played")
    if chosen.record and len(chosen.seeds) > 1:
        raise ValueError("a record is of one seed")
    if scenario.way == scenarios.COMMON and scenario.dispatchers < scenario.zones:
        raise ValueError(f"{chosen.day}: each zone's agent needs a dispatcher")


def _print_run(seed: int, found: dict[str, Any], took_s: float) -> None:
    print(f"seed {seed:<5} payoff {found['payoff']:.4f}  {found['answers']}", end="  ")
    print(f"answered after {found['answered after ms']} ms", end=", ")
    print(f"sent late by {found['sent late by ms']} ms, {took_s:.0f} s")
    for each in found["broken"]:
        print(f"  broken, {each}")


def _tell_broken(broken: list[str]) -> int:
    for each in broken:
        print(f"broken, {each}")
    print(f"{len(broken)} breaks told")
    return 1 if broken else 0
