"""Cancelling attempts at their endpoint, with and without hedging, and where cancellation is not allowed."""

import asyncio

import pytest
from support.event_loop import on_loop, until
from support.fake_server import ABORT, CLOSE, SILENT, FakeServer
from support.http_messages import ACCEPTED, CHUNKED_HEAD, chunk, response
from support.upstream_sender import ProbingSender

from dunepulley.net.upstream import connection_pool
from dunepulley.routing.events import AttemptResult

NO_HEDGING = {"policyLimits.secondCopies": False}


@pytest.mark.parametrize(
    ("replies", "result"),
    [
        # The replies over successive connections: a stale one, failing ones, then one that responds.
        ([SILENT, response(204)], AttemptResult.CANCELLED),
        ([ABORT, CLOSE, ABORT, response(404)], AttemptResult.CANCELLED),
        ([ABORT] * 99, AttemptResult.CANCEL_UNCONFIRMED),
        ([SILENT] * 99, AttemptResult.CANCEL_UNCONFIRMED),
    ],
)
@on_loop
async def test_without_hedging_an_attempt_is_cancelled_only_once_the_endpoint_confirms(replies, result):
    # Guards against a retry beside an attempt that was reported as cancelled but still runs.
    remaining = iter(replies)
    async with (
        FakeServer(lambda call: ACCEPTED if call.method == "POST" else next(remaining)) as peer,
        ProbingSender(**NO_HEDGING) as sender,
    ):
        attempt = sender.send(peer.address)
        await sender.wait_until_accepted()
        sender.upstream.cancel_attempt(attempt, notify=True)
        assert await sender.first_result() == result
        deletes = [call for call in peer.seen if call.method == "DELETE"]
        assert len(deletes) == len(replies) if result is AttemptResult.CANCELLED else len(deletes) >= 2


@pytest.mark.parametrize("reply", [ABORT, CLOSE])
@pytest.mark.parametrize(
    ("cancel_reply", "result"),
    [
        (response(204), AttemptResult.CONNECTION_LOST),
        ("gone", AttemptResult.CONNECTION_LOST),
        (ABORT, AttemptResult.CANCEL_UNCONFIRMED),
    ],
)
@on_loop
async def test_without_hedging_an_attempt_whose_202_may_be_lost_is_cancelled(reply, cancel_reply, result):
    # The endpoint may have accepted the attempt: it is cancelled there before the router retries elsewhere.
    def respond(call):
        if cancel_reply == "gone":
            peer.server.close()
        return reply if call.method == "POST" else cancel_reply

    async with FakeServer(respond) as peer, ProbingSender(**NO_HEDGING) as sender:
        sender.send(peer.address)
        assert await sender.first_result() == result
        methods = [call.method for call in peer.seen]
        assert methods[0] == "POST" and set(methods[1:]) == (set() if cancel_reply == "gone" else {"DELETE"})


@pytest.mark.parametrize("reply", [ABORT, CLOSE, SILENT])
@on_loop
async def test_cancellation_is_sent_again_if_its_connection_fails(reply, monkeypatch):
    monkeypatch.setattr(connection_pool, "REST_S", 0.0)

    def respond(call):
        if call.method == "POST":
            return ACCEPTED
        return response(204) if call.connection > 1 else reply

    async with FakeServer(respond) as peer, ProbingSender() as sender:
        attempt = sender.send(peer.address)
        await sender.wait_until_accepted()
        sender.upstream.cancel_attempt(attempt, notify=True)
        assert await sender.first_result() == AttemptResult.CANCELLED
        assert [call.method for call in peer.seen] == ["POST", "DELETE", "DELETE"]
        assert sender.counters["delete 204"] == 1 and len(sender.reported) == 1


@on_loop
async def test_connection_that_breaks_after_the_202_does_not_cancel_the_attempt():
    async def truncated_response():
        yield b"HTTP/1.1 202 Accepted\r\nContent-Length: 10\r\n\r\nhalf"

    async with FakeServer(lambda call: truncated_response()) as peer, ProbingSender() as sender:
        sender.send(peer.address)
        await sender.wait_until_accepted()


async def hang_after(head):
    yield head
    await asyncio.Event().wait()


async def endless_response(head, at_once):
    yield head
    for _ in range(1000 if at_once else 10**9):
        yield chunk(bytes(1000))
        await asyncio.sleep(0.0 if at_once else 0.01)
    await asyncio.Event().wait()


INCOMPLETE = b"HTTP/1.1 %d Any\r\nContent-Length: 9\r\n\r\nhalf"
ENDLESS = {
    "hangs after the head": lambda status: hang_after(INCOMPLETE % status),
    "much at once": lambda status: endless_response(CHUNKED_HEAD.replace(b"200", b"%d" % status), True),
    "a little at a time": lambda status: endless_response(
        CHUNKED_HEAD.replace(b"200", b"%d" % status), False
    ),
}


@pytest.mark.parametrize("body", ENDLESS)
@on_loop
async def test_endless_body_of_a_202_neither_cancels_the_attempt_nor_keeps_the_connection(body):
    # Guards against cancelling an accepted attempt, and against exchanges and memory in use for no purpose.
    async with FakeServer(lambda call: ENDLESS[body](202)) as peer, ProbingSender(**NO_HEDGING) as sender:
        sender.send(peer.address, limit=60000.0)
        await sender.wait_until_accepted()
        assert [call.method for call in peer.seen] == [
            "POST"
        ] and not sender.upstream.session.connector._conns


@pytest.mark.parametrize("body", ENDLESS)
@on_loop
async def test_endless_body_of_other_responses_is_abandoned(body, monkeypatch):
    monkeypatch.setattr(connection_pool, "REST_S", 0.0)

    def respond(call):
        return ACCEPTED if call.method == "POST" and call.target == "/look/1" else ENDLESS[body](200)

    async with FakeServer(respond) as peer, ProbingSender() as sender:
        attempt = sender.send(peer.address)
        await sender.wait_until_accepted()
        sender.upstream.cancel_attempt(attempt, notify=True)
        assert await sender.first_result() == AttemptResult.CANCELLED
        assert [call.method for call in peer.seen] == ["POST", "DELETE"]  # confirmed by its status
        sender.reported.clear()
        sender.send(peer.address, target="/look/2", limit=60000.0)
        assert await sender.first_result() == AttemptResult.CONNECTION_LOST
        sender.reported.clear()
        sender.upstream.check_health("w", peer.address)
        assert (
            await sender.first_result() in (AttemptResult.CONNECTION_LOST, AttemptResult.TIMED_OUT)
            and sender.reported[0].load_report is None
        )
        await until(lambda: not sender.upstream.tasks)


@on_loop
async def test_attempt_cancelled_during_its_cancellation_call_is_cancelled_only_once():
    # Guards against reporting the cancellation as unconfirmed, which ends the request, while it is confirmed.
    may_confirm = asyncio.Event()

    async def confirmation():
        await may_confirm.wait()
        yield response(204)

    def respond(call):
        return ABORT if call.method == "POST" else confirmation()

    async with FakeServer(respond) as peer, ProbingSender(**NO_HEDGING) as sender:
        attempt = sender.send(peer.address)
        await until(lambda: len(peer.seen) == 2)
        sender.upstream.cancel_attempt(attempt, notify=True)
        may_confirm.set()
        await until(lambda: not sender.upstream.tasks)
        assert [finished.result for finished in sender.reported] == [AttemptResult.CONNECTION_LOST]
        assert [call.method for call in peer.seen] == ["POST", "DELETE"]


@pytest.mark.parametrize(
    ("hedging", "result"), [(True, AttemptResult.CONNECTION_LOST), (False, AttemptResult.CANCEL_UNCONFIRMED)]
)
@pytest.mark.parametrize("reply", [ABORT, SILENT])
@on_loop
async def test_no_cancellation_call_is_sent_where_settings_forbid_it(reply, hedging, result):
    # Guards against a forbidden call, and without hedging, against a retry beside an attempt that may run on.
    settings = {"policyLimits.cancel": False, "policyLimits.secondCopies": hedging}
    async with FakeServer(lambda call: reply) as peer, ProbingSender(**settings) as sender:
        sender.send(peer.address)
        await until(lambda: sender.reported and not sender.upstream.tasks)
        assert [finished.result for finished in sender.reported] == [result]
        assert [call.method for call in peer.seen] == ["POST"]
