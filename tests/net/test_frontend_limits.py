"""Clients that use up connections, memory or time: which ones are closed, and who is still served."""

import asyncio
import contextlib
import os
import resource
import socket

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.http_messages import ACCEPTED, read_message, request, response

from dunepulley.net.frontend import connection as client_connection
from dunepulley.net.frontend import connection_table, limits

# A request sent behind another one, which must not be executed.
HIDDEN = request("/look/2", b"", request_id="hidden")


def accept_request(call):
    return ACCEPTED


@on_loop
async def test_close_is_noticed_behind_a_flood_of_bytes_after_a_request(monkeypatch):
    # Guards against keeping a request after its client has gone: the close is not read once reading stops.
    monkeypatch.setattr(client_connection, "MAX_PAUSE_S", 0.02)

    def respond(call):
        return response(204) if call.method == "DELETE" else ACCEPTED

    async with DispatcherRig(respond) as rig:
        _, writer = await rig.connect()
        writer.write(request("/look/1") + HIDDEN * 2000)
        await until(lambda: rig.endpoints[0].seen)
        (connection,) = rig.frontend.server.accepted
        await until(lambda: connection.excess_bytes > limits.MAX_BODY_BYTES)
        writer.transport.abort()
        await until(lambda: [call for call in rig.endpoints[0].seen if call.method == "DELETE"])
        await until(lambda: not rig.core.requests and not rig.frontend.waiting)
        assert rig.core.counters["withdrawn"] == 1


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"", ""),
        (b"POST /look/1 HTT", "408"),
        (request("/look/1", b"body")[:-1], "408"),
        (request("/look/1", b"x").replace(b"Length: 1", b"Length: 9"), "408"),
        (b"POST /look/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "408"),
    ],
)
@on_loop
async def test_client_that_sends_no_complete_request_is_timed_out(raw, status, monkeypatch):
    assert (
        client_connection.REQUEST_TIMEOUT_S + client_connection.LINGER_S < 2.5
    )  # a response is due within 3 s
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.25)
    monkeypatch.setattr(client_connection, "MAX_PAUSE_S", 0.05)
    # The latency objectives are late, so that on a busy machine no request in progress is rejected early.
    async with DispatcherRig(
        accept_request, **{f"categories__{number}__dueTimeMs": 60000.0 for number in range(3)}
    ) as rig:
        keep_alive, keep_alive_writer = await rig.connect()
        for request_id in ("a", "b"):
            keep_alive_writer.write(request("/look/1", request_id=request_id))
            await until(
                lambda request_id=request_id: [
                    call for call in rig.endpoints[0].seen if call.headers["x-call-id"] == request_id
                ]
            )
            reader, writer = await rig.connect()
            writer.write(raw)
            assert (await reader.read()).decode("latin-1").partition(" ")[2][:3] == status
            writer.close()
            # A request that runs for longer, and an idle keep-alive connection, are not timed out.
            await rig.callback("w0", "done", request_id, result="made")
            assert (await read_message(keep_alive)).target == "200"
        # A partial request is timed out on a keep-alive connection, too.
        keep_alive_writer.write(request("/look/1", request_id="c")[:-1])
        assert (await read_message(keep_alive)).target == "408"
        assert len(rig.endpoints[0].seen) == 2
        keep_alive_writer.close()


@on_loop
async def test_slow_client_may_finish_its_request_within_an_upper_limit(monkeypatch):
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr(client_connection, "MAX_PAUSE_S", 0.2)
    async with DispatcherRig(accept_request) as rig:
        reader, writer = await rig.connect()
        for piece in request("/look/1", b"12345678").partition(b"78"):
            writer.write(piece)
            await asyncio.sleep(0.08)  # each pause is shorter than the limit, all together are longer
        await until(lambda: rig.endpoints[0].seen)
        await rig.callback("w0", "done", result="made")
        assert (await read_message(reader)).target == "200"
        monkeypatch.setattr(client_connection, "MAX_REQUEST_S", 0.3)
        for octet in request("/look/1", request_id="b"):
            writer.write(bytes([octet]))
            await asyncio.sleep(0.02)
            if rig.core.counters["turned away 408"]:
                break
        assert (await read_message(reader)).target == "408"
        writer.close()


@on_loop
async def test_evicts_the_connections_least_likely_to_send_first(monkeypatch):
    monkeypatch.setattr(connection_table, "MIN_PARTIAL_PAUSE_S", 0.0)
    async with DispatcherRig(accept_request, sockets=32) as rig:
        rig.frontend.server.limit = 4
        idle = await rig.connect()
        idle[1].write(request("/odd/1").replace(b"POST /odd", b"GET /_health?"))
        await read_message(idle[0])
        partial = [await rig.connect() for _ in range(2)]
        for number, (_, writer) in enumerate(partial):
            writer.write(request("/look/1", request_id=f"h{number}")[:-1])
            await until(lambda number=number: len(rig.frontend.server.partial) == number + 1)
        # Connections that have sent nothing are evicted first: a flood of them does not affect those with a
        # partial request.
        flood = [await rig.connect() for _ in range(12)]
        assert not rig.core.counters["connections without room"]
        partial[0][1].write(b"x")
        await until(lambda: rig.core.counters["taken"] == 1)
        assert len(rig.frontend.server.partial) == 1
        rig.frontend.server.set_limit_fraction(0.1)  # as during a hot restart
        await until(lambda: len(rig.frontend.server.accepted) == 1)
        with contextlib.suppress(ConnectionError):
            assert await partial[1][0].read() == b""
        for _, writer in (idle, *partial, *flood):
            writer.close()


def peer_address(connection):
    return connection.transport.get_extra_info("peername")


@on_loop
async def test_memory_for_partial_requests_is_limited():
    async with DispatcherRig(accept_request) as rig:
        rig.frontend.server.max_partial_bytes = 200_000
        raw = request("/look/1", b"x" * 60_000, request_id="h")[:-1]
        partial, writers = rig.frontend.server.partial, []
        for _ in range(12):
            _, writer = await rig.connect()
            writer.write(raw)
            writers.append(writer)
            address = writer.get_extra_info("sockname")
            await until(
                lambda address=address: (
                    address in [peer_address(c) for c in partial if c.counted_bytes == len(raw)]
                )
            )
        assert rig.frontend.server.partial_bytes == 3 * len(raw)
        writers[-1].write(b"x")  # the newest one is still open
        await until(lambda: rig.endpoints[0].seen)
        assert rig.frontend.server.partial_bytes == 2 * len(raw)
        for writer in writers:
            writer.close()
        await until(lambda: not rig.frontend.server.accepted)
        assert rig.frontend.server.partial_bytes == 0


@on_loop
async def test_clients_and_callbacks_are_served_during_a_flood_of_connections():
    async with DispatcherRig(accept_request, sockets=32) as rig:  # at most 18 incoming connections
        keep_alive, keep_alive_writer = await rig.connect()
        keep_alive_writer.write(request("/look/1"))
        await until(lambda: rig.endpoints[0].seen)
        flood = []
        for number in range(60):  # half of them send nothing, the others check the health and stay connected
            flood.append(await rig.connect())
            if number % 2:
                flood[-1][1].write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await read_message(flood[-1][0])).target == "200"
        messages = await asyncio.gather(
            *[rig.exchange(request("/odd/1", request_id=f"o{n}")) for n in range(60)]
        )
        assert {message.target for message in messages} == {"404"}
        assert len(rig.frontend.server.accepted) <= rig.frontend.server.limit == 18
        assert (await rig.callback("w0", "done", result="made")).target == "204"
        assert (await read_message(keep_alive)).target == "200"
        for _, writer in (*flood, (keep_alive, keep_alive_writer)):
            writer.close()
        await until(lambda: not rig.frontend.server.accepted)
        assert not rig.frontend.server.new and not rig.frontend.server.idle


@on_loop
async def test_idle_connections_are_evicted_and_excess_requests_rejected():
    async with DispatcherRig(accept_request, sockets=12) as rig:  # at most 4 requests in progress
        rig.frontend.server.limit = 6
        idle = [await rig.connect() for _ in range(6)]
        await until(lambda: len(rig.frontend.server.new) == 6)
        for connection in rig.frontend.server.new:
            rig.frontend.server.new[connection] -= 5.0  # idle for longer than the minimum
        busy = []
        for number in range(4):
            reader, writer = await rig.connect()
            writer.write(request("/look/1", request_id=f"i{number}"))
            busy.append((reader, writer))
            await until(lambda number=number: len(rig.frontend.waiting) == number + 1)
        assert len(rig.frontend.server.accepted) <= 6
        assert await idle[0][0].read() == b""  # the one that was idle the longest is closed
        message = await rig.exchange(request("/look/1", request_id="more"))
        assert message.target == "503" and message.headers["connection"] == "close"
        # Callbacks still get through, and every accepted request is answered.
        for number, (reader, _) in enumerate(busy):
            endpoint_id = await endpoint_of(rig, f"i{number}")
            assert (await rig.callback(endpoint_id, "done", f"i{number}", result="made")).target == "204"
            assert (await read_message(reader)).target == "200"
        for _, writer in (*idle, *busy):
            writer.close()


async def endpoint_of(rig, request_id):
    await until(lambda: request_id in rig.core.requests and rig.core.requests[request_id].attempts)
    return rig.core.requests[request_id].attempts[0].endpoint_id


@on_loop
async def test_without_free_descriptors_requests_are_rejected_and_served_again_later():
    async with DispatcherRig(accept_request, accept_request, accept_request) as rig:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        reader, writer = await rig.connect()
        await until(lambda: rig.frontend.server.accepted)
        waiting = socket.create_connection(("127.0.0.1", rig.service.port))  # connected, not yet accepted
        descriptors = []
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (64, hard))
            while len(descriptors) < 64:
                try:
                    descriptors.append(os.open(os.devnull, os.O_RDONLY))
                except OSError:
                    break
            writer.write(request("/look/1"))
            message = await read_message(reader)
            # No endpoint could be contacted, so that the request certainly never ran: the client may retry.
            assert message.target == "503" and not any([endpoint.seen for endpoint in rig.endpoints])
            assert rig.core.counters["no descriptor"] and not rig.core.counters["faults"]
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for descriptor in descriptors:
                os.close(descriptor)
        # Once there are free descriptors, requests are served again, also over the connection that waited.
        waiting.sendall(request("/look/1", request_id="b"))
        writer.write(request("/look/1", request_id="c"))
        for request_id in ("b", "c"):
            await rig.callback(await endpoint_of(rig, request_id), "done", request_id, result="made")
        assert (await read_message(reader)).target == "200"
        assert (await asyncio.to_thread(waiting.recv, 100)).startswith(b"HTTP/1.1 200")
        waiting.close()
        writer.close()
