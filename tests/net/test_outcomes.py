"""Disconnects, drains and errors at critical points of a request, on sockets (docs/endings.md)."""

import asyncio
import json

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.fake_server import FakeServer
from support.http_messages import ACCEPTED, chunk, read_message, request, response

REJECTED = response(503, b"", "X-Rejected: 1")
WAYS = {
    "close": lambda writer: writer.close(),
    "reset": lambda writer: writer.transport.abort(),
    "half-close": lambda writer: writer.write_eof(),
}


def posts(rig):
    """Return the number of the endpoint and the request id of each attempt that an endpoint has received."""
    return [
        (number, call.headers["x-call-id"])
        for number, endpoint in enumerate(rig.endpoints)
        for call in endpoint.seen
        if call.method == "POST"
    ]


class DelayedConnections:
    """Holds back connections to endpoints until `allowed` is set; `started` counts them."""

    def __init__(self, rig):
        self.connector = rig.service.upstream.session.connector
        self.connect, self.connector.connect = self.connector.connect, self._connect_later
        self.started, self.allowed = 0, asyncio.Event()

    async def _connect_later(self, *arguments, **keywords):
        self.started += 1
        connection = await self.connect(*arguments, **keywords)
        await self.allowed.wait()
        return connection


async def serve_request(rig, request_id):
    """Send a request and assert that it is served."""
    reader, writer = await rig.connect()
    writer.write(request("/look/1", request_id=request_id))
    await until(lambda: request_id in [seen for _, seen in posts(rig)])
    (number,) = [number for number, seen in posts(rig) if seen == request_id]
    await rig.callback(f"w{number}", "done", request_id, result="made")
    assert (await read_message(reader)).target == "200"
    writer.close()


@pytest.mark.parametrize("way", WAYS)
@on_loop
async def test_client_that_disconnects_while_its_attempt_connects_has_nothing_sent(way):
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        delayed = DelayedConnections(rig)
        _, writer = await rig.connect()
        writer.write(request("/look/1"))
        await until(lambda: delayed.started)
        WAYS[way](writer)
        await until(lambda: not rig.frontend.waiting)
        delayed.allowed.set()
        await until(lambda: not rig.core.requests and not rig.service.upstream.tasks)
        assert not posts(rig)
        await serve_request(rig, "b")
        writer.close()


@pytest.mark.parametrize("way", WAYS)
@on_loop
async def test_client_that_disconnects_between_two_attempts_has_no_retry(way):
    may_reject = asyncio.Event()

    def respond(call):
        return rejection() if call.headers.get("x-call-id") == "a" and call.method == "POST" else ACCEPTED

    async def rejection():
        await may_reject.wait()
        yield REJECTED

    async with DispatcherRig(respond, respond) as rig:
        _, writer = await rig.connect()
        writer.write(request("/look/1"))
        await until(lambda: posts(rig))
        WAYS[way](writer)
        # The rejection arrives at the moment when the disconnect is noticed.
        may_reject.set()
        await until(lambda: not rig.core.requests and not rig.service.upstream.tasks)
        assert len(posts(rig)) == 1 and rig.core.counters["withdrawn"] == 1
        await serve_request(rig, "b")
        writer.close()


@pytest.mark.parametrize("way", WAYS)
@on_loop
async def test_client_that_disconnects_while_its_request_is_queued_has_nothing_sent(way):
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        router = rig.core.router
        await until(lambda: router.endpoints.all)
        router.endpoints.all[0].other_slots = 9.0  # no available slot there
        _, writer = await rig.connect()
        writer.write(request("/look/1", b"x", "X-Call-Cost: 10000"))
        await until(lambda: router.queue.waiting)
        WAYS[way](writer)
        await until(lambda: not rig.core.requests)
        assert not router.queue.waiting and not posts(rig)
        router.endpoints.all[0].other_slots = 0.0
        await serve_request(rig, "b")
        writer.close()


@on_loop
async def test_response_to_a_client_that_has_disconnected_causes_no_fault():
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        _, writer = await rig.connect()
        writer.write(request("/look/1"))
        await until(lambda: posts(rig))
        pending = rig.core.requests["a"].request
        callback = asyncio.create_task(rig.callback("w0", "done", result="made"))
        await until(lambda: pending.answer.done())
        writer.transport.abort()
        assert (await callback).target == "204"
        await until(lambda: not rig.core.requests and not rig.frontend.waiting)
        assert not rig.core.counters["faults"]
        await serve_request(rig, "b")


@pytest.mark.parametrize("phase", ["Terminating", "Gone"])
@on_loop
async def test_endpoint_that_starts_to_drain_during_the_connect_gets_no_attempt(phase):
    # Guards against sending the first byte long after the decision: connecting may take 1.5 s.
    async with DispatcherRig(lambda call: ACCEPTED, lambda call: ACCEPTED) as rig:
        delayed = DelayedConnections(rig)
        reader, writer = await rig.connect()
        writer.write(request("/look/1"))
        await until(lambda: delayed.started == 1)
        (attempt,) = rig.core.requests["a"].attempts
        selected = int(attempt.endpoint_id[1:])
        draining = member(attempt.endpoint_id, rig.endpoints[selected].address, phase)
        rig.discovery.announce(members(draining, revision=2, complete=False))
        await until(lambda: attempt.endpoint_id not in rig.core.endpoints.ready_ids)
        delayed.allowed.set()
        other = 1 - selected
        await until(lambda: posts(rig))
        assert posts(rig) == [(other, "a")] and rig.core.counters["ho barred"] == 1
        await rig.callback(f"w{other}", "done", result="made")
        assert (await read_message(reader)).target == "200"
        writer.close()


@on_loop
async def test_discovery_recovers_while_idle_clients_use_all_their_descriptors(monkeypatch):
    # Clients do not get descriptors reserved for discovery, endpoints and callbacks; idle ones are evicted.
    monkeypatch.setattr("dunepulley.net.frontend.connection_table.MIN_IDLE_S", 0.0)
    discovery_up = asyncio.Event()

    async def watch(call):
        if not discovery_up.is_set():
            yield b""
            await discovery_up.wait()
            return
        yield b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        draining = member("w0", rig.endpoints[0].address, "Terminating")
        yield chunk(json.dumps(members(draining, revision=5, complete=False)).encode() + b"\n")
        await asyncio.Event().wait()

    async with FakeServer(watch) as agent:
        rig = DispatcherRig(lambda call: ACCEPTED, lambda call: ACCEPTED, sockets=64)
        rig.discovery = agent
        async with rig:
            await until(lambda: agent.seen)
            server = rig.frontend.server
            idle = [await rig.connect() for _ in range(3 * server.limit)]
            await until(lambda: len(server.accepted) == server.limit == 36)
            await serve_request(rig, "b")
            discovery_up.set()
            await until(lambda: "w0" not in rig.core.endpoints.ready_ids)
            await serve_request(rig, "c")
            assert (1, "c") in posts(rig) and len(server.accepted) <= server.limit
            connector = rig.service.upstream.session.connector
            # A sixteenth for operators, an eighth in exchanges, as many idle: some are left for discovery.
            assert server.limit + 64 // 16 + 2 * connector.limit <= 64 - 8
            for _, writer in idle:
                writer.close()


@on_loop
async def test_many_requests_whose_clients_disconnect_are_not_sent_and_leave_no_state():
    async with DispatcherRig(*[lambda call: ACCEPTED] * 2, sockets=256) as rig:
        delayed = DelayedConnections(rig)
        writers = []
        for number in range(40):
            _, writer = await rig.connect()
            writer.write(request("/look/1", request_id=f"f{number}"))
            writers.append(writer)
        await until(lambda: rig.core.counters["taken"] == 40)
        for writer in writers:
            writer.transport.abort()
        await until(lambda: not rig.frontend.waiting)
        delayed.allowed.set()
        await until(lambda: not rig.core.requests and not rig.service.upstream.tasks)
        assert not posts(rig) and not rig.core.router.lifecycle.requests
        await serve_request(rig, "b")


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"POST /look/1 HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400"),
        (b"POST /look/1 HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", "413"),
        (b"POST /look/1 HTTP/1.1\r\nX-Long: ", "431"),
    ],
)
@on_loop
async def test_rejected_client_reads_the_status_and_the_end_although_it_still_sends(head, status):
    # Guards against closing with unread bytes: that resets the connection, and the response is lost.
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        reader, writer = await rig.connect()
        writer.write(head + b"x" * 1_000_000)
        assert (await read_message(reader)).target == status
        assert await reader.read() == b""
        await until(lambda: not rig.frontend.server.accepted)
        await serve_request(rig, "b")
        writer.close()


@pytest.mark.parametrize(
    ("is_busy", "raw", "buffered_bytes", "expected"),
    [(False, b"", 0, False), (True, b"", 0, True), (False, b"POST", 0, True), (False, b"", 9, True)],
)
@on_loop
async def test_has_unsent_responses(is_busy, raw, buffered_bytes, expected):
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        _, writer = await rig.connect()
        await until(lambda: rig.frontend.server.accepted)
        (connection,) = rig.frontend.server.accepted
        connection.is_busy, connection.buffer.received = is_busy, bytearray(raw)
        connection.transport.get_write_buffer_size = lambda: buffered_bytes
        assert rig.frontend.server.has_unsent_responses() is expected
        writer.close()


@on_loop
async def test_second_response_to_one_attempt_is_not_taken_for_the_next_one():
    def respond(call):
        if call.method == "DELETE":
            return response(204)
        return ACCEPTED + response(500) if call.headers["x-call-id"] == "a" else ACCEPTED

    async with DispatcherRig(respond) as rig:
        for request_id in ("a", "b", "c"):
            await serve_request(rig, request_id)
        assert not rig.core.counters["ho erred"] and rig.core.counters["ho finished"] == 3
