"""A dispatcher's upstream client on its own: a test sends attempts and reads their results."""

from __future__ import annotations

from typing import Any, ClassVar

from dunepulley.net.counters import Counters
from dunepulley.net.messages import PendingRequest, UpstreamAttempt
from dunepulley.net.upstream.client import UpstreamClient
from dunepulley.routing.events import AttemptResult, RequestArrived
from support.event_loop import until


class UpstreamSender:
    """Sends attempts to endpoints; keyword arguments override the settings in `defaults`.

    `reported` holds the events that the core would receive. `may_start` is the core's answer to whether an
    attempt may send its first byte.
    """

    defaults: ClassVar[dict[str, Any]] = {"policyLimits.cancel": True, "policyLimits.secondCopies": True}

    def __init__(self, **settings: Any) -> None:
        self.reported: list[Any] = []
        self.counters = Counters()
        self.may_start = True
        self.upstream = UpstreamClient(
            self.defaults | settings, 64, self.reported.append, self.counters, lambda attempt: self.may_start
        )

    async def __aenter__(self) -> UpstreamSender:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.upstream.close()

    def send(
        self,
        address: str,
        target: str = "/look/1",
        body: bytes = b"x",
        limit: float = 3000.0,
        headers: dict[str, str] | None = None,
    ) -> UpstreamAttempt:
        """Start an attempt with a time limit of `limit` ms."""
        job = PendingRequest(RequestArrived("a", "look", limit), 0.0, target, headers or {}, body)
        attempt = UpstreamAttempt(job, 0, "w", address, limit, 0.0)
        self.upstream.start_attempt(attempt)
        return attempt

    async def wait_until_accepted(self, count: int = 1) -> None:
        """Wait until `count` attempts are accepted and no exchange is in progress; none may have ended."""
        await until(lambda: self.counters["ho accepted"] == count and not self.upstream.tasks)
        assert not self.reported

    async def first_result(self) -> AttemptResult:
        """Wait for and return the result of the first attempt that ends."""
        await until(lambda: self.reported)
        return self.reported[0].result


class ProbingSender(UpstreamSender):
    """Also checks the health of endpoints, and limits a connect to 250 ms."""

    defaults: ClassVar[dict[str, Any]] = UpstreamSender.defaults | {
        "policyLimits.connIdleMs": 10000.0,
        "policyLimits.connectTimeoutMs": 250.0,
        "reporting.how": "probe",
    }
