"""Endpoints that send more than one response may be: the rest is neither parsed nor kept."""

from collections import Counter

import pytest
from aiohttp.client_proto import ResponseHandler
from support.event_loop import on_loop, until
from support.fake_server import FakeServer
from support.http_messages import ACCEPTED, CHUNKED_HEAD, chunk, response
from support.upstream_sender import UpstreamSender

from dunepulley.net.counters import EXCESSIVE_RESPONSES
from dunepulley.net.upstream.endpoint_connection import (
    MAX_FRAMING_BYTES,
    PARSING_STEP_BYTES,
    EndpointConnection,
)
from dunepulley.routing.events import AttemptResult

INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
REJECTION = response(503, b"", "X-Rejected: 1")
LONGEST_BODY = b"x" * 65536


async def in_pieces(piece, count):
    for _ in range(count):
        yield piece


def in_chunks(size):
    """The longest body, in chunks of this size."""
    chunks = [chunk(LONGEST_BODY[:size])] * (len(LONGEST_BODY) // size)
    return CHUNKED_HEAD.replace(b"200", b"500") + b"".join(chunks) + b"0\r\n\r\n"


@pytest.fixture
def parsed(monkeypatch):
    """The bytes that connections to endpoints have parsed, by connection."""
    parsed_bytes = Counter()
    original = ResponseHandler.data_received

    def data_received(connection, data):
        parsed_bytes[connection] += len(data)
        original(connection, data)

    monkeypatch.setattr(ResponseHandler, "data_received", data_received)
    return parsed_bytes


@pytest.mark.parametrize(
    "reply",
    [
        lambda: in_pieces(INTERIM * 500, 100),
        lambda: in_pieces(INTERIM, 2000),
        lambda: INTERIM * 5000 + REJECTION,
        lambda: response(500) * 5000,
        lambda: in_chunks(1),
        lambda: CHUNKED_HEAD + b"1;" + b"e" * 8000 + b"\r\nx\r\n" + (b"1;eeeeeeee\r\nx\r\n") * 5000,
    ],
    ids=[
        "interim",
        "interim, one by one",
        "interim, then one",
        "many responses",
        "tiny chunks",
        "extensions",
    ],
)
@on_loop
async def test_excessive_response_ends_the_connection_before_more_of_it_is_parsed(reply, parsed):
    # Guards against an endpoint that holds the process up, or takes it over its memory limit: what it sent in
    # one piece was parsed and kept as a whole.
    def respond(call):
        return response(204) if call.method == "DELETE" else reply()

    async with FakeServer(respond) as endpoint, UpstreamSender() as sender:
        sender.send(endpoint.address)
        assert await sender.first_result() in (AttemptResult.CONNECTION_LOST, AttemptResult.ERRORED)
        await until(lambda: not sender.upstream.tasks)
        assert sender.counters[EXCESSIVE_RESPONSES] == 1 and len(sender.reported) == 1
        assert max(parsed.values()) <= MAX_FRAMING_BYTES * 1.5 + PARSING_STEP_BYTES
        await until(lambda: endpoint.closed >= 1)


@on_loop
async def test_first_response_counts_although_too_many_follow():
    reply = ACCEPTED + response(500) * 5000
    async with FakeServer(lambda call: reply) as endpoint, UpstreamSender() as sender:
        sender.send(endpoint.address)
        await sender.wait_until_accepted()
        await until(lambda: endpoint.closed == 1)
        assert sender.counters[EXCESSIVE_RESPONSES] == 1


@pytest.mark.parametrize(
    "reply",
    [
        INTERIM * 3 + REJECTION,
        response(503, LONGEST_BODY, "X-Rejected: 1", "X-Pad: " + "a" * 8000),
        in_chunks(32).replace(b"500 OK", b"503 OK\r\nX-Rejected: 1"),
        in_chunks(65536).replace(b"500 OK", b"503 OK\r\nX-Rejected: 1"),
    ],
    ids=["some interim", "longest", "short chunks", "one chunk"],
)
@on_loop
async def test_longest_usual_response_is_read(reply):
    async with FakeServer(lambda call: reply) as endpoint, UpstreamSender() as sender:
        sender.send(endpoint.address)
        assert await sender.first_result() == AttemptResult.REJECTED
        assert sender.counters[EXCESSIVE_RESPONSES] == 0


@on_loop
async def test_each_exchange_of_a_connection_has_a_limit_of_its_own(monkeypatch):
    monkeypatch.setattr("dunepulley.net.upstream.connection_pool.REST_S", 0.0)
    large_head = response(503, b"", "X-Rejected: 1", *["X-Pad: " + "a" * 4000] * 2)
    async with FakeServer(lambda call: large_head) as endpoint, UpstreamSender() as sender:
        for count in range(1, 5):
            sender.send(endpoint.address)
            await until(lambda count=count: len(sender.reported) == count)
            await until(lambda: not sender.upstream.tasks)
        assert endpoint.connections == 1 and sender.counters[EXCESSIVE_RESPONSES] == 0


@on_loop
async def test_body_in_many_chunks_is_not_resumed_for_each(monkeypatch):
    # Guards against a step of the parser for each chunk that is read.
    calls = []
    original = EndpointConnection.data_received

    def data_received(self, data):
        calls.append(data)
        original(self, data)

    monkeypatch.setattr(EndpointConnection, "data_received", data_received)
    reply = CHUNKED_HEAD.replace(b"200", b"500") + chunk(b"x") * 2000 + b"0\r\n\r\n"
    async with FakeServer(lambda call: reply) as endpoint, UpstreamSender() as sender:
        sender.send(endpoint.address)
        assert await sender.first_result() == AttemptResult.ERRORED
        assert len(calls) < 50
