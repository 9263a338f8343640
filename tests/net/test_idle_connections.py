"""Keep-alive connections of clients and to endpoints, and requests sent while one is being closed."""

import asyncio
import contextlib

import pytest
from support.client_sockets import NOT_READ, ClientSocket
from support.delayed_attempts import attempts, wait_until_idle
from support.dispatcher_rig import KEY, LATE_OBJECTIVES, LOOK, PAY, STORE, DispatcherRig
from support.event_loop import on_loop, until
from support.fake_server import ABORT, CLOSE, SILENT
from support.faulty_sockets import FaultySockets
from support.http_messages import ACCEPTED, request, response

from dunepulley.net.frontend import connection as client_connection
from dunepulley.net.frontend import connection_table
from dunepulley.net.messages import CallbackReceived
from dunepulley.net.upstream import connection_pool


@pytest.mark.parametrize("has_partial_request", [True, False])
@on_loop
async def test_keep_alive_timeout_closes_idle_connections_but_not_partial_requests(
    has_partial_request, monkeypatch
):
    monkeypatch.setattr(client_connection, "KEEP_ALIVE_TIMEOUT_S", 0.3)
    async with DispatcherRig(lambda call: ACCEPTED) as rig, ClientSocket(rig.service.port) as client:
        await client.send(request("/look/1", request_id="a"))
        await until(lambda: rig.endpoints[0].seen)
        await rig.callback("w0", "done", "a", result="made")
        assert (await client.read_outcome()).keep_alive
        (connection,) = [
            connection
            for connection in rig.frontend.server.accepted
            if connection.has_sent_request and not connection.is_endpoint
        ]
        if has_partial_request:
            await client.send(request("/look/1", request_id="b")[:-1])
            await until(lambda: connection.buffer.received)
            await asyncio.wait([asyncio.create_task(client.read_outcome())], timeout=0.5)
            assert connection in rig.frontend.server.partial
        else:
            await until(lambda: connection not in rig.frontend.server.accepted)


def reply_to(call, stale_reply):
    """Return the reply to a call: `stale_reply` for request "a" over the stale connection, else success."""
    if call.method == "DELETE":
        return response(204)
    return stale_reply if call.connection == 1 and call.headers["x-call-id"] == "a" else ACCEPTED


# How the stale connection fails during the request, and by target whether the request may be retried.
STALE_CONNECTIONS = {
    "reset": (ABORT, {LOOK: True, STORE: True, PAY: False}),
    "close": (CLOSE, {LOOK: True, STORE: True, PAY: False}),
    "silence": (SILENT, {LOOK: True, STORE: True, PAY: False}),
    # Before the last byte was sent: it never ran, whatever the class.
    "reset before the last byte": (ACCEPTED, {LOOK: True, STORE: True, PAY: True}),
}


@pytest.mark.parametrize("target", [LOOK, STORE, PAY])
@pytest.mark.parametrize("way", STALE_CONNECTIONS)
@on_loop
async def test_request_on_a_stale_connection_is_retried_only_if_that_is_safe(way, target, monkeypatch):
    monkeypatch.setattr(connection_pool, "REST_S", 0.0)
    stale_reply, may_retry = STALE_CONNECTIONS[way]
    rig = DispatcherRig(lambda call: reply_to(call, stale_reply), **LATE_OBJECTIVES)
    async with rig, ClientSocket(rig.service.port) as client:
        (endpoint,) = rig.endpoints
        await client.send(request("/look/1", request_id="before"))
        await until(lambda: attempts(rig, "before"))
        await rig.callback("w0", "done", "before", result="made")
        assert (await client.read_outcome()).status == "200"
        with FaultySockets() as faulty:
            fault = faulty.fail("send", "ECONNRESET", endpoint_port(rig), times=1)
            if way != "reset before the last byte":
                fault.lift()
            await client.send(request(target, b"x", KEY))
            seen = 1 if way == "reset before the last byte" or not may_retry[target] else 2
            await until(lambda: len(attempts(rig)) >= seen)
        if may_retry[target]:
            await rig.callback("w0", "done", result="made")
        ending = await client.read_outcome()
        assert (ending.status, ending.body) == (("200", b"made") if may_retry[target] else ("500", b""))
        await wait_until_idle(rig)
        assert len(attempts(rig)) == seen and not client.left
        # The stale connection is used first, and only once.
        connections = [call.connection for call in endpoint.seen if call.headers.get("x-call-id") == "a"]
        assert connections.count(1) == (way != "reset before the last byte")


def endpoint_port(rig):
    return rig.endpoints[0].port


@pytest.mark.parametrize("sent", ["before", "partly before", "between", "after"])
@pytest.mark.parametrize("cause", ["new connection", "another process"])
@on_loop
async def test_request_sent_while_its_connection_is_evicted_is_not_read(cause, sent, monkeypatch):
    monkeypatch.setattr(connection_table, "MIN_IDLE_S", 0.0)
    monkeypatch.setattr(connection_table, "MIN_PARTIAL_PAUSE_S", 0.0)

    async with DispatcherRig(lambda call: ACCEPTED) as rig, ClientSocket(rig.service.port) as client:
        await client.send(request(LOOK, request_id="first"))
        await until(lambda: attempts(rig, "first"))
        await rig.callback("w0", "done", "first", result="made")
        assert (await client.read_outcome()).keep_alive
        server = rig.frontend.server
        # The endpoint's connections for callbacks are closed: only the client's idle one is left.
        await until(lambda: len(server.accepted) == 1)
        (idle,) = server.accepted
        raw = request(LOOK)
        if sent == "partly before":
            client.socket.send(raw[:40])
            await until(lambda: idle.buffer.received)
        if sent == "before":
            client.socket.send(raw)
        if cause == "another process":
            server.set_limit_fraction(0.0)
        else:
            assert server.evict_connection()
        # Between the decision to close and the close itself, which is one turn of the loop later.
        if sent == "between":
            client.socket.send(raw)
        if sent == "partly before":
            client.socket.send(raw[40:])
        await until(lambda: idle not in server.accepted and idle.transport.is_closing())
        await asyncio.sleep(0)
        if sent == "after":
            await client.send(raw)
        ending = await client.read_outcome()
        assert ending.status == NOT_READ
        assert not attempts(rig) and rig.core.counters["taken"] == 1


@pytest.mark.parametrize("are_partial", [False, True])
@on_loop
async def test_many_requests_sent_during_evictions_are_each_answered_or_not_read(are_partial, monkeypatch):
    monkeypatch.setattr(connection_table, "MIN_IDLE_S", 0.0)
    monkeypatch.setattr(connection_table, "MIN_PARTIAL_PAUSE_S", 0.0)

    def respond(call):
        if call.method == "POST":
            rig.core.put(CallbackReceived(call.headers["x-call-id"], "w0", "done", 0.0, b"made", None))
        return ACCEPTED

    async with DispatcherRig(respond, **LATE_OBJECTIVES) as rig, contextlib.AsyncExitStack() as stack:
        server = rig.frontend.server
        clients = [await stack.enter_async_context(ClientSocket(rig.service.port)) for _ in range(12)]
        for number, client in enumerate(clients):
            await client.send(request(LOOK, request_id=f"first{number}"))
            assert (await client.read_outcome()).keep_alive
        raws = [request(LOOK, request_id=f"r{number}") for number in range(12)]
        cut = 40 if are_partial else 0
        for client, raw in zip(clients, raws, strict=True):
            client.socket.send(raw[:cut])
        await until(lambda: len(server.partial) == (12 if are_partial else 0))
        for number, (client, raw) in enumerate(zip(clients, raws, strict=True)):
            if number % 2:
                client.socket.send(raw[cut:])
        server.set_limit_fraction(6 / server.full_limit)
        for number, (client, raw) in enumerate(zip(clients, raws, strict=True)):
            if not number % 2:
                client.socket.send(raw[cut:])
        endings = [await client.read_outcome() for client in clients]
        # Half of the connections are closed, and their requests were not read; the others are served.
        assert [ending.status for ending in endings] == [NOT_READ] * 6 + ["200"] * 6
        assert [len(attempts(rig, f"r{number}")) for number in range(12)] == [0] * 6 + [1] * 6
