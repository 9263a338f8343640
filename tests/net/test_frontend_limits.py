"""Clients that hold connections, bytes or time: which are closed, and what keeps being served."""

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
from dunepulley.net.frontend import connection_table, framing

# A request behind another one, which must not be taken.
HIDDEN = request("/look/2", b"", wi="hidden")


def taken(call):
    return ACCEPTED


@on_loop
async def test_a_client_that_floods_behind_a_request_and_goes_is_seen_to_go(monkeypatch):
    # Guards against a request held for nobody: behind so much the close is not read.
    monkeypatch.setattr(client_connection, "MAX_PAUSE_S", 0.02)

    def say(call):
        return response(204) if call.method == "DELETE" else ACCEPTED

    async with DispatcherRig(say) as rig:
        _, writer = await rig.connect()
        writer.write(request("/look/1") + HIDDEN * 2000)
        await until(lambda: rig.endpoints[0].seen)
        (connection,) = rig.frontend.server.accepted
        await until(lambda: connection.excess_bytes > framing.MAX_BODY_BYTES)
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
async def test_who_sends_no_whole_request_is_not_waited_for(raw, status, monkeypatch):
    assert (
        client_connection.REQUEST_TIMEOUT_S + client_connection.LINGER_S < 2.5
    )  # of the 3 s that are allowed
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.25)
    monkeypatch.setattr(client_connection, "MAX_PAUSE_S", 0.05)
    # The request in hand is not given up as late, however busy the machine is.
    async with DispatcherRig(
        taken, **{f"categories__{number}__dueTimeMs": 60000.0 for number in range(3)}
    ) as rig:
        kept, kept_writer = await rig.connect()
        for wi in ("a", "b"):
            kept_writer.write(request("/look/1", wi=wi))
            await until(lambda wi=wi: [c for c in rig.endpoints[0].seen if c.headers["x-call-id"] == wi])
            reader, writer = await rig.connect()
            writer.write(raw)
            assert (await reader.read()).decode("latin-1").partition(" ")[2][:3] == status
            writer.close()
            # Also a work item that takes longer, and a connection kept for the next, stay.
            await rig.callback("w0", "done", wi, result="made")
            assert (await read_message(kept)).target == "200"
        # A half is not waited for on a kept connection either.
        kept_writer.write(request("/look/1", wi="c")[:-1])
        assert (await read_message(kept)).target == "408"
        assert len(rig.endpoints[0].seen) == 2
        kept_writer.close()


@on_loop
async def test_who_keeps_writing_is_waited_for_but_not_for_ever(monkeypatch):
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr(client_connection, "MAX_PAUSE_S", 0.2)
    async with DispatcherRig(taken) as rig:
        reader, writer = await rig.connect()
        for part in request("/look/1", b"12345678").partition(b"78"):
            writer.write(part)
            await asyncio.sleep(0.08)  # each pause is short, all together are not
        await until(lambda: rig.endpoints[0].seen)
        await rig.callback("w0", "done", result="made")
        assert (await read_message(reader)).target == "200"
        monkeypatch.setattr(client_connection, "MAX_REQUEST_S", 0.3)
        for octet in request("/look/1", wi="b"):
            writer.write(bytes([octet]))
            await asyncio.sleep(0.02)
            if rig.core.counters["turned away 408"]:
                break
        assert (await read_message(reader)).target == "408"
        writer.close()


@on_loop
async def test_room_is_made_by_those_least_likely_to_send(monkeypatch):
    monkeypatch.setattr(connection_table, "MIN_PARTIAL_PAUSE_S", 0.0)
    async with DispatcherRig(taken, sockets=32) as rig:
        rig.frontend.server.limit = 4
        idle = await rig.connect()
        idle[1].write(request("/odd/1").replace(b"POST /odd", b"GET /_health?"))
        await read_message(idle[0])
        halves = [await rig.connect() for _ in range(2)]
        for number, (_, writer) in enumerate(halves):
            writer.write(request("/look/1", wi=f"h{number}")[:-1])
            await until(lambda number=number: len(rig.frontend.server.partial) == number + 1)
        # Strangers go first, not those that have sent half of a work item: a flood of silence takes nothing
        # from them.
        flood = [await rig.connect() for _ in range(12)]
        assert not rig.core.counters["connections without room"]
        halves[0][1].write(b"x")
        await until(lambda: rig.core.counters["taken"] == 1)
        assert len(rig.frontend.server.partial) == 1
        rig.frontend.server.set_connection_fraction(0.1)  # as when another process takes its part
        await until(lambda: len(rig.frontend.server.accepted) == 1)
        with contextlib.suppress(ConnectionError):
            assert await halves[1][0].read() == b""
        for _, writer in (idle, *halves, *flood):
            writer.close()


def whose(connection):
    return connection.transport.get_extra_info("peername")


@on_loop
async def test_halves_hold_no_more_bytes_than_they_may():
    async with DispatcherRig(taken) as rig:
        rig.frontend.server.max_partial_bytes = 200_000
        half = request("/look/1", b"x" * 60_000, wi="h")[:-1]
        halves, writers = rig.frontend.server.partial, []
        for _ in range(12):
            _, writer = await rig.connect()
            writer.write(half)
            writers.append(writer)
            mine = writer.get_extra_info("sockname")
            await until(lambda mine=mine: mine in [whose(c) for c in halves if c.counted_bytes == len(half)])
        assert rig.frontend.server.partial_bytes == 3 * len(half)
        writers[-1].write(b"x")  # the newest of them is still waited for
        await until(lambda: rig.endpoints[0].seen)
        assert rig.frontend.server.partial_bytes == 2 * len(half)
        for writer in writers:
            writer.close()
        await until(lambda: not rig.frontend.server.accepted)
        assert rig.frontend.server.partial_bytes == 0


@on_loop
async def test_a_flood_leaves_room_for_usual_clients_and_callbacks():
    async with DispatcherRig(taken, sockets=32) as rig:  # eighteen connections come in at most
        kept, kept_writer = await rig.connect()
        kept_writer.write(request("/look/1"))
        await until(lambda: rig.endpoints[0].seen)
        flood = []
        for number in range(60):  # some say nothing, some ask for our health and stay
            flood.append(await rig.connect())
            if number % 2:
                flood[-1][1].write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await read_message(flood[-1][0])).target == "200"
        told = await asyncio.gather(*[rig.exchange(request("/odd/1", wi=f"o{n}")) for n in range(60)])
        assert {call.target for call in told} == {"404"}
        assert len(rig.frontend.server.accepted) <= rig.frontend.server.limit == 18
        assert (await rig.callback("w0", "done", result="made")).target == "204"
        assert (await read_message(kept)).target == "200"
        for _, writer in (*flood, (kept, kept_writer)):
            writer.close()
        await until(lambda: not rig.frontend.server.accepted)
        assert not rig.frontend.server.new and not rig.frontend.server.idle


@on_loop
async def test_idle_connections_make_room_and_too_many_items_are_turned_away():
    async with DispatcherRig(taken, sockets=12) as rig:  # four items at most
        rig.frontend.server.limit = 6
        idle = [await rig.connect() for _ in range(6)]
        await until(lambda: len(rig.frontend.server.new) == 6)
        for connection in rig.frontend.server.new:
            rig.frontend.server.new[connection] -= 5.0  # silent for long
        busy = []
        for number in range(4):
            reader, writer = await rig.connect()
            writer.write(request("/look/1", wi=f"i{number}"))
            busy.append((reader, writer))
            await until(lambda number=number: len(rig.frontend.waiting) == number + 1)
        assert len(rig.frontend.server.accepted) <= 6
        assert await idle[0][0].read() == b""  # the longest idle was closed
        told = await rig.exchange(request("/look/1", wi="more"))
        assert told.target == "503" and told.headers["connection"] == "close"
        # Callbacks still get through, and every item that was taken its answer.
        for number, (reader, _) in enumerate(busy):
            worker = await the_worker_of(rig, f"i{number}")
            assert (await rig.callback(worker, "done", f"i{number}", result="made")).target == "204"
            assert (await read_message(reader)).target == "200"
        for _, writer in (*idle, *busy):
            writer.close()


async def the_worker_of(rig, wi):
    await until(lambda: wi in rig.core.requests and rig.core.requests[wi].attempts)
    return rig.core.requests[wi].attempts[0].endpoint_id


@on_loop
async def test_with_no_descriptor_left_nothing_crashes_and_no_item_is_lost():
    async with DispatcherRig(taken, taken, taken) as rig:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        reader, writer = await rig.connect()
        await until(lambda: rig.frontend.server.accepted)
        waiting = socket.create_connection(("127.0.0.1", rig.service.port))  # connected, not yet accepted
        held = []
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (64, hard))
            while len(held) < 64:
                try:
                    held.append(os.open(os.devnull, os.O_RDONLY))
                except OSError:
                    break
            writer.write(request("/look/1"))
            told = await read_message(reader)
            # No worker could be reached, which proves that the item never ran: the client may come again.
            assert told.target == "503" and not any([worker.seen for worker in rig.endpoints])
            assert rig.core.counters["no descriptor"] and not rig.core.counters["faults"]
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for descriptor in held:
                os.close(descriptor)
        # As soon as there are some again all goes on, also for the connection that had to wait.
        waiting.sendall(request("/look/1", wi="b"))
        writer.write(request("/look/1", wi="c"))
        for wi in ("b", "c"):
            await rig.callback(await the_worker_of(rig, wi), "done", wi, result="made")
        assert (await read_message(reader)).target == "200"
        assert (await asyncio.to_thread(waiting.recv, 100)).startswith(b"HTTP/1.1 200")
        waiting.close()
        writer.close()
