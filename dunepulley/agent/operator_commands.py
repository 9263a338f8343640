"""The operators' commands on the dispatchers of this host: decodes requests and builds the replies."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from dunepulley.agent import results
from dunepulley.agent.admin_call import NoAnswerError
from dunepulley.agent.command_request import CommandRequest
from dunepulley.agent.dispatcher import Dispatcher
from dunepulley.agent.drain_distribution import DrainDistributor
from dunepulley.agent.drain_store import DrainStore
from dunepulley.agent.results import DispatcherResult, ResultState
from dunepulley.agent.rolling_restart import RollingRestart
from dunepulley.agent.server import Handler
from dunepulley.clocks import Clock
from dunepulley.control import drain_json, drains
from dunepulley.control.drains import DrainSet

# How long a command waits for dispatchers to apply a change of the drains: the default and the maximum.
_APPLY_S, _MAX_APPLY_S = 5.0, 60.0
# A restart may take as long as the longest request.
_RESTART_S, _MAX_RESTART_S = 60.0, 3600.0


class OperatorCommands:
    """Handlers of `ctl`'s commands; `handlers` has them by their names on the wire."""

    def __init__(
        self,
        dispatchers: Mapping[str, Dispatcher],
        store: DrainStore,
        distributor: DrainDistributor,
        rolling_restart: RollingRestart,
        clock: Clock,
    ) -> None:
        """Create handlers that act on these parts of an agent; expiries of drains are by `clock`."""
        self._dispatchers = dispatchers
        self._store = store
        self._distributor = distributor
        self._rolling_restart = rolling_restart
        self._clock = clock
        self.handlers: dict[str, Handler] = {
            "list": self._list,
            "show": self._show,
            "worker": self._show_endpoint,
            "drains": self._list_drains,
            "drain": self._drain,
            "restore": self._restore,
            "leave": self._leave,
            "join": self._join,
            "restart": self._restart,
        }

    # Inspection.

    async def _list(self, message: dict[str, Any]) -> dict[str, Any]:
        """Reply with the process and a few metrics of each dispatcher."""
        selected = CommandRequest(message).select(self._dispatchers)
        return results.to_reply(await results.call_each(selected, self._summarise))

    async def _summarise(self, dispatcher: Dispatcher) -> DispatcherResult:
        metrics = await dispatcher.metrics()
        process = dispatcher.process
        if process is None:
            raise NoAnswerError(dispatcher.last_error)
        fields = {
            "pid": process.pid,
            "version": process.version,
            "console": process.admin_address,
            "leaving": process.leaving,
            "drains": process.drain_version[1],
            "behind": not dispatcher.has_drains(self._store.drains),
            "busy": dispatcher.operation,
            "current": metrics.get("current"),
            "workers": metrics.get("cluster_size"),
            "avoided": metrics.get("cluster_unhealthy"),
        }
        return DispatcherResult(dispatcher.name, fields=fields)

    async def _show(self, message: dict[str, Any]) -> dict[str, Any]:
        """Reply with all endpoints and all metrics of each dispatcher."""

        async def show(dispatcher: Dispatcher) -> DispatcherResult:
            views = await dispatcher.endpoints()
            metrics = await dispatcher.metrics()
            fields = {"needs": views.kind_by_class, "workers": views.endpoints, "figures": metrics}
            return DispatcherResult(dispatcher.name, fields=fields)

        selected = CommandRequest(message).select(self._dispatchers)
        return results.to_reply(await results.call_each(selected, show))

    async def _show_endpoint(self, message: dict[str, Any]) -> dict[str, Any]:
        """Reply with one endpoint as each dispatcher sees it."""
        endpoint_id = CommandRequest(message).endpoint_id()

        async def show(dispatcher: Dispatcher) -> DispatcherResult:
            views = await dispatcher.endpoints()
            matching = [view for view in views.endpoints if view.get("id") == endpoint_id]
            if not matching:
                return results.detail(dispatcher, ResultState.REFUSED, "not in its list")
            return DispatcherResult(dispatcher.name, fields={"worker": matching[0]})

        return results.to_reply(await results.call_each(self._dispatchers.values(), show))

    async def _list_drains(self, message: dict[str, Any]) -> dict[str, Any]:
        """Reply with the drains in force, those that have ended, and each dispatcher's revision."""
        in_force = tuple(self._store.drains.in_force(self._clock()))
        listed_drains = self._store.drains._replace(drains=in_force)
        reply = drain_json.encode_drain_set(listed_drains, self._clock) | self._unwritten()

        async def show(dispatcher: Dispatcher) -> DispatcherResult:
            if dispatcher.process is None:
                raise NoAnswerError(dispatcher.last_error)
            up_to_date = dispatcher.has_drains(self._store.drains)
            state = ResultState.DONE if up_to_date else ResultState.UNKNOWN
            revision = dispatcher.process.drain_version[1]
            fields = {"drains": revision, "told": dispatcher.drains_sent_ms}
            return DispatcherResult(dispatcher.name, state, fields)

        return reply | results.to_reply(await results.call_each(self._dispatchers.values(), show))

    # Drains.

    async def _drain(self, message: dict[str, Any]) -> dict[str, Any]:
        """Set a drain, unless a dispatcher would be left without an endpoint for a request class."""
        request = CommandRequest(message)
        duration_ms = request.drain_seconds() * 1000.0
        drain = request.drain()
        async with self._store.lock:
            now_ms = self._clock()
            drain = drain._replace(expires_ms=now_ms + duration_ms)
            over_revision, wall_ms = request.over_revision(), self._clock.to_wall_ms(now_ms)
            new_drains = drains.set_drain(self._store.drains, drain, now_ms, over_revision, wall_ms)
            if not request.flag("force"):
                await self._distributor.check_effect(drain, new_drains, now_ms)
            return await self._apply(request, new_drains, f"drain {drain.target_kind} {drain.target}")

    async def _restore(self, message: dict[str, Any]) -> dict[str, Any]:
        """Remove a drain."""
        request = CommandRequest(message)
        drain = request.drain_to_restore()
        async with self._store.lock:
            now_ms, over_revision = self._clock(), request.over_revision()
            new_drains = drains.restore(
                self._store.drains,
                drain.target_kind,
                drain.target,
                drain.operator,
                now_ms,
                over_revision,
                self._clock.to_wall_ms(now_ms),
            )
            return await self._apply(request, new_drains, f"restore {drain.target_kind} {drain.target}")

    async def _apply(self, request: CommandRequest, new_drains: DrainSet, summary: str) -> dict[str, Any]:
        """Put a set in force, and reply which dispatchers have reported it; with `check` do nothing."""
        timeout_s = request.seconds("limit_s", _APPLY_S, _MAX_APPLY_S)
        if request.flag("check"):
            return {"ok": True, "dispatchers": []}
        reply = results.to_reply(await self._distributor.apply(new_drains, timeout_s, summary))
        # If the set is in force but not durable, the operator's command is not complete.
        return reply | ({"ok": False} | self._unwritten() if self._store.durability_error else {})

    def _unwritten(self) -> dict[str, Any]:
        return {"unwritten": self._store.durability_error} if self._store.durability_error else {}

    # Dispatchers.

    async def _leave(self, message: dict[str, Any]) -> dict[str, Any]:
        """Have dispatchers stop accepting clients and drain the connected ones."""
        return await self._call_selected(message, "LEAVE")

    async def _join(self, message: dict[str, Any]) -> dict[str, Any]:
        """Have dispatchers accept clients again."""
        return await self._call_selected(message, "JOIN")

    async def _call_selected(self, message: dict[str, Any], line: str) -> dict[str, Any]:
        async def call(dispatcher: Dispatcher) -> DispatcherResult:
            answer = await dispatcher.call_admin(line)
            state = ResultState.DONE if answer.ok else ResultState.REFUSED
            return results.detail(dispatcher, state, answer.text)

        selected = CommandRequest(message).select(self._dispatchers)
        return results.to_reply(await results.call_each(selected, call))

    async def _restart(self, message: dict[str, Any]) -> dict[str, Any]:
        """Restart dispatchers one after the other; with `check` do nothing."""
        request = CommandRequest(message)
        selected = request.select(self._dispatchers)
        timeout_s = request.seconds("limit_s", _RESTART_S, _MAX_RESTART_S)
        if request.flag("check"):
            return {"ok": True, "dispatchers": []}
        return results.to_reply(await self._rolling_restart.run(selected, timeout_s))
