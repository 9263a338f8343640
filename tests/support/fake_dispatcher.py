"""A fake dispatcher for agents: an admin interface whose reports a test sets."""

from __future__ import annotations

import asyncio
import json
import os
import time
from typing import Any

ATTEMPTS_PER_REPORT = 20
# A zone's state while no plan is in force, and while the plan in force does not name the zone.
NO_PLAN, NOT_IN_PLAN = "alone", "near"
# The order of a zone's numbers in a report.
REPORT_FIELDS = ("workers", "sick", "slots", "warm", "out", "sent", "lost")


class FakeDispatcher:
    """An admin interface that reports what a test sets, and stores the plans that agents push.

    `plan` is the newest plan, in force until `until` by the monotonic clock in ms; `numbers` holds every
    pushed plan by number.
    """

    def __init__(self, name: str, home_zone: str) -> None:
        self.name, self.home_zone = name, home_zone
        self.zones: dict[str, dict[str, float]] = {}
        self.started_s = time.monotonic()
        self.plan: dict[str, Any] | None = None
        self.until = 0.0
        self.numbers: dict[int, dict[str, Any]] = {}

    async def __aenter__(self) -> FakeDispatcher:
        self.server = await asyncio.start_server(self._call, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()

    async def _call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        command, _, rest = (await reader.readline()).decode().strip().partition(" ")
        answer = {"name": self.name, "pid": os.getpid(), "version": "x", "leaving": "", "drains": [1e14, 1]}
        if command == "PLAN":
            pushed = json.loads(rest)
            if pushed.get("plan") is not None:
                self._apply_plan(pushed["plan"], pushed["until"])
            answer = self._report()
        writer.write(b"200 " + json.dumps(answer).encode() + b"\n")
        writer.close()

    def _apply_plan(self, plan: dict[str, Any], until: float) -> None:
        number = plan["number"]
        assert self.numbers.setdefault(number, plan) == plan, f"two different plans with number {number}"
        if self.plan is None or number >= self.plan["number"]:
            self.plan, self.until = plan, until

    def _report(self) -> dict[str, Any]:
        """The report: 20 more attempts at each zone, some of them lost, and work that fills two slots."""
        for zone in self.zones.values():
            zone["sent"] += ATTEMPTS_PER_REPORT
            zone["lost"] += ATTEMPTS_PER_REPORT * zone["bad"]
        return {
            "name": self.name,
            "home": self.home_zone,
            "process": 1,
            "how": "by plan",
            "plan": [1, self.plan["number"] if self.plan else 0],
            "escapes": 0,
            "work": 2.0 * (time.monotonic() - self.started_s) * 1000.0,
            "refused": 0,
            "zones": {name: [zone[field] for field in REPORT_FIELDS] for name, zone in self.zones.items()},
        }

    def set_zone_report(
        self, name: str, bad: float = 0.0, workers: int = 4, slots: float = 16.0, demand: float = 2.0
    ) -> None:
        """Report a zone with these numbers from now on; `bad` is the fraction of attempts that are lost."""
        previous = self.zones.get(name, {"sent": 0, "lost": 0})
        report = {"workers": workers, "sick": 0, "slots": slots, "warm": slots, "out": demand, "bad": bad}
        self.zones[name] = report | {"sent": previous["sent"], "lost": previous["lost"]}

    def state(self, zone: str) -> str:
        """A zone's state by the plan in force."""
        if self.plan is None or self.until < time.monotonic() * 1000.0:
            return NO_PLAN
        states = {planned["name"]: planned["state"] for planned in self.plan["zones"]}
        return states.get(zone, NOT_IN_PLAN)
