"""Endings that cross something still owed, on sockets, each held at a named point (docs/endings.md)."""

import asyncio
import json

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.fake_server import FakeServer
from support.http_messages import ACCEPTED, chunk, read_message, request, response

FULL = response(503, b"", "X-Rejected: 1")
WAYS = {
    "close": lambda writer: writer.close(),
    "reset": lambda writer: writer.transport.abort(),
    "half-close": lambda writer: writer.write_eof(),
}


def posts(rig):
    """The workers that have seen a hand-off, and of which item."""
    return [
        (number, call.headers["x-call-id"])
        for number, worker in enumerate(rig.endpoints)
        for call in worker.seen
        if call.method == "POST"
    ]


class Late:
    """Connections to workers come up when they are told to."""

    def __init__(self, rig):
        self.connector = rig.service.upstream.session.connector
        self.connect, self.connector.connect = self.connector.connect, self._late
        self.coming, self.up = 0, asyncio.Event()

    async def _late(self, *what, **how):
        self.coming += 1
        connection = await self.connect(*what, **how)
        await self.up.wait()
        return connection


async def serves(rig, wi):
    """The next good request is served."""
    reader, writer = await rig.connect()
    writer.write(request("/look/1", wi=wi))
    await until(lambda: wi in [seen for _, seen in posts(rig)])
    (worker,) = [number for number, seen in posts(rig) if seen == wi]
    await rig.callback(f"w{worker}", "done", wi, result="made")
    assert (await read_message(reader)).target == "200"
    writer.close()


@pytest.mark.parametrize("way", WAYS)
@on_loop
async def test_a_client_that_goes_while_its_hand_off_connects_has_nothing_sent(way):
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        late = Late(rig)
        _, writer = await rig.connect()
        writer.write(request("/look/1"))
        await until(lambda: late.coming)
        WAYS[way](writer)
        await until(lambda: not rig.frontend.waiting)
        late.up.set()
        await until(lambda: not rig.core.requests and not rig.service.upstream.tasks)
        assert not posts(rig)
        await serves(rig, "b")
        writer.close()


@pytest.mark.parametrize("way", WAYS)
@on_loop
async def test_a_client_that_goes_between_two_attempts_has_no_further_one(way):
    held = asyncio.Event()

    def say(call):
        return turned_away() if call.headers.get("x-call-id") == "a" and call.method == "POST" else ACCEPTED

    async def turned_away():
        await held.wait()
        yield FULL

    async with DispatcherRig(say, say) as rig:
        _, writer = await rig.connect()
        writer.write(request("/look/1"))
        await until(lambda: posts(rig))
        WAYS[way](writer)
        # The worker's word comes in the moment in which the client is seen to have gone.
        held.set()
        await until(lambda: not rig.core.requests and not rig.service.upstream.tasks)
        assert len(posts(rig)) == 1 and rig.core.counters["withdrawn"] == 1
        await serves(rig, "b")
        writer.close()


@pytest.mark.parametrize("way", WAYS)
@on_loop
async def test_a_client_that_goes_while_its_item_is_held_has_nothing_sent(way):
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        brain = rig.core.router
        await until(lambda: brain.endpoints.all)
        brain.endpoints.all[0].other_slots = 9.0  # no available slot there
        _, writer = await rig.connect()
        writer.write(request("/look/1", b"x", "X-Call-Cost: 10000"))
        await until(lambda: brain.queue.waiting)
        WAYS[way](writer)
        await until(lambda: not rig.core.requests)
        assert not brain.queue.waiting and not posts(rig)
        brain.endpoints.all[0].other_slots = 0.0
        await serves(rig, "b")
        writer.close()


@on_loop
async def test_an_answer_that_is_written_to_a_client_that_has_gone_harms_nobody():
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        _, writer = await rig.connect()
        writer.write(request("/look/1"))
        await until(lambda: posts(rig))
        job = rig.core.requests["a"].request
        told = asyncio.create_task(rig.callback("w0", "done", result="made"))
        await until(lambda: job.answer.done())
        writer.transport.abort()
        assert (await told).target == "204"
        await until(lambda: not rig.core.requests and not rig.frontend.waiting)
        assert not rig.core.counters["faults"]
        await serves(rig, "b")


@pytest.mark.parametrize("phase", ["Terminating", "Gone"])
@on_loop
async def test_a_worker_that_is_to_drain_while_a_connection_comes_up_gets_nothing(phase):
    # Guards against first bytes long after the decision: connections may take a second and a half.
    async with DispatcherRig(lambda call: ACCEPTED, lambda call: ACCEPTED) as rig:
        late = Late(rig)
        reader, writer = await rig.connect()
        writer.write(request("/look/1"))
        await until(lambda: late.coming == 1)
        (attempt,) = rig.core.requests["a"].attempts
        chosen = int(attempt.endpoint_id[1:])
        gone = member(attempt.endpoint_id, rig.endpoints[chosen].address, phase)
        rig.discovery.announce(members(gone, revision=2, complete=False))
        await until(lambda: attempt.endpoint_id not in rig.core.endpoints.ready_ids)
        late.up.set()
        other = 1 - chosen
        await until(lambda: posts(rig))
        assert posts(rig) == [(other, "a")] and rig.core.counters["ho barred"] == 1
        await rig.callback(f"w{other}", "done", result="made")
        assert (await read_message(reader)).target == "200"
        writer.close()


@on_loop
async def test_idle_clients_fill_the_descriptors_while_discovery_is_down_and_it_is_heard_again(monkeypatch):
    # What is reserved for discovery, workers and callbacks is not given to clients; idle ones give way.
    monkeypatch.setattr("dunepulley.net.frontend.connection_table.MIN_IDLE_S", 0.0)
    up = asyncio.Event()

    async def watch(call):
        if not up.is_set():
            yield b""
            await up.wait()
            return
        yield b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        gone = member("w0", rig.endpoints[0].address, "Terminating")
        yield chunk(json.dumps(members(gone, revision=5, complete=False)).encode() + b"\n")
        await asyncio.Event().wait()

    async with FakeServer(watch) as agent:
        rig = DispatcherRig(lambda call: ACCEPTED, lambda call: ACCEPTED, sockets=64)
        rig.discovery = agent
        async with rig:
            await until(lambda: agent.seen)
            server = rig.frontend.server
            idle = [await rig.connect() for _ in range(3 * server.limit)]
            await until(lambda: len(server.accepted) == server.limit == 36)
            await serves(rig, "b")
            up.set()
            await until(lambda: "w0" not in rig.core.endpoints.ready_ids)
            await serves(rig, "c")
            assert (1, "c") in posts(rig) and len(server.accepted) <= server.limit
            connector = rig.service.upstream.session.connector
            # A sixteenth for operators, an eighth in exchanges, as many idle: room for discovery is left.
            assert server.limit + 64 // 16 + 2 * connector.limit <= 64 - 8
            for _, writer in idle:
                writer.close()


@on_loop
async def test_a_flood_that_sends_much_at_once_and_goes_has_little_sent_and_nothing_kept():
    async with DispatcherRig(*[lambda call: ACCEPTED] * 2, sockets=256) as rig:
        late = Late(rig)
        writers = []
        for number in range(40):
            _, writer = await rig.connect()
            writer.write(request("/look/1", wi=f"f{number}"))
            writers.append(writer)
        await until(lambda: rig.core.counters["taken"] == 40)
        for writer in writers:
            writer.transport.abort()
        await until(lambda: not rig.frontend.waiting)
        late.up.set()
        await until(lambda: not rig.core.requests and not rig.service.upstream.tasks)
        assert not posts(rig) and not rig.core.router.lifecycle.requests
        await serves(rig, "b")


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"POST /look/1 HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400"),
        (b"POST /look/1 HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", "413"),
        (b"POST /look/1 HTTP/1.1\r\nX-Long: ", "431"),
    ],
)
@on_loop
async def test_who_is_refused_reads_why_and_then_the_end_though_more_was_on_its_way(head, status):
    # Guards against a close over unread bytes: it resets the connection, and the answer goes with it.
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        reader, writer = await rig.connect()
        writer.write(head + b"x" * 1_000_000)
        assert (await read_message(reader)).target == status
        assert await reader.read() == b""
        await until(lambda: not rig.frontend.server.accepted)
        await serves(rig, "b")
        writer.close()


@pytest.mark.parametrize(
    ("busy", "raw", "unsent", "owes"),
    [(False, b"", 0, False), (True, b"", 0, True), (False, b"POST", 0, True), (False, b"", 9, True)],
)
@on_loop
async def test_what_is_owed_at_the_end(busy, raw, unsent, owes):
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        _, writer = await rig.connect()
        await until(lambda: rig.frontend.server.accepted)
        (connection,) = rig.frontend.server.accepted
        connection.is_busy, connection.buffer.received = busy, bytearray(raw)
        connection.transport.get_write_buffer_size = lambda: unsent
        assert rig.frontend.server.has_unsent_responses() is owes
        writer.close()


@on_loop
async def test_a_silent_worker_and_a_second_answer_end_nothing_twice():
    # A second answer behind the first, some moments later, is no answer to the next hand-off.
    def say(call):
        if call.method == "DELETE":
            return response(204)
        return ACCEPTED + response(500) if call.headers["x-call-id"] == "a" else ACCEPTED

    async with DispatcherRig(say) as rig:
        for wi in ("a", "b", "c"):
            await serves(rig, wi)
        assert not rig.core.counters["ho erred"] and rig.core.counters["ho finished"] == 3
