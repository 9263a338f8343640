"""A zone is lost and comes back cold: how soon all dispatchers act on it, and what is served meanwhile.

    python -m bench.failover --small
    python -m bench.failover --seeds 1-3 --ways common,alone,fixed --csv docs/data/failover.csv

Three hosts with an agent each, dispatchers of three zones, and each zone's workers in a process of their
own. The workers of one zone fall silent (their process is stopped), are started anew some seconds later,
cold, and the list says so; while they are silent the list says nothing. Ways: `common` (dispatchers go by
the fleet's plan), `alone` (each uses all workers and sees for itself), `fixed` (each knows its own zone's
workers only). The last line holds the figures; the exit code is 0 where no promise of docs/failover.md was
broken.
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

from bench.fleet import lines_of
from dunepulley.agent import wire
from dunepulley.agent.admin_call import NoAnswerError, call
from dunepulley.load.local import Catalog, free_ports, member, serve_catalog
from dunepulley.load.processes import Processes

WAYS = ("common", "alone", "fixed")
ZONES = ("a", "b", "c")
LOST = "a"
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
# Of a zone's slots; what two zones have to bear of three is then under their limit.
LOAD = 0.45
MEAN_MS = 80.0
DUE_MS, STRETCH, EXPIRY_MS = 300.0, 2.0, 4000.0
CATEGORIES = {"look": (0.7, 1.0), "store": (0.3, 3.0)}
COLD_FROM, COLD_S, FALL_MULTIPLE = 0.3, 5.0, 4.0
PATIENCE_S = 30.0
# What is sent so long after the last dispatcher was told, and before the zone is tried again, is sent
# wrongly; the watch sees either moment a little late.
GRACE_S = 0.3
# A zone that is tried again takes a tenth of its work, then a fifth more each 2 s: five steps, each decided
# at one of the agents' meetings, two a second.
WHOLE_S = 16.0
BIN_S = 0.5


class Size(NamedTuple):
    """How much of everything; times in seconds from the moment that clients begin."""

    dispatchers: int = 4
    workers: int = 4
    slots: int = 4
    lost_s: float = 6.0
    back_s: float = 14.0
    end_s: float = 40.0


FULL, SMALL = Size(), Size(dispatchers=2, workers=2, slots=3, lost_s=3.0, back_s=8.0, end_s=30.0)


class Answered(NamedTuple):
    """One work item as its client saw it; seconds since clients began."""

    at: float
    home: str
    payoff: float
    in_time: bool
    how: str


class Fleet(Processes):
    """All processes of one run."""

    def __init__(self, folder: Path, way: str, size: Size) -> None:
        super().__init__(folder)
        self.way, self.size = way, size
        self.names = {f"n{zone}{n}": zone for zone in ZONES for n in range(size.dispatchers)}
        ports = iter(free_ports(2 * len(self.names) + len(ZONES) * (size.workers + 1)))
        self.listen = {name: f"127.0.0.1:{next(ports)}" for name in self.names}
        self.console = {name: f"127.0.0.1:{next(ports)}" for name in self.names}
        self.agents = {zone: f"127.0.0.1:{next(ports)}" for zone in ZONES}
        self.workers = {zone: {f"w{zone}{n}": next(ports) for n in range(size.workers)} for zone in ZONES}

    def members(self, zones: tuple[str, ...] = ZONES) -> list[dict[str, Any]]:
        """The workers of some zones in discovery's list."""
        return [
            member(name, f"127.0.0.1:{port}", zone, "box", "0")
            for zone in zones
            for name, port in self.workers[zone].items()
        ]

    def write(self, discovery: dict[str, str]) -> None:
        """The files of dispatchers and agents."""
        (self.folder / "regions.toml").write_text(REGIONS)
        categories = [
            {"name": name, "effect": "read_like", "payoff": payoff, "dueTimeUs": DUE_MS * 1000.0}
            | {"aimStretch": STRETCH, "expiryUs": EXPIRY_MS * 1000.0}
            for name, (_, payoff) in CATEGORIES.items()
        ]
        for number, (name, zone) in enumerate(self.names.items()):
            known = self.members((zone,) if self.way == "fixed" else ZONES)
            told = {
                "name": name,
                "listen": self.listen[name],
                "console": self.console[name],
                "discovery": discovery[zone],
                "limits": {"sockets": 512},
                "seed": f"{number + 1:x}",
                "plan": self.way == "common",
                "known": {"revision": 1, "complete": True, "members": known},
                "settings": {
                    "balancers": len(self.names),
                    "me": number,
                    "zone": zone,
                    "categories": categories,
                    "discovery": "pushed",
                    "reporting": {"how": "answers", "fields": ["qps", "queue", "x0"]},
                    "familyInfo": {"tellsStart": True},
                    "rules": {"coldFrom": COLD_FROM, "coldUs": COLD_S * 1e6}
                    | {"fallMultiple": FALL_MULTIPLE, "tipAfterUs": 1e6},
                    "policyLimits": {"mostHandOffs": 4, "cancel": True, "secondCopies": True},
                },
            }
            (self.folder / f"{name}.json").write_text(json.dumps(told))
        for zone in ZONES:
            lines = [f'listen = "{self.agents[zone]}"', f'state = "{zone}-drains.json"', "answer_s = 1.0"]
            for name in [name for name, home in self.names.items() if home == zone]:
                lines += ["[[dispatcher]]", f'name = "{name}"', f'console = "{self.console[name]}"']
            lines += ["[fleet]", f'name = "h{zone}"', f'votes = "{zone}.votes"', 'regions = "regions.toml"']
            for other, address in self.agents.items():
                lines += ["[[fleet.member]]", f'name = "h{other}"', f'address = "{address}"']
            (self.folder / f"agent-{zone}.toml").write_text("\n".join(lines) + "\n")

    async def start_site(self, zone: str, since_ms: float) -> None:
        """Start a zone's workers."""
        told = {
            "zone": zone,
            "workers": self.workers[zone],
            "dispatchers": self.listen,
            "slots": self.size.slots,
            "speed": 1.0,
            "queue": 8 * self.size.slots,
            "runs_ms": MEAN_MS,
            "cold_from": COLD_FROM,
            "cold_s": COLD_S,
            "fall_multiple": FALL_MULTIPLE,
            "since_ms": since_ms,
            "record": str(self.folder / f"{zone}.record"),
        }
        path = self.folder / f"site-{zone}.json"
        path.write_text(json.dumps(told))
        await self.run(f"site-{zone}", "bench.site", str(path))

    async def start_all(self) -> None:
        """Start everything and wait until it serves."""
        for zone in ZONES:
            await self.start_site(zone, 0.0)
        for name in self.names:
            await self.run(name, "dunepulley", "serve", "--events", "--config", f"{name}.json")
        for zone in ZONES if self.way == "common" else ():
            words = ("dunepulley", "agent", "--new-votes", "--config", f"agent-{zone}.toml")
            await self.run(f"agent-{zone}", *words)
        async with asyncio.timeout(PATIENCE_S):
            for name in self.names:
                while True:
                    with contextlib.suppress(NoAnswerError):
                        if (await call(self.console[name], "HEALTH", 1.0))[0]:
                            break
                    await asyncio.sleep(0.05)
            while self.way == "common":
                found = [await self.report(name) for name in self.names]
                if all([one is not None and one["how"] == "by plan" for one in found]):
                    break
                await asyncio.sleep(0.05)

    async def report(self, name: str) -> dict[str, Any] | None:
        """What a dispatcher sees, if it answers."""
        with contextlib.suppress(NoAnswerError, ValueError):
            done, text = await call(self.console[name], "PLAN {}", 1.0)
            return json.loads(text) if done else None
        return None

    async def plan(self) -> dict[str, Any]:
        """The plan as any agent knows it."""
        for address in self.agents.values():
            with contextlib.suppress(wire.WireError):
                return await wire.ask(address, {"do": "zones"}, 2.0)
        return {}

    def lines(self, zone: str) -> list[list[str]]:
        """What a zone's workers recorded."""
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
    """Work items at a steady rate for every dispatcher, whatever becomes of those before (open loop)."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.answered: list[Answered] = []
        rate = LOAD * fleet.size.workers * fleet.size.slots * 1000.0 / MEAN_MS / fleet.size.dispatchers
        draw = random.Random(seed)
        self.planned: list[PlannedRequest] = []
        for name, home in fleet.names.items():
            at = draw.expovariate(rate)
            while at < fleet.size.end_s:
                category = draw.choices(list(CATEGORIES), [share for share, _ in CATEGORIES.values()])[0]
                # Spread over about a factor of four, mean MEAN_MS.
                work = MEAN_MS * draw.lognormvariate(-0.18, 0.6)
                self.planned.append(PlannedRequest(at, name, home, category, work))
                at += draw.expovariate(rate)
        self.planned.sort()

    async def run(self, begun: float, session: aiohttp.ClientSession) -> None:
        """Send all of them."""
        tasks = []
        loop = asyncio.get_running_loop()
        for number, request in enumerate(self.planned):
            await asyncio.sleep(max(0.0, begun + request.at_s - loop.time()))
            request_id = f"{request.dispatcher}.{number}"
            tasks.append(asyncio.create_task(self._send(begun, request_id, request, session)))
        await asyncio.gather(*tasks)

    async def _send(
        self, begun: float, request_id: str, request: PlannedRequest, session: aiohttp.ClientSession
    ) -> None:
        """Send one request and record its answer."""
        headers = {"X-Call-Id": request_id, "X-Budget-Ms": str(int(EXPIRY_MS))}
        headers["X-Call-Cost"] = str(int(request.run_ms * 1000.0))
        url = f"http://{self.fleet.listen[request.dispatcher]}/{request.class_name}/x"
        try:
            async with (
                asyncio.timeout(EXPIRY_MS / 1000.0 + 1.0),
                session.post(url, data=b"x", headers=headers) as told,
            ):
                await told.read()
                how = str(told.status)
        except (aiohttp.ClientError, OSError, TimeoutError):
            how = "no answer"
        passed_ms = (asyncio.get_running_loop().time() - begun - request.at_s) * 1000.0
        in_time = how == "200" and passed_ms <= DUE_MS + STRETCH * request.run_ms
        payoff = CATEGORIES[request.class_name][1]
        self.answered.append(Answered(request.at_s, request.zone, payoff, in_time, how))


async def watch(fleet: Fleet, begun: float, wall: float, found: dict[str, Any]) -> None:
    """See when all dispatchers go by a plan that has left the zone, and when it is near again."""
    loop, size = asyncio.get_running_loop(), fleet.size
    left = 0
    while True:
        await asyncio.sleep(0.1)
        now = loop.time() - begun
        told = await fleet.plan()
        if not told:
            continue
        state = next((zone["state"] for zone in told["zones"] if zone["name"] == LOST), "near")
        if state != "near" and not left:
            left, found["decided s"] = told["plan"]["number"], now - size.lost_s
        if left and "acted s" not in found:
            reports = [await fleet.report(name) for name in fleet.names]
            if all([one is not None and one["plan"][1] >= left for one in reports]):
                found["acted s"] = loop.time() - begun - size.lost_s
        if "acted s" in found and "tried s" not in found and state not in ("left", "barred"):
            # When that was decided, not when it was seen here: a busy machine sees it late.
            found["tried s"] = (told["plan"]["at"] - wall) / 1000.0 - size.lost_s
        if "tried s" in found and state == "near" and "near s" not in found:
            found["near s"] = now - size.lost_s


async def lose(fleet: Fleet, begun: float, lists: list[Catalog]) -> None:
    """Have the zone fall silent, and come back cold."""
    loop, size = asyncio.get_running_loop(), fleet.size
    await asyncio.sleep(max(0.0, begun + size.lost_s - loop.time()))
    fleet.signal(f"site-{LOST}", signal.SIGSTOP)
    await asyncio.sleep(max(0.0, begun + size.back_s - loop.time()))
    fleet.signal(f"site-{LOST}", signal.SIGKILL)
    await fleet.processes[f"site-{LOST}"].wait()
    since = time.time() * 1000.0
    await fleet.start_site(LOST, since)
    for each in lists:
        for name in fleet.workers[LOST]:
            each.change(name, up_since_ms=since)


async def run(way: str, size: Size, seed: int, folder: Path) -> dict[str, Any]:
    """One run; its figures."""
    fleet = Fleet(folder, way, size)
    found: dict[str, Any] = {"way": way, "seed": seed}
    async with contextlib.AsyncExitStack() as stack:
        lists: list[Catalog] = []
        discovery: dict[str, str] = {}
        for zones in [(zone,) for zone in ZONES] if way == "fixed" else [ZONES]:
            here, address = await stack.enter_async_context(serve_catalog(fleet.members(zones)))
            lists.append(here)
            discovery |= dict.fromkeys(zones, address)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        fleet.write(discovery)
        clients = Clients(fleet, seed)
        tasks: list[asyncio.Task] = []
        try:
            await fleet.start_all()
            begun, wall = asyncio.get_running_loop().time(), time.time() * 1000.0
            hers = [each for each in lists if any([one["locality"] == LOST for one in each.members])]
            tasks.append(asyncio.create_task(lose(fleet, begun, hers)))
            if way == "common":
                tasks.append(asyncio.create_task(watch(fleet, begun, wall, found)))
            await clients.run(begun, session)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await fleet.close()
    return found | figures(fleet, clients.answered, wall, found)


def part(some: list[Answered]) -> float:
    """The part of the payoff that was answered in time."""
    asked = sum([one.payoff for one in some])
    return sum([one.payoff * one.in_time for one in some]) / asked if asked else 1.0


def recovered(answered: list[Answered], size: Size, calm: float) -> float:
    """Seconds from the loss until nine tenths of what was in time before is so again until the return."""
    bins: dict[int, list[Answered]] = defaultdict(list)
    for one in answered:
        if size.lost_s <= one.at < size.back_s:
            bins[int((one.at - size.lost_s) / BIN_S)].append(one)
    bad = [number for number, some in bins.items() if part(some) < 0.9 * calm]
    return (max(bad) + 1) * BIN_S if bad else 0.0


def sent_to_lost(fleet: Fleet, wall: float) -> list[float]:
    """When hand-offs were sent to workers of the lost zone, in seconds since clients began."""
    return [
        (told.ms - wall) / 1000.0
        for name in fleet.names
        for told in lines_of(fleet.folder / f"{name}.log")
        if told.words[0] == "sent" and told.words[2] in fleet.workers[LOST]
    ]


def figures(fleet: Fleet, answered: list[Answered], wall: float, found: dict[str, Any]) -> dict[str, Any]:
    """What clients, workers and dispatchers saw."""
    size = fleet.size
    spans = {
        "calm": (1.0, size.lost_s),
        "loss": (size.lost_s, size.back_s),
        "return": (size.back_s, size.end_s),
    }
    told: dict[str, Any] = {}
    for name, (first, last) in spans.items():
        told[f"in time {name}"] = part([one for one in answered if first <= one.at < last])
    calm = told["in time calm"]
    told["recovered s"] = recovered(answered, size, calm)
    told["no answer"] = sum([one.how == "no answer" for one in answered])
    told["items"] = len(answered)
    crossed = sent = full = over = 0
    for zone in ZONES:
        for what, at, *rest in fleet.lines(zone):
            since = (float(at) - wall) / 1000.0
            if what == "sent" and 1.0 <= since < size.lost_s:
                sent += 1
                crossed += fleet.names[rest[0]] != zone
            full += what == "full" and zone != LOST and size.lost_s <= since < size.back_s
            over += what == "over"
    told["crossed calm"] = crossed / sent if sent else 0.0
    to_lost = sent_to_lost(fleet, wall)
    told["sent there while lost"] = sum([size.lost_s <= at < size.back_s for at in to_lost])
    if "tried s" in found:
        first, last = found["acted s"] + GRACE_S, found["tried s"] - GRACE_S
        told["sent to the left zone"] = sum([first <= at - size.lost_s < last for at in to_lost])
    told["full answers of survivors"] = full
    told["cold pushed over"] = over
    return told


def broken(one: dict[str, Any]) -> list[str]:
    """What of docs/failover.md did not hold in a run; machines that are busy are allowed for."""
    wrong = []
    if one["no answer"]:
        wrong.append(f"{one['no answer']} items had no answer")
    if one["cold pushed over"]:
        wrong.append(f"{one['cold pushed over']} times a cold worker was pushed over")
    if one["way"] == "common":
        if one.get("acted s", 99.0) > 6.0:
            wrong.append("not all dispatchers acted within 6 s")
        if one.get("sent to the left zone"):
            wrong.append(f"{one['sent to the left zone']} hand-offs to the zone after it was left")
        if "near s" not in one:
            wrong.append("the zone did not become near again")
        elif one["near s"] - one["tried s"] > WHOLE_S:
            wrong.append(f"the zone took over {WHOLE_S:.0f} s from its first trial to near")
        if one["crossed calm"] > 0.05:
            wrong.append(f"{one['crossed calm']:.2f} crossed zones on a calm day")
    return wrong


def line_of(one: dict[str, Any]) -> str:
    """A run's figures as a line."""
    told = {name: f"{value:.2f}" if isinstance(value, float) else value for name, value in one.items()}
    return ", ".join([f"{name} {value}" for name, value in told.items()])


def plot(runs: list[dict[str, Any]], path: str) -> None:
    """The part in time by way and span, with each run as a point."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = ["in time calm", "in time loss", "in time return"]
    figure, axes = pyplot.subplots(figsize=(6.0, 3.2))
    ways = [way for way in WAYS if any([one["way"] == way for one in runs])]
    for number, way in enumerate(ways):
        some = [one for one in runs if one["way"] == way]
        places = [at + 0.25 * (number - 1) for at in range(len(names))]
        means = [sum([one[name] for one in some]) / len(some) for name in names]
        axes.bar(places, means, 0.22, label=way)
        for place, name in zip(places, names, strict=True):
            axes.plot([place] * len(some), [one[name] for one in some], "k.", markersize=3)
    axes.set_xticks(range(len(names)), [name.removeprefix("in time ") for name in names])
    axes.set_ylabel("payoff in time")
    axes.set_ylim(0.0, 1.05)
    axes.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main(arguments: list[str] | None = None) -> int:
    """Run the measurement; 0 where nothing promised was broken, 1 where something was."""
    from dunepulley.model.command import parse_seeds

    parser = argparse.ArgumentParser(description="A zone is lost and comes back cold.")
    parser.add_argument("--small", action="store_true", help="the common way once, under 45 s")
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1"))
    parser.add_argument("--ways", default=",".join(WAYS), help="some of common, alone, fixed")
    parser.add_argument("--csv", help="where to write the figures")
    parser.add_argument("--plot", help="where to draw them (needs matplotlib: requirements-measure.txt)")
    chosen = parser.parse_args(arguments)
    ways = ["common"] if chosen.small else chosen.ways.split(",")
    if not set(ways) <= set(WAYS):
        parser.error(f"ways are {', '.join(WAYS)}")
    runs, wrong = [], []
    for seed in chosen.seeds[:1] if chosen.small else chosen.seeds:
        for way in ways:
            with tempfile.TemporaryDirectory() as folder:
                size = SMALL if chosen.small else FULL
                one = asyncio.run(run(way, size, seed, Path(folder)))
            runs.append(one)
            wrong += [f"{way}, seed {seed}: {each}" for each in broken(one)]
            if not chosen.small:
                print(line_of(one), flush=True)
    if chosen.csv:
        names = list(dict.fromkeys([name for one in runs for name in one]))
        with Path(chosen.csv).open("w", newline="") as file:
            out = csv.DictWriter(file, names)
            out.writeheader()
            for one in runs:
                out.writerow({name: round(v, 4) if isinstance(v, float) else v for name, v in one.items()})
    if chosen.plot:
        plot(runs, chosen.plot)
    for each in wrong:
        print(f"broken: {each}")
    print(line_of(runs[-1]) if chosen.small else f"{len(runs)} runs, {len(wrong)} promises broken")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
