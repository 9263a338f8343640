"""The memory for requests and responses: one budget for all that clients have sent and have not read."""

import asyncio
import socket

import pytest
from support.client_sockets import ClientSocket
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.http_messages import ACCEPTED, HEALTH_REQUEST, read_message, request, response

from dunepulley.net.frontend import connection as client_connection
from dunepulley.net.frontend import connection_table
from dunepulley.net.frontend.connection import MAX_KEPT_HEAD_BYTES
from dunepulley.net.handover import FULL_LIMIT_FRACTION, SHARED_LIMIT_FRACTION

LARGE = b"x" * 60_000
LATE = {f"categories__{number}__dueTimeMs": 60000.0 for number in range(3)}


def respond(call):
    return response(204) if call.method == "DELETE" else ACCEPTED


async def send_large(rig, request_id):
    """Send a large request, and wait until it is in progress."""
    reader, writer = await rig.connect()
    writer.write(request("/look/1", LARGE, request_id=request_id))
    await until(lambda: request_id in rig.core.requests)
    return reader, writer


async def endpoint_of(rig, request_id):
    """Wait until a request has an attempt; return the endpoint's name."""
    await until(lambda: request_id in rig.core.requests and rig.core.requests[request_id].attempts)
    return rig.core.requests[request_id].attempts[-1].endpoint_id


async def complete(rig, request_id, result="made"):
    """Send the callback that completes a request."""
    name = await endpoint_of(rig, request_id)
    return await rig.callback(name, "done", request_id, result=result)


@on_loop
async def test_large_requests_leave_memory_for_small_ones_and_callbacks():
    # Guards against memory that grows with the number of clients: only incomplete requests were counted.
    async with DispatcherRig(respond, **LATE) as rig:
        table = rig.frontend.server
        table.max_request_bytes = 3 * len(LARGE)
        first = await send_large(rig, "a"), await send_large(rig, "b")
        assert table.complete_bytes > 2 * len(LARGE)
        rejected = await rig.exchange(request("/look/1", LARGE, request_id="c"))
        assert (rejected.target, rejected.headers["connection"]) == ("503", "close")
        assert "c" not in rig.core.requests and not rig.frontend.waiting.get("c")
        _, small = await rig.connect()
        small.write(request("/look/1", request_id="d"))
        await until(lambda: "d" in rig.core.requests)
        assert (await rig.exchange(HEALTH_REQUEST)).target == "200"
        for request_id, (reader, writer) in zip("ab", first, strict=True):
            assert (await complete(rig, request_id, result="y" * 40_000)).target == "204"
            assert (await read_message(reader)).body == b"y" * 40_000
            writer.close()
        small.close()
        await until(lambda: not table.accepted)
        assert table.complete_bytes == table.partial_bytes == 0


@on_loop
async def test_partial_requests_give_way_to_complete_ones():
    async with DispatcherRig(respond, **LATE) as rig:
        table = rig.frontend.server
        table.max_request_bytes = 5 * len(LARGE)
        halves = [await rig.connect() for _ in range(3)]
        for number, (_, writer) in enumerate(halves):
            writer.write(request("/look/1", LARGE, request_id=f"h{number}")[:-1])
            await until(lambda number=number: len(table.partial) == number + 1)
        await until(lambda: table.partial_bytes > 3 * len(LARGE))
        sent = []  # the connections stay open
        for count, request_id in enumerate("abc", 1):
            sent.append(await send_large(rig, request_id))
            # The oldest ones are closed.
            await until(lambda count=count: len(table.partial) == min(3, 4 - count))
        assert table.partial_bytes + table.complete_bytes <= table.max_request_bytes
        table.max_request_bytes *= 2
        halves[2][1].write(b"x")
        await until(lambda: "h2" in rig.core.requests)
        assert not rig.core.counters["turned away 503"]


@on_loop
async def test_two_processes_of_a_hot_restart_share_the_memory():
    # Guards against twice the memory for requests while two processes serve: they share one limit.
    async with DispatcherRig(respond, **LATE) as rig:
        table = rig.frontend.server
        table.max_request_bytes = 6 * len(LARGE)
        table.max_partial_bytes = 4 * len(LARGE)
        halves = [await rig.connect() for _ in range(3)]
        for number, (_, writer) in enumerate(halves):
            writer.write(request("/look/1", LARGE, request_id=f"h{number}")[:-1])
            await until(lambda number=number: len(table.partial) == number + 1)
        await until(lambda: table.partial_bytes > 3 * len(LARGE))
        rig.service.hot_restart_actions._use_limits(SHARED_LIMIT_FRACTION)
        assert len(table.partial) == 1 and table.partial_bytes <= 2 * len(LARGE)
        halves[2][1].write(b"x")
        await until(lambda: "h2" in rig.core.requests)
        _, writer = await send_large(rig, "a")
        assert (await rig.exchange(request("/look/1", LARGE, request_id="b"))).target == "503"
        rig.service.hot_restart_actions._use_limits(FULL_LIMIT_FRACTION)
        _, other = await send_large(rig, "b")
        for each in (halves[2][1], writer, other):
            each.close()


@on_loop
async def test_own_part_of_a_request_does_not_count_twice():
    async with DispatcherRig(respond, **LATE) as rig:
        rig.frontend.server.max_request_bytes = int(1.5 * len(LARGE))
        _, writer = await rig.connect()
        raw = request("/look/1", LARGE)
        writer.write(raw[:-1])
        await until(lambda: rig.frontend.server.partial_bytes == len(raw) - 1)
        writer.write(raw[-1:])
        await endpoint_of(rig, "a")
        writer.close()


@pytest.mark.parametrize("ending", ["answered", "left"])
@on_loop
async def test_body_is_freed_once_the_request_needs_no_attempt(ending):
    # Guards against bodies that stay in memory while attempts are cancelled, which may take seconds.
    may_confirm = asyncio.Event()

    async def confirmation():
        await may_confirm.wait()
        yield response(204)

    async with DispatcherRig(lambda call: confirmation() if call.method == "DELETE" else ACCEPTED) as rig:
        _, writer = await send_large(rig, "a")
        open_request = rig.core.requests["a"]
        await until(lambda: rig.core.counters["ho accepted"])
        assert open_request.request.body == LARGE
        if ending == "left":
            writer.transport.abort()
        else:
            await complete(rig, "a")
        await until(lambda: open_request.answered)
        assert open_request.request.body == b""
        assert rig.endpoints[0].seen[0].body == LARGE
        may_confirm.set()
        await until(lambda: "a" not in rig.core.requests)
        writer.close()


@on_loop
async def test_idle_connection_holds_neither_its_last_request_nor_its_response(monkeypatch):
    # Guards against 128 KB for each connection that waits for its next request: the library keeps both.
    async with DispatcherRig(respond) as rig:
        served = []
        route = rig.frontend._route

        async def route_and_note(message, connection):
            answer = await route(message, connection)
            served.append((message, answer[0]))
            return answer

        monkeypatch.setattr(rig.frontend, "_route", route_and_note)
        reader, writer = await send_large(rig, "a")
        await complete(rig, "a", result="y" * 40_000)
        assert (await read_message(reader)).body == b"y" * 40_000
        await until(lambda: rig.frontend.server.idle)
        [(message, answer)] = [each for each in served if each[0].path == "/look/1"]
        assert message._read_bytes is None and answer.body is None
        writer.write(request("/look/1", LARGE, request_id="b"))
        await complete(rig, "b")
        assert (await read_message(reader)).target == "200"
        writer.close()


@pytest.mark.parametrize(("padding", "connection"), [(2000, None), (MAX_KEPT_HEAD_BYTES, "close")])
@on_loop
async def test_connection_is_closed_after_a_long_head(padding, connection):
    # The library keeps the head of the last request, with its parsed fields, for as long as the connection.
    async with DispatcherRig(respond) as rig:
        reader, writer = await rig.connect()
        writer.write(request("/look/1", b"x", "X-Pad: " + "a" * padding))
        await complete(rig, "a")
        message = await read_message(reader)
        assert (message.target, message.headers.get("connection")) == ("200", connection)
        writer.close()


class UnreadResponse:
    """A client that reads nothing of its response, most of which is in this process."""

    def __init__(self, rig, request_id):
        self.rig = rig
        self.request_id = request_id

    async def __aenter__(self):
        known = set(self.rig.frontend.server.accepted)
        self.client = await ClientSocket(self.rig.service.port, receive_buffer=2048).__aenter__()
        await self.client.send(request("/look/1", request_id=self.request_id))
        name = await endpoint_of(self.rig, self.request_id)
        (self.connection,) = set(self.rig.frontend.server.accepted) - known
        sending = self.connection.transport.get_extra_info("socket")
        sending.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        await self.rig.callback(name, "done", self.request_id, result="y" * 60_000)
        await until(self.connection.transport.get_write_buffer_size)
        return self

    async def __aexit__(self, *_):
        await self.client.__aexit__()


@on_loop
async def test_response_counts_until_the_client_has_read_it(monkeypatch):
    async with DispatcherRig(respond, **LATE) as rig, UnreadResponse(rig, "a") as unread:
        table = rig.frontend.server
        assert unread.connection.counted_bytes > 60_000 and unread.connection in table.unread
        assert unread.connection.is_busy
        ending = await unread.client.read_outcome()
        assert (ending.status, ending.body) == ("200", b"y" * 60_000)
        await until(lambda: unread.connection in table.idle)
        assert not table.unread and unread.connection.counted_bytes == 0


@on_loop
async def test_client_that_does_not_read_its_response_is_closed_after_a_limit(monkeypatch):
    monkeypatch.setattr(client_connection, "MAX_RESPONSE_S", 0.2)
    async with DispatcherRig(respond, **LATE) as rig, UnreadResponse(rig, "a") as unread:
        await until(lambda: unread.connection not in rig.frontend.server.accepted)
        await until(lambda: not rig.frontend.waiting)


@on_loop
async def test_longest_unread_response_is_dropped_when_the_memory_is_used_up(monkeypatch):
    # Guards against memory that grows with each client that sends requests and reads no response.
    monkeypatch.setattr(connection_table, "MIN_UNREAD_S", 0.0)
    async with DispatcherRig(respond, **LATE) as rig:
        table = rig.frontend.server
        table.max_request_bytes = 150_000
        async with UnreadResponse(rig, "a") as first, UnreadResponse(rig, "b") as second:
            assert not rig.core.counters["unread responses dropped"]
            async with UnreadResponse(rig, "c") as third:
                await until(lambda: first.connection not in table.accepted)
                assert {second.connection, third.connection} <= set(table.unread)
                assert rig.core.counters["unread responses dropped"] == 1


@on_loop
async def test_rejected_connection_gives_way_first_and_holds_no_bytes():
    async with DispatcherRig(respond) as rig:
        table = rig.frontend.server
        _, new = await rig.connect()
        await until(lambda: table.new)
        _, rejected = await rig.connect()
        rejected.write(b"POST /look/1 HTTP/1.1\r\nContent-Length: 99999\r\n\r\n" + LARGE[:30_000])
        await until(lambda: table.rejected)
        assert table.partial_bytes == 0
        assert table.evict_connection() and not table.rejected and len(table.new) == 1
        for writer in (new, rejected):
            writer.close()


@on_loop
async def test_closed_connection_frees_what_it_has_received_at_once():
    # Guards against hundreds of buffers that are freed a turn of the event loop later, all at once.
    async with DispatcherRig(respond) as rig:
        table = rig.frontend.server
        _, writer = await rig.connect()
        writer.write(request("/look/1", LARGE)[:-1])
        await until(lambda: table.partial_bytes > len(LARGE))
        (connection,) = table.partial
        table.max_partial_bytes = 0
        table.mark_partial(connection)
        assert connection.buffer.size() == 0 and table.partial_bytes == 0
        writer.close()
