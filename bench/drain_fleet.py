"""Drain half of the endpoints at many dispatchers and check that none sends them new requests too late.

    python -m bench.drain_fleet --instances 20 --workers 40 --hang --restart

Starts the dispatchers, an agent and stub endpoints, then has `ctl` drain a zone under load and restore it.
With `--hang` one dispatcher is stopped (SIGSTOP) while the agent pushes the drain; with `--restart` one is
killed and restarted after the drain. The exit code is 0 if no dispatcher sent a new request to a drained
endpoint more than 300 ms after the agent notified that dispatcher.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from bench.stub_workers import LoadGenerator, StubEndpoints
from dunepulley.agent import wire
from dunepulley.agent.admin_call import NoAnswerError, call
from dunepulley.load.local import discovery
from dunepulley.load.ports import free_ports
from dunepulley.load.processes import Processes

GRACE_MS = 300.0
# Bytes that a process sent before it was killed may arrive this much later. Its successor takes longer to
# start, so later arrivals are the successor's.
ARRIVAL_GRACE_MS = 100.0
ZONES = ("north", "south")
# An upper bound for a heavily loaded CI machine; every wait ends as soon as its condition holds.
READY_TIMEOUT_S = 30.0
MAX_LOAD_S = 120.0


class Fleet(Processes):
    """The processes of the dispatchers and of their agent."""

    def __init__(self, folder: Path, count: int, discovery: str) -> None:
        super().__init__(folder)
        self.names = [f"n{number}" for number in range(count)]
        ports = free_ports(2 * count + 1)
        self.listen = {name: f"127.0.0.1:{ports[n]}" for n, name in enumerate(self.names)}
        self.admin = {name: f"127.0.0.1:{ports[count + n]}" for n, name in enumerate(self.names)}
        self.agent = f"127.0.0.1:{ports[-1]}"
        self.discovery = discovery

    def write(self, members: list[dict[str, Any]]) -> None:
        """Write the configuration files of the dispatchers and of the agent."""
        request_class = {"name": "look", "effect": "read_like", "dueTimeUs": 1000000, "expiryUs": 4000000}
        lines = [f'listen = "{self.agent}"', 'state = "drains.json"', "answer_s = 1.0"]
        for number, name in enumerate(self.names):
            config = {
                "name": name,
                "listen": self.listen[name],
                "console": self.admin[name],
                "discovery": self.discovery,
                "drains": str(self.folder / "drains.json"),
                "limits": {"sockets": 512},
                "seed": f"{number + 1:x}",
                "known": {"revision": 1, "complete": True, "members": members},
                "settings": {
                    "balancers": len(self.names),
                    "me": number,
                    "zone": ZONES[number % 2],
                    "categories": [request_class],
                    "policyLimits": {"mostHandOffs": 3, "cancel": True},
                },
            }
            (self.folder / f"{name}.json").write_text(json.dumps(config))
            lines += ["[[dispatcher]]", f'name = "{name}"', f'console = "{self.admin[name]}"']
        (self.folder / "agent.toml").write_text("\n".join(lines) + "\n")

    async def start(self, name: str) -> None:
        """Start a dispatcher, or the agent if the name is "agent"."""
        command, file = ("agent", "agent.toml") if name == "agent" else ("serve", f"{name}.json")
        await self.run(name, "dunepulley", command, "--config", file)

    async def wait_until_healthy(self, name: str) -> None:
        """Wait until a dispatcher reports that it is healthy."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                with contextlib.suppress(NoAnswerError):
                    if (await call(self.admin[name], "HEALTH", 1.0))[0]:
                        return
                await asyncio.sleep(0.05)


async def ctl(fleet: Fleet, *arguments: str) -> tuple[int, dict[str, Any]]:
    """Run `ctl` as an operator does; return its exit code and the agent's answer."""
    command = [sys.executable, "-m", "dunepulley", "ctl", "--agent", fleet.agent, "--json", *arguments]
    environment = os.environ | {"PYTHONPATH": str(Path(__file__).parents[1])}
    process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE, env=environment)
    out, _ = await process.communicate()
    return process.returncode or 0, json.loads(out)["agents"][fleet.agent]


async def wait_for_revision(fleet: Fleet, revision: int) -> None:
    """Wait until the agent reports that every dispatcher has applied at least this drain revision."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            # An agent that was just started may not listen yet.
            with contextlib.suppress(wire.WireError):
                answer = await wire.ask(fleet.agent, {"do": "drains"}, 10.0)
                if all([status.get("drains", -1) >= revision for status in answer["dispatchers"]]):
                    return
            await asyncio.sleep(0.1)


async def notification_times(fleet: Fleet) -> dict[str, float]:
    """When the agent last sent each dispatcher a drain set, in Unix ms (agent and bench share one clock)."""
    answer = await wire.ask(fleet.agent, {"do": "drains"}, 10.0)
    return {status["name"]: status.get("told") or 0.0 for status in answer["dispatchers"]}


@dataclass
class Observation:
    """What was observed during one drain; all times are Unix ms by this process's clock."""

    hung: str = ""
    restarted: str = ""
    # When the killed dispatcher was started again.
    restarted_ms: float = 0.0
    drained_ms: float = 0.0
    restored_ms: float = 0.0
    exit_code: int = 0
    # By dispatcher: its state as `ctl` printed it, and when it was notified of the drain.
    states: dict[str, str] = field(default_factory=dict)
    notified_ms: dict[str, float] = field(default_factory=dict)

    def late_after_ms(self, name: str) -> float:
        """The time from which a dispatcher's new requests must not arrive at drained endpoints."""
        # A restarted dispatcher reads the drain from its file before it serves, so it has no grace period.
        return (
            self.restarted_ms + ARRIVAL_GRACE_MS
            if name == self.restarted
            else self.notified_ms[name] + GRACE_MS
        )

    def fault(self, name: str) -> str:
        """The fault that was injected into a dispatcher, empty for none."""
        return "hung" if name == self.hung else "killed and started again" if name == self.restarted else ""


async def drain_and_restore(fleet: Fleet, options: argparse.Namespace) -> Observation:
    """Drain a zone under load with the faults that the options ask for, then restore it."""
    observed = Observation(
        hung=fleet.names[-1] if options.hang else "", restarted=fleet.names[-2] if options.restart else ""
    )
    if observed.hung:
        fleet.signal(observed.hung, signal.SIGSTOP)
    observed.drained_ms = time.time() * 1000.0
    observed.exit_code, answer = await ctl(
        fleet, "--limit", "3s", "drain", "--zone", ZONES[0], "--by", "bench"
    )
    observed.states = {status["name"]: status["state"] for status in answer.get("dispatchers", [])}
    if observed.restarted:
        fleet.signal(observed.restarted, signal.SIGKILL)
        await fleet.processes[observed.restarted].wait()
        observed.restarted_ms = time.time() * 1000.0
        await fleet.start(observed.restarted)
    if observed.hung:
        fleet.signal(observed.hung, signal.SIGCONT)
    await wait_for_revision(fleet, 1)
    observed.notified_ms = await notification_times(fleet)
    if observed.restarted:
        await fleet.wait_until_healthy(observed.restarted)
    # Keep observing after the last notification, so that late requests are counted.
    await asyncio.sleep(max(1.0, options.seconds / 3.0))
    observed.restored_ms = time.time() * 1000.0
    await ctl(fleet, "--limit", "3s", "restore", "--zone", ZONES[0], "--by", "bench")
    await wait_for_revision(fleet, 2)
    return observed


def row_of(name: str, observed: Observation, endpoints: StubEndpoints) -> dict[str, Any]:
    """The result row of one dispatcher: what it sent to drained endpoints, and when."""
    drained = {member["id"] for member in endpoints.members if member["locality"] == ZONES[0]}
    sent = [arrival for arrival in endpoints.sent if arrival.dispatcher == name]
    to_drained = [arrival.at_ms for arrival in sent if arrival.endpoint in drained]
    while_drained = [at for at in to_drained if observed.drained_ms <= at < observed.restored_ms]
    notified_ms, late_after_ms = observed.notified_ms[name], observed.late_after_ms(name)
    return {
        "instance": name,
        "state": observed.states.get(name, "none"),
        "told after ms": round(notified_ms - observed.drained_ms, 1),
        "last after told ms": round(max(while_drained) - notified_ms, 1) if while_drained else None,
        "too late": len([at for at in while_drained if at > late_after_ms]),
        "sent": len(sent),
        "to drained before": len([at for at in to_drained if at < observed.drained_ms]),
        "to drained after restore": len([at for at in to_drained if at >= observed.restored_ms]),
        "note": observed.fault(name),
    }


async def measure(options: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Run the measurement once; return its results."""
    addresses: dict[str, str] = {}
    zones = [ZONES[number % 2] for number in range(options.workers)]
    async with (
        StubEndpoints(zones, options.runs_ms, addresses) as endpoints,
        discovery(endpoints.members) as discovery_address,
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
    ):
        fleet = Fleet(folder, options.instances, discovery_address)
        addresses |= fleet.listen
        fleet.write(endpoints.members)
        generators = [LoadGenerator(name, fleet.listen[name], options.rate, session) for name in fleet.names]
        try:
            for name in [*fleet.names, "agent"]:
                await fleet.start(name)
            await asyncio.gather(*[fleet.wait_until_healthy(name) for name in fleet.names])
            await wait_for_revision(fleet, 0)
            stop = asyncio.Event()
            load = [asyncio.create_task(generator.run(stop, MAX_LOAD_S)) for generator in generators]
            await asyncio.sleep(options.seconds / 3.0)
            observed = await drain_and_restore(fleet, options)
            await asyncio.sleep(options.seconds / 3.0)
            stop.set()
            await asyncio.gather(*load)
        finally:
            await fleet.close()
    answers: Counter[str] = Counter()
    for generator in generators:
        answers.update(generator.answers)
    rows = [row_of(name, observed, endpoints) for name in fleet.names]
    return {"code": observed.exit_code, "instances": rows, "answers": dict(answers)}


def main(arguments: list[str] | None = None) -> int:
    """Run the measurement and print its results; return the exit code."""
    parser = argparse.ArgumentParser(description="Drain half of the endpoints at many dispatchers.")
    parser.add_argument("--instances", type=int, default=20)
    parser.add_argument("--workers", type=int, default=40)
    parser.add_argument("--rate", type=float, default=8.0, help="requests per second for each dispatcher")
    parser.add_argument("--runs-ms", type=float, default=40.0, help="how long a request runs")
    parser.add_argument("--seconds", type=float, default=12.0, help="load before, during and after the drain")
    parser.add_argument("--hang", action="store_true", help="stop one dispatcher (SIGSTOP) during the drain")
    parser.add_argument("--restart", action="store_true", help="kill one dispatcher, start it again")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as folder:
        results = asyncio.run(measure(options, Path(folder)))
    late = sum([row["too late"] for row in results["instances"]])
    if options.json:
        print(json.dumps(results, indent=2))
    else:
        for row in results["instances"]:
            print("  ".join([f"{name} {value}" for name, value in row.items() if value not in ("", None)]))
        print(f"answers: {results['answers']}; ctl ended with {results['code']}")
        print(f"new work to drained workers later than {GRACE_MS:g} ms after being told: {late}")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
