"""Kept connections of clients and to endpoints: their ends, and requests that cross them."""

import asyncio
import contextlib

import pytest
from support.client_sockets import NOT_READ, ClientSocket
from support.delayed_attempts import all_ended, attempts
from support.dispatcher_rig import DUE_LATE, KEY, LOOK, PAY, STORE, DispatcherRig
from support.event_loop import on_loop, until
from support.fake_server import ABORT, CLOSE, SILENT
from support.faulty_sockets import FaultySockets
from support.http_messages import ACCEPTED, request, response

from dunepulley.net.frontend import connection as client_connection
from dunepulley.net.frontend import connection_table
from dunepulley.net.messages import CallbackReceived


@pytest.mark.parametrize("half", [True, False])
@on_loop
async def test_a_connection_that_rests_too_long_is_closed_but_not_under_half_a_request(half, monkeypatch):
    monkeypatch.setattr(client_connection, "KEEP_ALIVE_TIMEOUT_S", 0.3)
    async with DispatcherRig(lambda call: ACCEPTED) as rig, ClientSocket(rig.service.port) as client:
        await client.send(request("/look/1", wi="a"))
        await until(lambda: rig.endpoints[0].seen)
        await rig.callback("w0", "done", "a", result="made")
        assert (await client.ending()).kept
        (connection,) = [
            one for one in rig.frontend.server.accepted if one.has_sent_request and not one.is_endpoint
        ]
        if half:
            await client.send(request("/look/1", wi="b")[:-1])
            await until(lambda: connection.buffer.received)
            await asyncio.wait([asyncio.create_task(client.ending())], timeout=0.5)
            assert connection in rig.frontend.server.partial
        else:
            await until(lambda: connection not in rig.frontend.server.accepted)


def reply_to(call, kept):
    """What an endpoint says to an attempt that goes over a connection that it forgot, and to all else."""
    if call.method == "DELETE":
        return response(204)
    return kept if call.connection == 1 and call.headers["x-call-id"] == "a" else ACCEPTED


# How the kept connection ends under the request, and by class whether a further attempt may be made.
FORGETS = {
    "reset": (ABORT, {LOOK: True, STORE: True, PAY: False}),
    "close": (CLOSE, {LOOK: True, STORE: True, PAY: False}),
    "silence": (SILENT, {LOOK: True, STORE: True, PAY: False}),
    # Before the last byte has left: it never ran, whatever the class.
    "reset before the last byte": (ACCEPTED, {LOOK: True, STORE: True, PAY: True}),
}


@pytest.mark.parametrize("target", [LOOK, STORE, PAY])
@pytest.mark.parametrize("way", FORGETS)
@on_loop
async def test_a_connection_that_its_endpoint_forgot_repeats_only_what_may_be_repeated(way, target):
    kept, repeats = FORGETS[way]
    rig = DispatcherRig(lambda call: reply_to(call, kept), **DUE_LATE)
    async with rig, ClientSocket(rig.service.port) as client:
        (endpoint,) = rig.endpoints
        await client.send(request("/look/1", wi="before"))
        await until(lambda: attempts(rig, "before"))
        await rig.callback("w0", "done", "before", result="made")
        assert (await client.ending()).verdict == "200"
        with FaultySockets() as faulty:
            fault = faulty.fail("send", "ECONNRESET", endpoint_port(rig), times=1)
            if way != "reset before the last byte":
                fault.lift()
            await client.send(request(target, b"x", KEY))
            seen = 1 if way == "reset before the last byte" or not repeats[target] else 2
            await until(lambda: len(attempts(rig)) >= seen)
        if repeats[target]:
            await rig.callback("w0", "done", result="made")
        ending = await client.ending()
        assert (ending.verdict, ending.body) == (("200", b"made") if repeats[target] else ("500", b""))
        await all_ended(rig)
        assert len(attempts(rig)) == seen and not client.left
        # Over the connection at hand first, and once only over that.
        connections = [call.connection for call in endpoint.seen if call.headers.get("x-call-id") == "a"]
        assert connections.count(1) == (way != "reset before the last byte")


def endpoint_port(rig):
    return rig.endpoints[0].port


@pytest.mark.parametrize("comes", ["before", "half before", "between", "after"])
@pytest.mark.parametrize("room", ["new connection", "another process"])
@on_loop
async def test_a_request_that_crosses_a_close_for_room_is_answered_or_not_read(room, comes, monkeypatch):
    monkeypatch.setattr(connection_table, "MIN_IDLE_S", 0.0)
    monkeypatch.setattr(connection_table, "MIN_PARTIAL_PAUSE_S", 0.0)

    async with DispatcherRig(lambda call: ACCEPTED) as rig, ClientSocket(rig.service.port) as client:
        await client.send(request(LOOK, wi="first"))
        await until(lambda: attempts(rig, "first"))
        await rig.callback("w0", "done", "first", result="made")
        assert (await client.ending()).kept
        server = rig.frontend.server
        # Callbacks' connections have gone: only the resting one is there.
        await until(lambda: len(server.accepted) == 1)
        (resting,) = server.accepted
        raw = request(LOOK)
        if comes == "half before":
            client.socket.send(raw[:40])
            await until(lambda: resting.buffer.received)
        if comes == "before":
            client.socket.send(raw)
        if room == "another process":
            server.set_connection_fraction(0.0)
        else:
            assert server.evict_connection()
        # Between the decision to close and the close itself, which is one turn of the loop later.
        if comes == "between":
            client.socket.send(raw)
        if comes == "half before":
            client.socket.send(raw[40:])
        await until(lambda: resting not in server.accepted and resting.transport.is_closing())
        await asyncio.sleep(0)
        if comes == "after":
            await client.send(raw)
        ending = await client.ending()
        assert ending.verdict == NOT_READ
        assert not attempts(rig) and rig.core.counters["taken"] == 1


@pytest.mark.parametrize("halves", [False, True])
@on_loop
async def test_of_many_requests_that_cross_a_close_for_room_each_is_answered_or_not_read(halves, monkeypatch):
    monkeypatch.setattr(connection_table, "MIN_IDLE_S", 0.0)
    monkeypatch.setattr(connection_table, "MIN_PARTIAL_PAUSE_S", 0.0)

    def say(call):
        if call.method == "POST":
            rig.core.put(CallbackReceived(call.headers["x-call-id"], "w0", "done", 0.0, b"made", None))
        return ACCEPTED

    async with DispatcherRig(say, **DUE_LATE) as rig, contextlib.AsyncExitStack() as stack:
        server = rig.frontend.server
        some = [await stack.enter_async_context(ClientSocket(rig.service.port)) for _ in range(12)]
        for number, client in enumerate(some):
            await client.send(request(LOOK, wi=f"first{number}"))
            assert (await client.ending()).kept
        raws = [request(LOOK, wi=f"r{number}") for number in range(12)]
        cut = 40 if halves else 0
        for client, raw in zip(some, raws, strict=True):
            client.socket.send(raw[:cut])
        await until(lambda: len(server.partial) == (12 if halves else 0))
        for number, (client, raw) in enumerate(zip(some, raws, strict=True)):
            if number % 2:
                client.socket.send(raw[cut:])
        server.set_connection_fraction(6 / server.full_limit)
        for number, (client, raw) in enumerate(zip(some, raws, strict=True)):
            if not number % 2:
                client.socket.send(raw[cut:])
        endings = [await client.ending() for client in some]
        # Half are closed, and nothing of them was read; the others are served.
        assert [ending.verdict for ending in endings] == [NOT_READ] * 6 + ["200"] * 6
        assert [len(attempts(rig, f"r{number}")) for number in range(12)] == [0] * 6 + [1] * 6
