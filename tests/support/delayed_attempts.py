"""Delays attempts between the decision and their first byte, and lists what endpoints received."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from dunepulley.net.messages import UpstreamAttempt
from support.dispatcher_rig import DispatcherRig
from support.event_loop import until

# The longest stall of a dispatcher process that the acceptance criteria name, in s.
HOLD_UP_S = 0.15


class GateHoldUp:
    """Stalls the process just before one attempt's first byte, and runs `action` at the start of the stall.

    `gate` is the number of the attempt in the order in which attempts reach their first byte. With
    `after_clock` the process stalls right after it has read the clock, else before it.
    """

    def __init__(self, rig: DispatcherRig, gate: int, action: Callable[[], None], after_clock: bool) -> None:
        self.core, self.action, self.gate = rig.core, action, gate
        self.gates_reached = 0
        self.stalled = False
        self.after_clock = after_clock
        self.may_begin, self.clock = rig.core.may_begin, rig.core.clock
        rig.service.upstream.may_begin = self._may_begin

    def _may_begin(self, attempt: UpstreamAttempt) -> bool:
        self.gates_reached += 1
        if self.gates_reached == self.gate and not self.after_clock:
            self._stall()
        if self.gates_reached == self.gate and self.after_clock:
            self.core.clock = self._clock_with_stall
        return self.may_begin(attempt)

    def _clock_with_stall(self) -> float:
        self.core.clock = self.clock
        now = self.clock()
        self._stall()
        return now

    def _stall(self) -> None:
        self.stalled = True
        self.action()
        time.sleep(HOLD_UP_S)


class LateConnections:
    """Holds back all connections to endpoints, new and pooled, until the test sets `released`.

    `requested` counts the connections that were asked for.
    """

    def __init__(self, rig: DispatcherRig) -> None:
        self.connector = rig.service.upstream.session.connector
        self.connect, self.connector.connect = self.connector.connect, self._connect_when_released
        self.requested, self.released = 0, asyncio.Event()

    async def _connect_when_released(self, *args: object, **kwargs: object) -> object:
        self.requested += 1
        connection = await self.connect(*args, **kwargs)
        await self.released.wait()
        return connection


def attempts(rig: DispatcherRig, request_id: str = "a") -> list[int]:
    """The numbers of the endpoints that received the attempts of a request, one for each attempt."""
    return [
        number
        for number, endpoint in enumerate(rig.endpoints)
        for message in endpoint.seen
        if message.method == "POST" and message.headers["x-call-id"] == request_id
    ]


async def wait_until_idle(rig: DispatcherRig) -> None:
    """Wait until no request is open and no exchange with an endpoint is in progress."""
    await until(lambda: not rig.core.requests and not rig.service.upstream.tasks)
