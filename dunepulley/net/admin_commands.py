"""The commands of the admin interface."""

from __future__ import annotations

import os
from typing import Any

import orjson

from dunepulley import VERSION
from dunepulley.control import drain_json
from dunepulley.net import metrics, shutdown
from dunepulley.net.admin import Command, CommandWithArgument, Reply
from dunepulley.net.config import DispatcherConfig
from dunepulley.net.core import Core
from dunepulley.net.counters import Counters
from dunepulley.net.frontend.server import DRAINED, FrontendServer
from dunepulley.net.hot_restart import HotRestart
from dunepulley.net.messages import (
    DrainsChanged,
    EndpointCountRequested,
    EndpointsRequested,
    PlanReceived,
    ZoneReportRequested,
)

# Ends a reply of several lines.
END_OF_LINES = "EOF"
# Older than that of any set of drains: an agent then sends its own.
NO_DRAINS_VERSION = (0.0, 0)


def _json(value: Any) -> str:
    return orjson.dumps(value).decode()


class AdminCommands:
    """Implements the commands on one dispatcher; each coroutine is the command of the same name."""

    def __init__(
        self,
        config: DispatcherConfig,
        core: Core,
        frontend: FrontendServer,
        counters: Counters,
        hot_restart: HotRestart,
    ) -> None:
        self.config = config
        self.core = core
        self.frontend = frontend
        self.counters = counters
        self.hot_restart = hot_restart

    def commands(self) -> dict[str, Command]:
        """Return the commands without an argument, by name."""
        return {
            "HEALTH": self.health,
            "DUMP": self.dump,
            "LEAVE": self.leave,
            "JOIN": self.join,
            "WHO": self.who,
            "WORKERS": self.workers,
        }

    def commands_with_argument(self) -> dict[str, CommandWithArgument]:
        """Return the commands that may have an argument, by name."""
        commands: dict[str, CommandWithArgument] = {"DRAINS": self.drains}
        if self.config.follows_plan:
            commands["PLAN"] = self.plan
        return commands

    async def health(self) -> Reply:
        """HEALTH: report whether this dispatcher accepts clients, and if not, the reason."""
        if self.frontend.accepts_clients():
            return Reply(True, "ready")
        return Reply(False, self.frontend.drain_state or "no worker is known that takes work")

    async def dump(self) -> Reply:
        """DUMP: print all metrics, one per line."""
        endpoints, avoided = await self.core.ask(EndpointCountRequested)
        lines = metrics.dump_lines(
            self.counters, self.frontend.requires_key, len(self.frontend.waiting), endpoints, avoided
        )
        return Reply(True, "\n".join(["figures", *lines, END_OF_LINES]))

    async def leave(self) -> Reply:
        """LEAVE: drain this dispatcher."""
        self.frontend.leave(DRAINED, shutdown.LATE_CONNECTION_WINDOW_S)
        return Reply(True, self.frontend.drain_state)

    async def join(self) -> Reply:
        """JOIN: accept clients again after LEAVE."""
        joined = self.frontend.join()
        return Reply(joined, "joined" if joined else self.frontend.drain_state)

    async def who(self) -> Reply:
        """WHO: print the name and version of the process, and whether it drains."""
        return Reply(
            True,
            _json(
                {
                    "name": self.config.name,
                    "pid": os.getpid(),
                    "version": VERSION,
                    "leaving": self.frontend.drain_state,
                    "drains": self._drains_version(),
                }
            ),
        )

    def _drains_version(self) -> tuple[float, int]:
        """Return the version of the drains that this dispatcher, which may be two processes, applies."""
        is_applied = self.hot_restart.has_shared_drains()
        return self.core.endpoints.drains.version if is_applied else NO_DRAINS_VERSION

    async def workers(self) -> Reply:
        """WORKERS: print the state of each endpoint here, and the kinds that request classes require."""
        endpoints, required_kinds = (await self.core.ask(EndpointsRequested)).to_wire()
        return Reply(
            True, "\n".join([_json({"needs": required_kinds}), *map(_json, endpoints), END_OF_LINES])
        )

    async def drains(self, argument: str) -> Reply:
        """DRAINS: print the drains in force; with an argument, replace them unless the new ones are older."""
        if not argument:
            return Reply(
                True, _json(drain_json.encode_drain_set(self.core.endpoints.drains, self.core.clock))
            )
        try:
            requested = drain_json.decode_drain_set(orjson.loads(argument), self.core.clock)
        except ValueError as error:
            return Reply(False, f"no set of drains: {error}".replace("\n", " "))
        accepted = await self.core.ask(DrainsChanged, requested)
        if accepted and not await self.hot_restart.share_drains():
            return Reply(False, "the other process of a hot restart has not confirmed the drains")
        return Reply(accepted, f"revision {self.core.endpoints.drains.revision} is in hand")

    async def plan(self, argument: str) -> Reply:
        """PLAN: follow the traffic plan in the argument, unless it is older; print the zone statistics."""
        # Imported only here: most dispatchers follow no plan.
        from dunepulley.net.plan_message import parse_plan

        try:
            lease = parse_plan(orjson.loads(argument or "{}"), self.core.clock)
        except ValueError as error:
            return Reply(False, f"no plan: {error}".replace("\n", " "))
        if lease is not None:
            await self.core.ask(PlanReceived, lease)
        observed = (await self.core.ask(ZoneReportRequested)).to_wire()
        process = {
            "name": self.config.name,
            "process": os.getpid(),
            "home": str(self.config.settings.get("zone", "")),
        }
        return Reply(True, _json(process | observed))
