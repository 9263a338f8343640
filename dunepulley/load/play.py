"""Plays a day's traffic or a trace against real dispatchers, with the model's workers in real time."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import functools
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
import numpy as np
from aiohttp import web

from dunepulley.load import trace
from dunepulley.load.local import RealTime, call_back, discovery, free_ports, member, serve
from dunepulley.model import compare
from dunepulley.model import day as days
from dunepulley.model.worker import Job, Worker
from dunepulley.model.world import World, spread_out

# What of a day can be played with sockets; the rest needs a list that changes.
PLAYED = ("slow", "neighbour", "heavy", "late reports")
READY_S = 30.0
MOST_S = 600.0
# Of a dispatcher's process; the day says nothing of it.
SOCKETS = 1024
# Before a callback that was not answered is sent again.
PAUSE_S = 0.05


class Due(NamedTuple):
    """One item to send: the moment it is due, and how long it runs at a worker of speed 1."""

    at: float
    category: str
    budget: float
    hint: float
    size: int
    work: float
    home: int


class Workers:
    """The day's workers behind sockets."""

    def __init__(self, day: days.Day, world: World, due: dict[str, Due], listen: list[str]) -> None:
        self.day, self.due, self.listen = day, due, listen
        self.time = RealTime()
        self.workers = {
            name: Worker(self.time, name, w.zone, w.kind, w.cell, w.slots, w.most, w.speed)
            for name, w in world.workers.items()
        }
        self.jobs: dict[tuple[str, str], Job] = {}
        self.shots: dict[str, list[tuple[float, dict[str, float]]]] = {name: [] for name in self.workers}
        self.late = 0.0
        self.runs: dict[str, int] = {}
        self.runners: list[web.ServerRunner] = []
        self.members: list[dict[str, Any]] = []
        self.tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> Workers:
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        for name, worker in self.workers.items():
            runner, address = await serve(functools.partial(self._serve, worker))
            self.runners.append(runner)
            self.members.append(member(name, address, worker.zone, worker.kind, worker.cell))
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for runner in self.runners:
            await runner.cleanup()
        await self.session.close()

    async def _serve(self, worker: Worker, request: web.BaseRequest) -> web.Response:
        if request.method == "DELETE":
            job = self.jobs.get((worker.name, request.path.rpartition("/")[2]))
            if job is not None:
                worker.drop(job, self.day.cancel)
            return web.Response(status=204)
        if request.method != "POST":
            return web.Response(status=404)
        await request.read()
        wi = request.headers.get("X-Call-Id", "")
        due = self.due.get(wi)
        if due is None:
            return web.Response(status=400)
        job = Job(wi, due.work, 1.0, functools.partial(self._tell, worker, wi, due.home))
        if not worker.offer(job):
            return web.Response(status=503, headers={"X-Rejected": "1"})
        self.jobs[worker.name, wi] = job
        return web.Response(status=202)

    def _tell(self, worker: Worker, wi: str, home: int, what: str) -> None:
        if what == "began":
            self.runs[wi] = self.runs.get(wi, 0) + 1
            if not self.day.tells_start:
                return
        told: dict[str, Any] = {"id": wi, "from": worker.name}
        told["state"] = {"began": "started", "finished": "done"}.get(what, "lost")
        if what == "finished":
            told |= {"result": "made", "load": self._report(worker)}
        if what != "began":
            self.jobs.pop((worker.name, wi), None)
        task = asyncio.create_task(call_back(self.session, self.listen[home], told, PAUSE_S))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _report(self, worker: Worker) -> dict[str, float]:
        """As in the model: refreshed now and then, some way behind."""
        now, shots = self.time.now, self.shots[worker.name]
        if not shots or now - shots[-1][0] >= self.day.report_period_ms:
            told = worker.report()
            shots.append((now, {"qps": told["rate"], "queue": told["queue"], "x0": told["x0"]}))
        while len(shots) > 1 and shots[1][0] <= now - self.day.report_delay_ms - self.late:
            shots.pop(0)
        return shots[0][1]

    def trouble(self, begin: float, world: World) -> None:
        """Set up what goes wrong from a moment on, as in the model."""
        for at, name, cause, factor in world.speeds:
            self.time.at(begin + at, functools.partial(self.workers[name].set_factor, cause, factor))
        for each in self.day.troubles:
            if each.kind == "late reports":
                for at, late in ((each.from_s, each.size), (each.to_s, 0.0)):
                    self.time.at(begin + at * 1000.0, functools.partial(setattr, self, "late", late))


def due_of(day: days.Day, world: World) -> dict[str, Due]:
    """The items that the model would see, by id."""
    return {
        wi: Due(at, category.name, category.expiry_ms, work if day.hints else 0.0, 64, work, home)
        for wi, at, category, work, home in world.planned
    }


def due_of_trace(day: days.Day, came: list[trace.Came], seed: int) -> dict[str, Due]:
    """The items of a trace; what they run is their hint, or drawn from the day's category."""
    draw = np.random.default_rng(seed)
    known = {category.name: category for category in day.categories}
    due = {}
    for number, each in enumerate(came):
        category = known.get(each.category)
        if category is None:
            raise trace.TraceError(f"line {number + 2}: the day has no category {each.category}")
        drawn = category.work_ms * float(spread_out(draw.normal(), category.work_cv))
        home = int(draw.integers(0, day.dispatchers))
        work = each.hint or drawn
        due[f"i{number}"] = Due(each.at, each.category, each.budget, each.hint, each.size, work, home)
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


def told_of(day: days.Day, seed: int, me: int, settings: dict[str, Any], **more: Any) -> dict[str, Any]:
    """A dispatcher's configuration."""
    return {
        "name": f"n{me}",
        "seed": f"{seed * 1009 + me:x}",
        "limits": {"sockets": SOCKETS},
        "settings": nested(days.settings_of(day, me) | settings),
    } | more


async def play(
    day: days.Day, seed: int, settings: dict[str, Any], came: list[trace.Came] | None
) -> dict[str, Any]:
    """One run; what clients saw."""
    world = World(day, seed)
    due = due_of(day, world) if came is None else due_of_trace(day, came, seed)
    listen = [f"127.0.0.1:{port}" for port in free_ports(day.dispatchers)]
    with tempfile.TemporaryDirectory() as folder:
        async with Workers(day, world, due, listen) as workers, discovery(workers.members) as agent:
            processes = []
            try:
                for me in range(day.dispatchers):
                    known = {"revision": 1, "complete": True, "members": workers.members}
                    addresses = {"listen": listen[me], "discovery": agent}
                    told = told_of(day, seed, me, settings, known=known, **addresses)
                    path = Path(folder) / f"n{me}.json"
                    path.write_text(json.dumps(told))
                    command = [sys.executable, "-m", "dunepulley", "serve", "--config", str(path)]
                    with open(Path(folder) / f"n{me}.log", "wb") as log:
                        environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
                        processes.append(
                            await asyncio.create_subprocess_exec(*command, stderr=log, env=environment)
                        )
                return await _send(day, world, due, listen, workers) | {"seed": seed}
            finally:
                for process in processes:
                    with contextlib.suppress(ProcessLookupError):
                        process.kill()
                await asyncio.gather(*[process.wait() for process in processes])


async def _send(
    day: days.Day, world: World, due: dict[str, Due], listen: list[str], workers: Workers
) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    categories = {category.name: category for category in day.categories}
    answers: dict[str, int] = {}
    took: list[float] = []
    lags: list[float] = []
    asked = earned = 0.0
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        async with asyncio.timeout(READY_S):
            for address in listen:
                while True:
                    with contextlib.suppress(aiohttp.ClientError, OSError):
                        async with session.get(f"http://{address}/_health") as told:
                            if told.status == 200:
                                break
                    await asyncio.sleep(0.05)
        begin = loop.time() + 0.1
        workers.trouble(begin * 1000.0, world)

        async def one(wi: str, item: Due) -> None:
            nonlocal earned
            category = categories[item.category]
            at = begin + item.at / 1000.0
            lags.append((loop.time() - at) * 1000.0)
            headers = {"X-Call-Id": wi, "X-Budget-Ms": str(max(1, int(item.budget))), "Idempotency-Key": wi}
            if item.hint:
                headers["X-Call-Cost"] = str(int(item.hint * 1000.0))
            url, body = f"http://{listen[item.home]}/{item.category}/{wi}", b"x" * item.size
            try:
                async with (
                    asyncio.timeout(item.budget / 1000.0 + 1.0),
                    session.post(url, data=body, headers=headers) as told,
                ):
                    await told.read()
                    how = str(told.status)
            except (aiohttp.ClientError, OSError, TimeoutError):
                how = "no answer"
            answers[how] = answers.get(how, 0) + 1
            if how == "200":
                # From when it was due, however late it could be sent.
                passed = (loop.time() - at) * 1000.0
                took.append(passed)
                earned += category.payoff * (passed <= category.due_ms + category.stretch * item.work)

        tasks = []
        for wi, item in sorted(due.items(), key=lambda pair: pair[1].at):
            asked += categories[item.category].payoff
            await asyncio.sleep(max(0.0, begin + item.at / 1000.0 - loop.time()))
            tasks.append(asyncio.create_task(one(wi, item)))
        await asyncio.gather(*tasks)
    twice = [wi for wi, runs in workers.runs.items()
             if runs > 1 and categories[due[wi].category].effect == "exclusive"]  # fmt: skip
    return {
        "payoff": earned / asked if asked else 1.0,
        "items": len(due),
        "answers": answers,
        "answered after ms": [round(float(np.percentile(took, at)), 1) for at in (50, 99)] if took else [],
        "sent late by ms": [round(float(np.percentile(lags, at)), 1) for at in (50, 99)],
        "broken": [f"twice: {wi}" for wi in twice],
    }


def run(chosen: argparse.Namespace) -> int:
    """Carry out `dunepulley load`; 1 where a rule was broken, 2 where words or files cannot be used."""
    try:
        day = days.read(chosen.day)
        settings = compare.settings_in(chosen.settings) if chosen.settings else {}
        came = trace.read(chosen.trace) if chosen.trace else None
        odd = [each.kind for each in day.troubles if each.kind not in PLAYED]
        if odd:
            raise ValueError(f"{chosen.day}: {odd[0]} can be played in the model only")
        longest = max(day.seconds, came[-1].at / 1000.0 if came else 0.0)
        if longest > MOST_S:
            raise ValueError(f"{longest:g} s are more than the {MOST_S:g} s that are played")
    except (days.UnusableError, trace.TraceError, ValueError) as problem:
        print(f"dunepulley: {problem}", file=sys.stderr)
        return 2
    found = []
    for seed in chosen.seeds:
        begun = time.monotonic()
        try:
            found.append(asyncio.run(play(day, seed, settings, came)))
        except trace.TraceError as problem:
            print(f"dunepulley: {chosen.trace}: {problem}", file=sys.stderr)
            return 2
        if not chosen.json:
            one = found[-1]
            print(f"seed {seed:<5} payoff {one['payoff']:.4f}  {one['answers']}", end="  ")
            print(f"answered after {one['answered after ms']} ms", end=", ")
            print(f"sent late by {one['sent late by ms']} ms, {time.monotonic() - begun:.0f} s")
    if chosen.json:
        print(json.dumps(found, indent=2))
    return 1 if any([one["broken"] for one in found]) else 0
