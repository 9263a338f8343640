"""Runs a scenario's traffic or a trace against real dispatchers, with stub servers in real time."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import signal
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
from dunepulley.load.configurations import ConfigurationWriter
from dunepulley.load.local import Catalog, RealTime, member, serve_catalog
from dunepulley.load.ports import free_ports
from dunepulley.load.processes import Processes
from dunepulley.load.record import Record
from dunepulley.load.stub_servers import StubServers, load_report_fields
from dunepulley.load.traffic_source import scenario_requests, trace_requests
from dunepulley.model import scenario as scenarios
from dunepulley.model.server import ModelServer
from dunepulley.model.simulation import Simulation
from dunepulley.routing.events import EndpointState

READY_TIMEOUT_S = 30.0
# The state that the rules use for each phase in discovery's list.
STATES = {"Ready": EndpointState.READY, "Terminating": EndpointState.DRAINING}


class LoadRun:
    """One run: the dispatcher and agent processes, stubs of the systems around them, and the record."""

    def __init__(
        self,
        scenario: scenarios.Scenario,
        seed: int,
        requests: dict[str, ClientRequest],
        simulation: Simulation,
        folder: Path,
    ) -> None:
        self.scenario, self.seed, self.requests, self.simulation = scenario, seed, requests, simulation
        self.time = RealTime()
        self.record = Record(lambda: self.time.now)
        self.participants = faults.Participants(scenario)
        self.faults = faults.Faults(faults.plan_faults(scenario, seed), self.record, seed)
        self.processes = Processes(folder)
        self.stub_servers = StubServers(self, self.time, scenario.cancel, scenario.tells_start)
        self.rng = np.random.default_rng(seed)
        count = len(self.participants.dispatcher_zones)
        ports = free_ports(2 * count + len(self.participants.agent_zones))
        self.client_ports = dict(zip(self.participants.dispatcher_zones, ports[:count], strict=True))
        admin_ports = dict(zip(self.participants.dispatcher_zones, ports[count : 2 * count], strict=True))
        agent_ports = dict(zip(self.participants.agent_zones, ports[2 * count :], strict=True))
        self.configurations = ConfigurationWriter(
            folder,
            scenario,
            seed,
            self.participants,
            self.faults,
            self.client_ports,
            admin_ports,
            agent_ports,
        )
        # Per dispatcher: its discovery's list, the address of that discovery, and the last states sent to it.
        self.catalogs: dict[str, Catalog] = {}
        self.discoveries: dict[str, str] = {}
        self.sent_states: dict[str, dict[str, str]] = {
            name: {} for name in self.participants.dispatcher_zones
        }
        # The current entry of each listed server, which dispatchers receive after a delay.
        self.entries: dict[str, dict[str, Any]] = {}
        # The current additional delays of the endpoint list and of load reports, in ms.
        self.list_late = self.reports_late = 0.0
        # Per server: its recent load reports, and when each was taken.
        self.snapshots: dict[str, list[tuple[float, dict[str, float]]]] = {
            name: [] for name in simulation.servers
        }
        self.dispatchers = Dispatchers(self.participants.dispatcher_zones, self.client_ports, self.faults)
        self.clients = Clients(scenario, self.dispatchers, self.record)
        self.tasks: set[asyncio.Task] = set()

    # ---------------------------------------------------------------- callbacks of the stub servers

    def find_work_ms(self, request_id: str, headers: Any) -> float | None:
        """Return the run time of a request in ms, or None for an id that no client sent."""
        request = self.requests.get(request_id.partition("-")[0])
        return None if request is None or request_id not in self.clients.dispatcher_of else request.work

    def callback_address(self, request_id: str, name: str) -> str:
        """Return the address at which the request's dispatcher receives callbacks from this server."""
        dispatcher = self.clients.dispatcher_of[request_id]
        return self.faults.routed_address(name, dispatcher, f"127.0.0.1:{self.client_ports[dispatcher]}")

    def record_event(self, event: str, name: str, request_id: str, work: float) -> None:
        """Record an event of an attempt."""
        fields = {}
        server = self.stub_servers.workers[name]
        if event == "arrived":
            fields["work"] = work
            if server.started_ms > 0.0 and self.time.now - server.started_ms < self.scenario.cold_s * 1000.0:
                fields["able"] = server.speed * server.factors.get("cold", 1.0) * server.slots
        self.record.add_event(event, worker=name, wi=request_id, **fields)

    def load_report(self, server: ModelServer) -> dict[str, float]:
        """Return a server's load report, refreshed periodically and delayed as in the simulation."""
        now, snapshots = self.time.now, self.snapshots[server.name]
        if not snapshots or now - snapshots[-1][0] >= self.scenario.report_period_ms:
            snapshots.append((now, load_report_fields(server)))
        while (
            len(snapshots) > 1 and snapshots[1][0] <= now - self.scenario.report_delay_ms - self.reports_late
        ):
            snapshots.pop(0)
        return snapshots[0][1]

    # ---------------------------------------------------------------- servers and the endpoint list

    async def open(self, name: str, started_ms: float) -> None:
        """Have a server listen, and create its entry of the endpoint list.

        `started_ms` is its start time in Unix ms, or 0 for a server that started long ago.
        """
        server = self.stub_servers.workers.get(name)
        if server is None:
            drawn = self.simulation.servers[name]
            server = ModelServer(
                self.time,
                name,
                drawn.zone,
                drawn.kind,
                drawn.cell,
                drawn.slots,
                drawn.max_queue,
                drawn.speed,
            )
        address = await self.stub_servers.open(server)
        entry = member(name, address, server.zone, server.kind, server.cell)
        self.entries[name] = entry | {
            "up_since_ms": started_ms and started_ms + self.faults.clocks.get(name, 0.0)
        }

    def listed(self, dispatcher: str) -> list[dict[str, Any]]:
        """Return the current endpoint list for a dispatcher's discovery, without the delay of changes."""
        entries = self.entries.values()
        if self.scenario.way == scenarios.OWN_ZONE:
            entries = [
                entry
                for entry in entries
                if entry["locality"] == self.participants.dispatcher_zones[dispatcher]
            ]
        return [self._with_routed_address(dispatcher, entry) for entry in entries]

    def _with_routed_address(self, dispatcher: str, entry: dict[str, Any]) -> dict[str, Any]:
        return entry | {"host_port": self.faults.routed_address(dispatcher, entry["id"], entry["host_port"])}

    def _announce_change(self, name: str) -> None:
        """Send a server's new entry to the discovery of each dispatcher after a random delay."""
        for dispatcher in self.catalogs:
            delay_ms = self.scenario.list_delay_ms * float(self.rng.uniform(0.5, 1.5)) + self.list_late
            self.time.at(self.time.now + delay_ms, functools.partial(self._update_list, dispatcher, name))

    def _update_list(self, dispatcher: str, name: str) -> None:
        entry, catalog = self.entries.get(name), self.catalogs[dispatcher]
        if (
            self.scenario.way == scenarios.OWN_ZONE
            and self.simulation.servers[name].zone != self.participants.dispatcher_zones[dispatcher]
        ):
            return
        others = [other for other in catalog.members if other["id"] != name]
        catalog.replace(
            [*others, self._with_routed_address(dispatcher, entry)] if entry is not None else others
        )

    def _record_list(self, dispatcher: str, members: list[dict[str, Any]]) -> None:
        """Record the changes of a list that discovery has written to a dispatcher."""
        states = {entry["id"]: STATES[entry["phase"]] for entry in members}
        previous = self.sent_states[dispatcher]
        changes = {name: state for name, state in states.items() if previous.get(name) != state}
        changes |= {name: EndpointState.REMOVED for name in previous.keys() - states.keys()}
        self.sent_states[dispatcher] = states
        if changes:
            self.record.add_event("listed", to=dispatcher, workers=changes)

    async def _change_server(self, change: str, name: str) -> None:
        """Carry out a `ServerChange`, as the simulation does."""
        self.record.add_event("worker", name=name, what=change)
        if change == "is to leave":
            self.entries[name] = self.entries[name] | {"phase": "Terminating"}
            self._announce_change(name)
        elif change == "falls silent":
            self.stub_servers.stop_responding(name)
        elif change == "crashes":
            self.entries.pop(name, None)
            await self.stub_servers.crash(name)
            self._announce_change(name)
        else:
            await self.stub_servers.close_server(name)
            server = self.stub_servers.workers[name]
            server.start()
            self.snapshots[name].clear()
            await self.open(name, time.time() * 1000.0)
            server.warm_up(self.scenario.cold_from, self.scenario.cold_s * 1000.0)
            self._announce_change(name)

    def schedule_disturbances(self, begin: float) -> None:
        """Schedule the scenario's disturbances, as in the simulation; `begin` is the start time in ms."""
        servers = self.stub_servers.workers
        for at, name, cause, factor in self.simulation.disturbances.speed_changes:
            self.time.at(begin + at, functools.partial(servers[name].set_factor, cause, factor))
        for at, change, name in self.simulation.disturbances.server_events:
            self.time.at(begin + at, functools.partial(self._start_task, self._change_server, change, name))
        for disturbance in self.scenario.troubles:
            if disturbance.kind in ("late reports", "late list"):
                attribute = "reports_late" if disturbance.kind == "late reports" else "list_late"
                for at, delay_ms in ((disturbance.from_s, disturbance.size), (disturbance.to_s, 0.0)):
                    self.time.at(begin + at * 1000.0, functools.partial(setattr, self, attribute, delay_ms))

    def _start_task(self, action: Callable[..., Awaitable[None]], *arguments: Any) -> None:
        task = asyncio.ensure_future(action(*arguments))
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.record.add_event("fault of the tool", text=repr(task.exception()))

    # ---------------------------------------------------------------- processes

    async def start(self, name: str, first: bool = False) -> None:
        """Start a dispatcher or an agent; wait until a restarted dispatcher is ready.

        `first` is true for the initial start, at which agents create their acceptor state.
        """
        if name in self.participants.agent_zones:
            arguments = ("agent", "--config", f"{name}.toml", *(("--new-votes",) if first else ()))
            await self.processes.run(name, "dunepulley", *arguments)
            self.record.add_event("process", name=name, what="ready")
            return
        await self.processes.run(name, "dunepulley", "serve", "--config", f"{name}.json")
        self.record.add_event("process", name=name, what="started")
        if not first:
            await self.wait_until_ready(name)

    async def wait_until_ready(self, name: str) -> None:
        """Wait until a dispatcher's health check reports that it accepts requests."""
        process = self.processes.processes[name]
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                if process.returncode is not None:
                    raise RuntimeError(
                        f"{name} exited at its start: {self.processes.log(name).strip()[-200:]}"
                    )
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    async with self.session.get(
                        f"http://127.0.0.1:{self.client_ports[name]}/_health"
                    ) as response:
                        if response.status == 200:
                            break
                await asyncio.sleep(0.05)
        self.dispatchers.serving.add(name)
        self.record.add_event("process", name=name, what="ready")

    async def _wait_until(self, until: float) -> None:
        await asyncio.sleep(max(0.0, until - asyncio.get_running_loop().time()))

    async def _kill(self, name: str, until: float) -> None:
        self.dispatchers.serving.discard(name)
        self.processes.signal(name, signal.SIGKILL)
        self.record.add_event("process", name=name, what="killed")
        await self.processes.processes[name].wait()
        await self._wait_until(until)
        await self._restart(name)

    async def _terminate(self, name: str, until: float) -> None:
        self.dispatchers.serving.discard(name)
        self.processes.signal(name, signal.SIGTERM)
        self.record.add_event("process", name=name, what="told to end")
        code = await self.processes.processes[name].wait()
        self.record.add_event("process", name=name, what="ended", code=code)
        await self._restart(name)

    async def _restart(self, name: str) -> None:
        """Restart a process; a restarted dispatcher has not received any endpoint list yet."""
        self.sent_states[name] = {}
        await self.start(name)

    async def _stop(self, name: str, until: float) -> None:
        self.processes.signal(name, signal.SIGSTOP)
        self.record.add_event("process", name=name, what="stopped")
        await self._wait_until(until)
        self.processes.signal(name, signal.SIGCONT)
        self.record.add_event("process", name=name, what="goes on")

    async def run(self, settings: dict[str, Any]) -> dict[str, Any]:
        """Carry out the run, and stop all processes and servers at its end."""
        self.record.begin = self.time.now
        async with contextlib.AsyncExitStack() as stack:
            self.session = await stack.enter_async_context(open_session())
            await stack.enter_async_context(self.stub_servers)
            await stack.enter_async_context(self.faults)
            stack.push_async_callback(self.processes.close)
            for name in self.simulation.servers:
                await self.open(name, 0.0)
            for name in self.participants.dispatcher_zones:
                catalog, self.discoveries[name] = await stack.enter_async_context(
                    serve_catalog(self.listed(name))
                )
                catalog.on_written = functools.partial(self._record_list, name)
                self.catalogs[name] = catalog
            self.configurations.write(settings, self.discoveries, self.listed)
            for name in (*self.participants.dispatcher_zones, *self.participants.agent_zones):
                await self.start(name, first=True)
            await asyncio.gather(
                *[self.wait_until_ready(name) for name in self.participants.dispatcher_zones]
            )
            begin = asyncio.get_running_loop().time() + 0.1
            self.record.add_event("clients begin")
            self.schedule_disturbances(begin * 1000.0)
            self.faults.start(begin, {"kill": self._kill, "end": self._terminate, "stop": self._stop})
            results = await self.clients.send_all(self.requests, begin, self.session)
            # Wait until all faults have ended, also those that restart a process after the last request, so
            # that the check covers their events.
            await asyncio.gather(*self.faults.tasks)
            for task in self.tasks:
                task.cancel()
            crashed = [
                name
                for name in self.dispatchers.serving
                if self.processes.processes[name].returncode is not None
            ]
        violations = check.find_violations(self.scenario, self.record.events)
        violations += [f"crash: {name}: {self.processes.log(name).strip()[-200:]}" for name in crashed]
        return results | {"broken": violations, "seed": self.seed}


async def run_scenario(
    scenario: scenarios.Scenario,
    seed: int,
    settings: dict[str, Any],
    trace: list[trace_format.RecordedRequest] | None,
    record: tuple[str, str] | None = None,
) -> dict[str, Any]:
    """Run a scenario or a trace once; return the clients' results and the violations of the rules.

    `record` is the path of the record to write and the path of the scenario file. Raises RecordError where
    the record cannot be written.
    """
    simulation = Simulation(scenario, seed)
    requests = (
        scenario_requests(scenario, simulation) if trace is None else trace_requests(scenario, trace, seed)
    )
    with tempfile.TemporaryDirectory() as folder:
        load_run = LoadRun(scenario, seed, requests, simulation, Path(folder))
        task = asyncio.current_task()
        # On SIGTERM the run still stops the processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await load_run.run(settings)
        finally:
            asyncio.get_running_loop().remove_signal_handler(signal.SIGTERM)
            if record is not None:
                load_run.record.write(*record, seed)
