"""Measures how a fleet handles the loss of a zone and its return with cold endpoints.

    python -m bench.failover --small
    python -m bench.failover --seeds 1-3 --ways common,alone,fixed --csv docs/data/failover.csv

Starts three hosts with one agent each, dispatchers in three zones, and one process with the endpoints of
each zone. The endpoints of one zone stop responding (their process gets SIGSTOP) and are restarted cold some
seconds later. The endpoint list shows the restart, but not the outage. Modes: `common` (dispatchers follow
the fleet's traffic plan), `alone` (each dispatcher uses all endpoints and relies on its own observations),
`fixed` (each dispatcher knows the endpoints of its own zone only). The last line of the output holds the
results. The exit code is 0 if no limit of docs/failover.md was exceeded.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import csv
import json
import random
import signal
import sys
import tempfile
import time
from collections import defaultdict
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from bench.fleet import read_events
from dunepulley.agent import wire
from dunepulley.agent.admin_call import NoAnswerError, call
from dunepulley.load.local import Catalog, member, serve_catalog
from dunepulley.load.ports import free_ports
from dunepulley.load.processes import Processes

MODES = ("common", "alone", "fixed")
ZONES = ("a", "b", "c")
LOST_ZONE = "a"
REGIONS = """
[[region]]
name = "east"
zones = ["a", "b"]
near = ["west"]
[[region]]
name = "west"
zones = ["c"]
near = ["east"]
"""
# The fraction of each zone's slots in use; two zones can then carry the load of all three.
LOAD = 0.45
MEAN_RUN_MS = 80.0
OBJECTIVE_MS, OBJECTIVE_STRETCH, EXPIRY_MS = 300.0, 2.0, 4000.0
REQUEST_CLASSES = {"look": (0.7, 1.0), "store": (0.3, 3.0)}
COLD_FROM, COLD_S, OVERLOAD_MULTIPLE = 0.3, 5.0, 4.0
READY_TIMEOUT_S = 30.0
# An attempt at the lost zone is wrong if it is sent more than this after the last dispatcher applied the plan
# and more than this before the zone's first trial. `watch` notices either moment a little late.
GRACE_S = 0.3
# A returning zone gets a tenth of its traffic first, then a fifth more every 2 s: five steps, each decided in
# one of the agents' rounds, which take place twice a second.
MAX_RETURN_S = 16.0
BIN_S = 0.5


class Size(NamedTuple):
    """The size of a run: dispatchers and endpoints for each zone, slots for each endpoint.

    Times are in seconds since the clients began.
    """

    dispatchers: int = 4
    endpoints: int = 4
    slots: int = 4
    lost_s: float = 6.0
    back_s: float = 14.0
    end_s: float = 40.0


FULL, SMALL = Size(), Size(dispatchers=2, endpoints=2, slots=3, lost_s=3.0, back_s=8.0, end_s=30.0)


class ClientOutcome(NamedTuple):
    """The outcome of one request as its client saw it; `at` is in seconds since the clients began."""

    at: float
    home_zone: str
    payoff: float
    in_time: bool
    outcome: str


class Fleet(Processes):
    """All processes of one run: endpoints, dispatchers and agents."""

    def __init__(self, folder: Path, mode: str, size: Size) -> None:
        super().__init__(folder)
        self.mode, self.size = mode, size
        self.names = {f"n{zone}{n}": zone for zone in ZONES for n in range(size.dispatchers)}
        ports = iter(free_ports(2 * len(self.names) + len(ZONES) * (size.endpoints + 1)))
        self.listen = {name: f"127.0.0.1:{next(ports)}" for name in self.names}
        self.admin = {name: f"127.0.0.1:{next(ports)}" for name in self.names}
        self.agents = {zone: f"127.0.0.1:{next(ports)}" for zone in ZONES}
        self.endpoints = {zone: {f"w{zone}{n}": next(ports) for n in range(size.endpoints)} for zone in ZONES}

    def members(self, zones: tuple[str, ...] = ZONES) -> list[dict[str, Any]]:
        """The entries of the endpoint list for the endpoints of these zones."""
        return [
            member(name, f"127.0.0.1:{port}", zone, "box", "0")
            for zone in zones
            for name, port in self.endpoints[zone].items()
        ]

    def write(self, discovery: dict[str, str]) -> None:
        """Write the configuration files of the dispatchers and agents.

        `discovery` holds the address of the discovery service for each zone.
        """
        (self.folder / "regions.toml").write_text(REGIONS)
        request_classes = [
            {"name": name, "effect": "read_like", "payoff": payoff, "dueTimeUs": OBJECTIVE_MS * 1000.0}
            | {"aimStretch": OBJECTIVE_STRETCH, "expiryUs": EXPIRY_MS * 1000.0}
            for name, (_, payoff) in REQUEST_CLASSES.items()
        ]
        for number, (name, zone) in enumerate(self.names.items()):
            endpoints = self.members((zone,) if self.mode == "fixed" else ZONES)
            config = {
                "name": name,
                "listen": self.listen[name],
                "console": self.admin[name],
                "discovery": discovery[zone],
                "limits": {"sockets": 512},
                "seed": f"{number + 1:x}",
                "plan": self.mode == "common",
                "known": {"revision": 1, "complete": True, "members": endpoints},
                "settings": {
                    "balancers": len(self.names),
                    "me": number,
                    "zone": zone,
                    "categories": request_classes,
                    "discovery": "pushed",
                    "reporting": {"how": "answers", "fields": ["qps", "queue", "x0"]},
                    "familyInfo": {"tellsStart": True},
                    "rules": {"coldFrom": COLD_FROM, "coldUs": COLD_S * 1e6}
                    | {"fallMultiple": OVERLOAD_MULTIPLE, "tipAfterUs": 1e6},
                    "policyLimits": {"mostHandOffs": 4, "cancel": True, "secondCopies": True},
                },
            }
            (self.folder / f"{name}.json").write_text(json.dumps(config))
        for zone in ZONES:
            lines = [f'listen = "{self.agents[zone]}"', f'state = "{zone}-drains.json"', "answer_s = 1.0"]
            for name in [name for name, home_zone in self.names.items() if home_zone == zone]:
                lines += ["[[dispatcher]]", f'name = "{name}"', f'console = "{self.admin[name]}"']
            lines += ["[fleet]", f'name = "h{zone}"', f'votes = "{zone}.votes"', 'regions = "regions.toml"']
            for other, address in self.agents.items():
                lines += ["[[fleet.member]]", f'name = "h{other}"', f'address = "{address}"']
            (self.folder / f"agent-{zone}.toml").write_text("\n".join(lines) + "\n")

    async def start_endpoints(self, zone: str, since_ms: float) -> None:
        """Start the process with a zone's endpoints, as restarted at `since_ms` (0 for long ago)."""
        config = {
            "zone": zone,
            "workers": self.endpoints[zone],
            "dispatchers": self.listen,
            "slots": self.size.slots,
            "speed": 1.0,
            "queue": 8 * self.size.slots,
            "runs_ms": MEAN_RUN_MS,
            "cold_from": COLD_FROM,
            "cold_s": COLD_S,
            "fall_multiple": OVERLOAD_MULTIPLE,
            "since_ms": since_ms,
            "record": str(self.folder / f"{zone}.record"),
        }
        path = self.folder / f"site-{zone}.json"
        path.write_text(json.dumps(config))
        await self.run(f"site-{zone}", "bench.site", str(path))

    async def start_all(self) -> None:
        """Start all processes; wait until dispatchers are healthy and, in mode `common`, follow a plan."""
        for zone in ZONES:
            await self.start_endpoints(zone, 0.0)
        for name in self.names:
            await self.run(name, "dunepulley", "serve", "--events", "--config", f"{name}.json")
        for zone in ZONES if self.mode == "common" else ():
            command = ("dunepulley", "agent", "--new-votes", "--config", f"agent-{zone}.toml")
            await self.run(f"agent-{zone}", *command)
        async with asyncio.timeout(READY_TIMEOUT_S):
            for name in self.names:
                while True:
                    with contextlib.suppress(NoAnswerError):
                        if (await call(self.admin[name], "HEALTH", 1.0))[0]:
                            break
                    await asyncio.sleep(0.05)
            while self.mode == "common":
                reports = [await self.report(name) for name in self.names]
                if all([report is not None and report["how"] == "by plan" for report in reports]):
                    break
                await asyncio.sleep(0.05)

    async def report(self, name: str) -> dict[str, Any] | None:
        """A dispatcher's report on its zones, None where it does not answer."""
        with contextlib.suppress(NoAnswerError, ValueError):
            done, text = await call(self.admin[name], "PLAN {}", 1.0)
            return json.loads(text) if done else None
        return None

    async def plan(self) -> dict[str, Any]:
        """The traffic plan from the first agent that answers, empty where none does."""
        for address in self.agents.values():
            with contextlib.suppress(wire.WireError):
                return await wire.ask(address, {"do": "zones"}, 2.0)
        return {}

    def recorded_lines(self, zone: str) -> list[list[str]]:
        """The lines that a zone's endpoints recorded, split into words."""
        path = self.folder / f"{zone}.record"
        return [line.split() for line in path.read_text().splitlines()] if path.exists() else []


class PlannedRequest(NamedTuple):
    """A request to send: when, in s since the start, to which dispatcher, and how long it runs at speed 1."""

    at_s: float
    dispatcher: str
    zone: str
    class_name: str
    run_ms: float


class Clients:
    """Sends requests to every dispatcher at a steady rate, without waiting for responses (open loop)."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.answered: list[ClientOutcome] = []
        rate = LOAD * fleet.size.endpoints * fleet.size.slots * 1000.0 / MEAN_RUN_MS / fleet.size.dispatchers
        rng = random.Random(seed)
        self.planned: list[PlannedRequest] = []
        for name, home_zone in fleet.names.items():
            at = rng.expovariate(rate)
            while at < fleet.size.end_s:
                class_name = rng.choices(
                    list(REQUEST_CLASSES), [fraction for fraction, _ in REQUEST_CLASSES.values()]
                )[0]
                # A log-normal distribution with the mean MEAN_RUN_MS, spread over about a factor of four.
                work = MEAN_RUN_MS * rng.lognormvariate(-0.18, 0.6)
                self.planned.append(PlannedRequest(at, name, home_zone, class_name, work))
                at += rng.expovariate(rate)
        self.planned.sort()

    async def run(self, started_s: float, session: aiohttp.ClientSession) -> None:
        """Send every planned request at its time, `started_s` being the start by the loop's clock."""
        tasks = []
        loop = asyncio.get_running_loop()
        for number, request in enumerate(self.planned):
            await asyncio.sleep(max(0.0, started_s + request.at_s - loop.time()))
            request_id = f"{request.dispatcher}.{number}"
            tasks.append(asyncio.create_task(self._send(started_s, request_id, request, session)))
        await asyncio.gather(*tasks)

    async def _send(
        self, started_s: float, request_id: str, request: PlannedRequest, session: aiohttp.ClientSession
    ) -> None:
        """Send one request and record its answer."""
        headers = {"X-Call-Id": request_id, "X-Budget-Ms": str(int(EXPIRY_MS))}
        headers["X-Call-Cost"] = str(int(request.run_ms * 1000.0))
        url = f"http://{self.fleet.listen[request.dispatcher]}/{request.class_name}/x"
        try:
            async with (
                asyncio.timeout(EXPIRY_MS / 1000.0 + 1.0),
                session.post(url, data=b"x", headers=headers) as response,
            ):
                await response.read()
                outcome = str(response.status)
        except (aiohttp.ClientError, OSError, TimeoutError):
            outcome = "no answer"
        passed_ms = (asyncio.get_running_loop().time() - started_s - request.at_s) * 1000.0
        in_time = outcome == "200" and passed_ms <= OBJECTIVE_MS + OBJECTIVE_STRETCH * request.run_ms
        payoff = REQUEST_CLASSES[request.class_name][1]
        self.answered.append(ClientOutcome(request.at_s, request.zone, payoff, in_time, outcome))


async def watch(fleet: Fleet, started_s: float, started_unix_ms: float, observed: dict[str, Any]) -> None:
    """Record when all dispatchers follow a plan that leaves the zone, and when the zone is near again."""
    loop, size = asyncio.get_running_loop(), fleet.size
    left_plan = 0
    while True:
        await asyncio.sleep(0.1)
        now = loop.time() - started_s
        answer = await fleet.plan()
        if not answer:
            continue
        state = next((zone["state"] for zone in answer["zones"] if zone["name"] == LOST_ZONE), "near")
        if state != "near" and not left_plan:
            left_plan, observed["decided s"] = answer["plan"]["number"], now - size.lost_s
        if left_plan and "acted s" not in observed:
            reports = [await fleet.report(name) for name in fleet.names]
            if all([report is not None and report["plan"][1] >= left_plan for report in reports]):
                observed["acted s"] = loop.time() - started_s - size.lost_s
        if "acted s" in observed and "tried s" not in observed and state not in ("left", "barred"):
            # The time of the decision itself: a busy machine would notice it late.
            observed["tried s"] = (answer["plan"]["at"] - started_unix_ms) / 1000.0 - size.lost_s
        if "tried s" in observed and state == "near" and "near s" not in observed:
            observed["near s"] = now - size.lost_s


async def lose_and_restart(fleet: Fleet, started_s: float, catalogs: list[Catalog]) -> None:
    """Stop the lost zone's endpoints, later restart them cold and list their new start time."""
    loop, size = asyncio.get_running_loop(), fleet.size
    await asyncio.sleep(max(0.0, started_s + size.lost_s - loop.time()))
    fleet.signal(f"site-{LOST_ZONE}", signal.SIGSTOP)
    await asyncio.sleep(max(0.0, started_s + size.back_s - loop.time()))
    fleet.signal(f"site-{LOST_ZONE}", signal.SIGKILL)
    await fleet.processes[f"site-{LOST_ZONE}"].wait()
    restarted_ms = time.time() * 1000.0
    await fleet.start_endpoints(LOST_ZONE, restarted_ms)
    for catalog in catalogs:
        for name in fleet.endpoints[LOST_ZONE]:
            catalog.change(name, up_since_ms=restarted_ms)


async def run(mode: str, size: Size, seed: int, folder: Path) -> dict[str, Any]:
    """Run the measurement once in one mode; return its results."""
    fleet = Fleet(folder, mode, size)
    observed: dict[str, Any] = {"way": mode, "seed": seed}
    async with contextlib.AsyncExitStack() as stack:
        catalogs: list[Catalog] = []
        discovery: dict[str, str] = {}
        for zones in [(zone,) for zone in ZONES] if mode == "fixed" else [ZONES]:
            catalog, address = await stack.enter_async_context(serve_catalog(fleet.members(zones)))
            catalogs.append(catalog)
            discovery |= dict.fromkeys(zones, address)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        fleet.write(discovery)
        clients = Clients(fleet, seed)
        tasks: list[asyncio.Task] = []
        try:
            await fleet.start_all()
            started_s, started_unix_ms = asyncio.get_running_loop().time(), time.time() * 1000.0
            affected = [
                catalog
                for catalog in catalogs
                if any([entry["locality"] == LOST_ZONE for entry in catalog.members])
            ]
            tasks.append(asyncio.create_task(lose_and_restart(fleet, started_s, affected)))
            if mode == "common":
                tasks.append(asyncio.create_task(watch(fleet, started_s, started_unix_ms, observed)))
            await clients.run(started_s, session)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await fleet.close()
    return observed | results_of(fleet, clients.answered, started_unix_ms, observed)


def in_time_fraction(answered: list[ClientOutcome]) -> float:
    """The fraction of the payoff that was answered in time, 1 without requests."""
    total = sum([response.payoff for response in answered])
    return sum([response.payoff * response.in_time for response in answered]) / total if total else 1.0


def recovered(answered: list[ClientOutcome], size: Size, calm: float) -> float:
    """Seconds from the loss until the in-time fraction stays at 90 % of `calm` or more until the return."""
    bins: dict[int, list[ClientOutcome]] = defaultdict(list)
    for response in answered:
        if size.lost_s <= response.at < size.back_s:
            bins[int((response.at - size.lost_s) / BIN_S)].append(response)
    bad = [number for number, responses in bins.items() if in_time_fraction(responses) < 0.9 * calm]
    return (max(bad) + 1) * BIN_S if bad else 0.0


def sent_to_lost(fleet: Fleet, started_unix_ms: float) -> list[float]:
    """The times of attempts at endpoints of the lost zone, in seconds since the clients began."""
    return [
        (event.ms - started_unix_ms) / 1000.0
        for name in fleet.names
        for event in read_events(fleet.folder / f"{name}.log")
        if event.words[0] == "sent" and event.words[2] in fleet.endpoints[LOST_ZONE]
    ]


def results_of(
    fleet: Fleet, answered: list[ClientOutcome], started_unix_ms: float, observed: dict[str, Any]
) -> dict[str, Any]:
    """The results of a run from the records of clients, endpoints and dispatchers."""
    size = fleet.size
    spans = {
        "calm": (1.0, size.lost_s),
        "loss": (size.lost_s, size.back_s),
        "return": (size.back_s, size.end_s),
    }
    results: dict[str, Any] = {}
    for name, (first, last) in spans.items():
        results[f"in time {name}"] = in_time_fraction(
            [response for response in answered if first <= response.at < last]
        )
    calm = results["in time calm"]
    results["recovered s"] = recovered(answered, size, calm)
    results["no answer"] = sum([response.outcome == "no answer" for response in answered])
    results["items"] = len(answered)
    crossed = sent = full = over = 0
    for zone in ZONES:
        for word, at, *fields in fleet.recorded_lines(zone):
            since_s = (float(at) - started_unix_ms) / 1000.0
            if word == "sent" and 1.0 <= since_s < size.lost_s:
                sent += 1
                crossed += fleet.names[fields[0]] != zone
            full += word == "full" and zone != LOST_ZONE and size.lost_s <= since_s < size.back_s
            over += word == "over"
    results["crossed calm"] = crossed / sent if sent else 0.0
    to_lost = sent_to_lost(fleet, started_unix_ms)
    results["sent there while lost"] = sum([size.lost_s <= at < size.back_s for at in to_lost])
    if "tried s" in observed:
        first, last = observed["acted s"] + GRACE_S, observed["tried s"] - GRACE_S
        results["sent to the left zone"] = sum([first <= at - size.lost_s < last for at in to_lost])
    results["full answers of survivors"] = full
    results["cold pushed over"] = over
    return results


def violations_of(result: dict[str, Any]) -> list[str]:
    """The limits of docs/failover.md that a run exceeded; the limits allow for a busy machine."""
    violations = []
    if result["no answer"]:
        violations.append(f"{result['no answer']} items had no answer")
    if result["cold pushed over"]:
        violations.append(f"{result['cold pushed over']} times a cold worker was pushed over")
    if result["way"] == "common":
        if result.get("acted s", 99.0) > 6.0:
            violations.append("not all dispatchers acted within 6 s")
        if result.get("sent to the left zone"):
            violations.append(f"{result['sent to the left zone']} hand-offs to the zone after it was left")
        if "near s" not in result:
            violations.append("the zone did not become near again")
        elif result["near s"] - result["tried s"] > MAX_RETURN_S:
            violations.append(f"the zone took over {MAX_RETURN_S:.0f} s from its first trial to near")
        if result["crossed calm"] > 0.05:
            violations.append(f"{result['crossed calm']:.2f} crossed zones on a calm day")
    return violations


def line_of(result: dict[str, Any]) -> str:
    """A run's results as one line of text."""
    texts = {name: f"{value:.2f}" if isinstance(value, float) else value for name, value in result.items()}
    return ", ".join([f"{name} {value}" for name, value in texts.items()])


def plot(runs: list[dict[str, Any]], path: str) -> None:
    """Plot the in-time fraction by mode and span, with one point for each run."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = ["in time calm", "in time loss", "in time return"]
    figure, axes = pyplot.subplots(figsize=(6.0, 3.2))
    modes = [mode for mode in MODES if any([result["way"] == mode for result in runs])]
    for number, mode in enumerate(modes):
        results = [result for result in runs if result["way"] == mode]
        places = [at + 0.25 * (number - 1) for at in range(len(names))]
        means = [sum([result[name] for result in results]) / len(results) for name in names]
        axes.bar(places, means, 0.22, label=mode)
        for place, name in zip(places, names, strict=True):
            axes.plot([place] * len(results), [result[name] for result in results], "k.", markersize=3)
    axes.set_xticks(range(len(names)), [name.removeprefix("in time ") for name in names])
    axes.set_ylabel("payoff in time")
    axes.set_ylim(0.0, 1.05)
    axes.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main(arguments: list[str] | None = None) -> int:
    """Run the measurement; returns 0 if no run exceeded a limit, else 1."""
    from dunepulley.model.command import parse_seeds

    parser = argparse.ArgumentParser(description="Measures the loss and return of a zone.")
    parser.add_argument("--small", action="store_true", help="mode common once, takes less than 45 s")
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1"))
    parser.add_argument("--ways", default=",".join(MODES), help="comma-separated: common, alone, fixed")
    parser.add_argument("--csv", help="file to write the results to")
    parser.add_argument("--plot", help="image file for a plot (needs matplotlib: requirements-measure.txt)")
    options = parser.parse_args(arguments)
    modes = ["common"] if options.small else options.ways.split(",")
    if not set(modes) <= set(MODES):
        parser.error(f"--ways: expected modes out of {', '.join(MODES)}, got {options.ways[:60]!r}")
    runs, violations = [], []
    for seed in options.seeds[:1] if options.small else options.seeds:
        for mode in modes:
            with tempfile.TemporaryDirectory() as folder:
                size = SMALL if options.small else FULL
                result = asyncio.run(run(mode, size, seed, Path(folder)))
            runs.append(result)
            violations += [f"{mode}, seed {seed}: {violation}" for violation in violations_of(result)]
            if not options.small:
                print(line_of(result), flush=True)
    if options.csv:
        names = list(dict.fromkeys([name for result in runs for name in result]))
        with Path(options.csv).open("w", newline="") as file:
            writer = csv.DictWriter(file, names)
            writer.writeheader()
            for result in runs:
                writer.writerow(
                    {name: round(v, 4) if isinstance(v, float) else v for name, v in result.items()}
                )
    if options.plot:
        plot(runs, options.plot)
    for violation in violations:
        print(f"broken: {violation}")
    print(line_of(runs[-1]) if options.small else f"{len(runs)} runs, {len(violations)} promises broken")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
