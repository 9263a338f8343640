"""Cancellation calls that fail because no connection to the endpoint can be opened."""

import pytest
from support.event_loop import on_loop, until
from support.fake_server import ABORT, CLOSE, SILENT, FakeServer
from support.faulty_sockets import FaultySockets
from support.http_messages import (
    response,
)
from support.upstream_sender import UpstreamSender

from dunepulley.net.upstream import cancellation
from dunepulley.routing.events import AttemptResult

NO_HEDGING = {"policyLimits.secondCopies": False}


class FailingCancellation:
    """An endpoint at which an attempt's connection fails, and so do the cancellation calls that follow.

    An attempt gets `reply`, where a string is an error of recv(2). After it, connect(2) fails with `error`
    for the given number of times.
    """

    def __init__(self, sockets, reply, error, times):
        self.sockets, self.reply, self.error, self.times = sockets, reply, error, times
        self.endpoint = FakeServer(self.respond)

    def respond(self, call):
        if call.method == "DELETE":
            return response(204)
        self.sockets.fail("connect", self.error, self.endpoint.port, self.times)
        if isinstance(self.reply, str):
            self.sockets.fail("recv", self.reply, self.endpoint.port, times=1)
            return response(500)
        return self.reply

    def is_cancelled(self):
        return [call.method for call in self.endpoint.seen] == ["POST", "DELETE"]


@pytest.mark.parametrize("reply", [ABORT, CLOSE, SILENT, "ENOBUFS"])
@pytest.mark.parametrize("error", ["ECONNREFUSED", "ENETUNREACH"])
@on_loop
async def test_cancellation_that_cannot_connect_is_retried_before_the_attempt_ends(reply, error):
    # Guards against a second attempt while the first one still runs at a live endpoint.
    with FaultySockets() as sockets:
        case = FailingCancellation(sockets, reply, error, times=2)
        async with case.endpoint, UpstreamSender(**NO_HEDGING) as sender:
            sender.send(case.endpoint.address)
            assert (
                await sender.first_result() in (AttemptResult.CONNECTION_LOST, AttemptResult.STALE_CONNECTION)
                and case.is_cancelled()
            )


@pytest.mark.parametrize(
    ("reply", "error", "result"),
    [
        (ABORT, "ECONNREFUSED", AttemptResult.CONNECTION_LOST),  # reset, then refused: the process has died
        (CLOSE, "ECONNREFUSED", AttemptResult.CONNECTION_LOST),
        (
            SILENT,
            "ECONNREFUSED",
            AttemptResult.CANCEL_UNCONFIRMED,
        ),  # the endpoint did not close the connection: the attempt may still be running
        ("ENOBUFS", "ECONNREFUSED", AttemptResult.CANCEL_UNCONFIRMED),  # the same, after a local fault
        ("ETIMEDOUT", "ECONNREFUSED", AttemptResult.CANCEL_UNCONFIRMED),
        (ABORT, "ENETUNREACH", AttemptResult.CANCEL_UNCONFIRMED),
        (ABORT, "EHOSTUNREACH", AttemptResult.CANCEL_UNCONFIRMED),
    ],
)
@on_loop
async def test_result_when_the_cancellation_cannot_connect_until_its_timeout(
    monkeypatch, reply, error, result
):
    if result is AttemptResult.CANCEL_UNCONFIRMED:
        monkeypatch.setattr(cancellation, "CONFIRMATION_TIMEOUT_S", 0.35)  # shortens the test
    with FaultySockets() as sockets:
        case = FailingCancellation(sockets, reply, error, times=float("inf"))
        async with case.endpoint, UpstreamSender(**NO_HEDGING) as sender:
            sender.send(case.endpoint.address)
            assert await sender.first_result() == result and not case.is_cancelled()


@pytest.mark.parametrize("hedging", [True, False])
@pytest.mark.parametrize("error", ["EMFILE", "EADDRNOTAVAIL"])
@on_loop
async def test_cancellation_that_fails_on_this_host_is_sent_once_it_can_be(hedging, error):
    # Guards against an attempt that runs on with no client waiting, or beside the attempt that replaces it.
    with FaultySockets() as sockets:
        case = FailingCancellation(sockets, SILENT, error, times=3)
        async with case.endpoint, UpstreamSender(**{"policyLimits.secondCopies": hedging}) as sender:
            attempt = sender.send(case.endpoint.address)
            await until(lambda: attempt.fully_written and case.endpoint.seen)
            sender.upstream.cancel_attempt(attempt, notify=True)
            assert await sender.first_result() == AttemptResult.CANCELLED and case.is_cancelled()
