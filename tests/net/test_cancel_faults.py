"""Calls that cancel an attempt and fail."""

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

ONE_COPY = {"policyLimits.secondCopies": False}


class Canceled:
    """An endpoint whose connection fails under an attempt, as do the calls that are to cancel it there."""

    def __init__(self, sockets, reply, error, times):
        self.sockets, self.reply, self.error, self.times = sockets, reply, error, times
        self.peer = FakeServer(self.say)

    def say(self, call):
        if call.method == "DELETE":
            return response(204)
        self.sockets.fail("connect", self.error, self.peer.port, self.times)
        if isinstance(self.reply, str):
            self.sockets.fail("recv", self.reply, self.peer.port, times=1)
            return response(500)
        return self.reply

    def canceled(self):
        return [call.method for call in self.peer.seen] == ["POST", "DELETE"]


@pytest.mark.parametrize("reply", [ABORT, CLOSE, SILENT, "ENOBUFS"])
@pytest.mark.parametrize("error", ["ECONNREFUSED", "ENETUNREACH"])
@on_loop
async def test_a_cancel_that_cannot_connect_for_a_moment_is_told_again_before_a_second_attempt(reply, error):
    # Guards against a second attempt beside one that runs on at an endpoint that lives.
    with FaultySockets() as sockets:
        case = Canceled(sockets, reply, error, times=2)
        async with case.peer, UpstreamSender(**ONE_COPY) as sender:
            sender.send(case.peer.address)
            assert (
                await sender.over() in (AttemptResult.CONNECTION_LOST, AttemptResult.STALE_CONNECTION)
                and case.canceled()
            )


@pytest.mark.parametrize(
    ("reply", "error", "result"),
    [
        (ABORT, "ECONNREFUSED", AttemptResult.CONNECTION_LOST),  # reset and refused: the process has died
        (CLOSE, "ECONNREFUSED", AttemptResult.CONNECTION_LOST),
        (
            SILENT,
            "ECONNREFUSED",
            AttemptResult.CANCEL_UNCONFIRMED,
        ),  # it did not end the connection: it may be running yet
        ("ENOBUFS", "ECONNREFUSED", AttemptResult.CANCEL_UNCONFIRMED),  # nor did it here or there
        ("ETIMEDOUT", "ECONNREFUSED", AttemptResult.CANCEL_UNCONFIRMED),
        (ABORT, "ENETUNREACH", AttemptResult.CANCEL_UNCONFIRMED),
        (ABORT, "EHOSTUNREACH", AttemptResult.CANCEL_UNCONFIRMED),
    ],
)
@on_loop
async def test_what_a_cancel_that_cannot_connect_for_seconds_proves(monkeypatch, reply, error, result):
    if result is AttemptResult.CANCEL_UNCONFIRMED:
        monkeypatch.setattr(cancellation, "CONFIRMATION_TIMEOUT_S", 0.35)  # the same, sooner
    with FaultySockets() as sockets:
        case = Canceled(sockets, reply, error, times=float("inf"))
        async with case.peer, UpstreamSender(**ONE_COPY) as sender:
            sender.send(case.peer.address)
            assert await sender.over() == result and not case.canceled()


@pytest.mark.parametrize("copies", [True, False])
@pytest.mark.parametrize("error", ["EMFILE", "EADDRNOTAVAIL"])
@on_loop
async def test_a_cancel_that_this_host_cannot_send_is_sent_once_it_can(copies, error):
    # Guards against work that goes on for nobody, or beside what takes its place.
    with FaultySockets() as sockets:
        case = Canceled(sockets, SILENT, error, times=3)
        async with case.peer, UpstreamSender(**{"policyLimits.secondCopies": copies}) as sender:
            attempt = sender.send(case.peer.address)
            await until(lambda: attempt.fully_written and case.peer.seen)
            sender.upstream.cancel_attempt(attempt, notify=True)
            assert await sender.over() == AttemptResult.CANCELLED and case.canceled()
