"""Responses that an endpoint sends a second time: none is taken for the response to another request."""

import asyncio

import pytest
from support.event_loop import on_loop, until
from support.fake_server import FakeServer
from support.http_messages import ACCEPTED, response
from support.upstream_sender import ProbingSender

from dunepulley.net.counters import UNSOLICITED_DATA
from dunepulley.net.upstream import connection_pool
from dunepulley.routing.events import AttemptResult

REJECTION = response(503, b"", "X-Rejected: 1")
# Longer than the delay of a response that comes a second time some milliseconds later.
MIN_REST_S = 0.02


class RepeatingEndpoint(FakeServer):
    """Rejects the first attempt and accepts all others; `repeat` sends the rejection once more."""

    def __init__(self):
        super().__init__(lambda call: REJECTION if call.target == "/look/first" else ACCEPTED)
        self.first_writer = None

    async def _respond(self, reply, reader, writer):
        if reply is REJECTION:
            self.first_writer = writer
        return await super()._respond(reply, reader, writer)

    def repeat(self):
        self.first_writer.write(REJECTION)


async def send_first(sender, peer):
    """Send the attempt that is rejected, and wait until its connection is idle."""
    sender.send(peer.address, target="/look/first")
    assert await sender.first_result() == AttemptResult.REJECTED
    await until(lambda: not sender.upstream.tasks)
    sender.reported.clear()


def targets_by_connection(peer):
    return [(call.connection, call.target) for call in peer.seen]


@on_loop
async def test_connection_is_not_reused_while_a_repeated_response_may_be_in_transit():
    # Guards against a second run: a repeated rejection ended the attempt that followed it, which ran.
    assert connection_pool.REST_S >= MIN_REST_S
    async with RepeatingEndpoint() as peer, ProbingSender() as sender:
        await send_first(sender, peer)
        sender.send(peer.address, target="/look/second")
        peer.repeat()
        await sender.wait_until_accepted()
        assert targets_by_connection(peer) == [(1, "/look/first"), (2, "/look/second")]
        await until(lambda: peer.closed == 1)


@on_loop
async def test_idle_connection_is_closed_when_a_response_comes_a_second_time(monkeypatch):
    monkeypatch.setattr(connection_pool, "REST_S", 0.0)
    async with RepeatingEndpoint() as peer, ProbingSender() as sender:
        await send_first(sender, peer)
        peer.repeat()
        await until(lambda: sender.counters[UNSOLICITED_DATA] == 1 and peer.closed == 1)
        sender.send(peer.address, target="/look/second")
        await sender.wait_until_accepted()
        assert targets_by_connection(peer) == [(1, "/look/first"), (2, "/look/second")]


@pytest.mark.parametrize("method", ["POST", "DELETE", "GET"])
@on_loop
async def test_connection_with_unread_bytes_is_not_reused(method, monkeypatch):
    # The event loop may have been held up since the bytes arrived, for any kind of exchange.
    monkeypatch.setattr(connection_pool, "REST_S", 0.0)
    async with RepeatingEndpoint() as peer, ProbingSender() as sender:
        await send_first(sender, peer)
        [[(protocol, _)]] = sender.upstream.session.connector._conns.values()
        protocol.transport.pause_reading()
        peer.repeat()
        await until(lambda: not protocol.may_send_request())
        async with sender.upstream.session.request(method, f"http://{peer.address}/next") as answer:
            assert answer.status == 202
        assert targets_by_connection(peer) == [(1, "/look/first"), (2, "/next")]


@on_loop
async def test_response_that_comes_before_the_first_byte_of_the_next_attempt_is_not_its_response(monkeypatch):
    # A reused connection waits for the next turns of the event loop before the request is written.
    monkeypatch.setattr(connection_pool, "REST_S", 0.0)
    async with RepeatingEndpoint() as peer, ProbingSender() as sender:
        await send_first(sender, peer)
        connector = sender.upstream.session.connector
        connect = connector.connect

        async def connect_and_wait(*arguments, **keywords):
            connection = await connect(*arguments, **keywords)
            peer.repeat()
            await until(lambda: not connection.protocol.may_send_request())
            return connection

        monkeypatch.setattr(connector, "connect", connect_and_wait)
        attempt = sender.send(peer.address, target="/look/second")
        assert await sender.first_result() == AttemptResult.NOT_SENT and attempt.start_refused
        assert targets_by_connection(peer) == [(1, "/look/first")]


@on_loop
async def test_connection_is_reused_after_its_rest():
    async with RepeatingEndpoint() as peer, ProbingSender() as sender:
        await send_first(sender, peer)
        [[(_, idle_since_s)]] = sender.upstream.session.connector._conns.values()
        loop = asyncio.get_running_loop()
        await until(lambda: loop.time() - idle_since_s > connection_pool.REST_S)
        sender.send(peer.address, target="/look/second")
        await sender.wait_until_accepted()
        assert targets_by_connection(peer) == [(1, "/look/first"), (1, "/look/second")]
