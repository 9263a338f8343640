"""The results of a command at each dispatcher of the host."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from dunepulley.agent.admin_call import NoAnswerError
from dunepulley.agent.dispatcher import Dispatcher


class ResultState(StrEnum):
    """Whether a command was executed; the values are those of the wire."""

    DONE = "done"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class DispatcherResult:
    """The result at one dispatcher; `fields` are the fields of the reply besides name and state."""

    name: str
    state: ResultState = ResultState.DONE
    fields: dict[str, Any] = field(default_factory=dict)

    def to_json(self) -> dict[str, Any]:
        """Return the result as a JSON object."""
        return {"name": self.name, "state": self.state} | self.fields


def detail(dispatcher: Dispatcher, state: ResultState, text: str) -> DispatcherResult:
    """Return a result with a line of text for operators."""
    return DispatcherResult(dispatcher.name, state, {"detail": text})


async def call_each(
    dispatchers: Iterable[Dispatcher], command: Callable[[Dispatcher], Awaitable[DispatcherResult]]
) -> list[DispatcherResult]:
    """Run a command at all dispatchers concurrently; the result of one that does not answer is unknown."""

    async def call_one(dispatcher: Dispatcher) -> DispatcherResult:
        try:
            return await command(dispatcher)
        except NoAnswerError as error:
            return detail(dispatcher, ResultState.UNKNOWN, str(error))

    return await asyncio.gather(*[call_one(dispatcher) for dispatcher in dispatchers])


def to_reply(results: Iterable[DispatcherResult]) -> dict[str, Any]:
    """Return results as the reply to a command."""
    return {"dispatchers": [result.to_json() for result in results]}
