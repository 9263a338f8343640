"""A rolling restart: dispatchers are restarted one after the other, until the first failure."""

from __future__ import annotations

from collections.abc import Iterable

from dunepulley.agent.admin_call import NoAnswerError
from dunepulley.agent.dispatcher import Dispatcher
from dunepulley.agent.drain_store import DrainStore
from dunepulley.agent.restart import restart
from dunepulley.agent.results import DispatcherResult, ResultState, detail

_OPERATION = "restart"


class RollingRestart:
    """Restarts dispatchers, and sends each new process the drains in force."""

    def __init__(self, store: DrainStore) -> None:
        """Send the set of `store` to new processes."""
        self._store = store

    async def run(self, dispatchers: Iterable[Dispatcher], timeout_s: float) -> list[DispatcherResult]:
        """Restart dispatchers in this order, each within `timeout_s`; after a failure refuse the others."""
        results: list[DispatcherResult] = []
        for dispatcher in dispatchers:
            if results and results[-1].state != ResultState.DONE:
                results.append(detail(dispatcher, ResultState.REFUSED, "not begun"))
            elif dispatcher.operation:
                text = f"another {dispatcher.operation} is under way"
                results.append(detail(dispatcher, ResultState.REFUSED, text))
            else:
                results.append(await self._restart(dispatcher, timeout_s))
        return results

    async def _restart(self, dispatcher: Dispatcher, timeout_s: float) -> DispatcherResult:
        try:
            with dispatcher.occupied_by(_OPERATION):
                return detail(dispatcher, ResultState.DONE, await restart(dispatcher, timeout_s))
        except (NoAnswerError, OSError) as error:
            return detail(dispatcher, ResultState.UNKNOWN, str(error))
        finally:
            await dispatcher.poll(self._store.drains)
