"""The queue of steps that are spread over turns of the event loop, and requests that wait in it."""

import asyncio

import pytest
from support.dispatcher_rig import LATE_OBJECTIVES, DispatcherRig
from support.event_loop import on_loop, until
from support.http_messages import ACCEPTED, HEALTH_REQUEST, read_message, request, response

from dunepulley.net.frontend import connection_table
from dunepulley.net.frontend.connection import Connection
from dunepulley.net.frontend.framing import RequestBuffer
from dunepulley.net.frontend.turn_queue import TurnQueue


class Steps:
    """Counts the steps of each item in `run`; an item is added again until it has run `times` times."""

    def __init__(self, per_turn=1, **times):
        self.times = times
        self.run = []
        self.queue = TurnQueue(asyncio.get_running_loop(), self.step, self.run.append, per_turn)

    def step(self, item):
        self.run.append(item)
        self.times[item] -= 1
        if self.times[item]:
            self.queue.add(item)


@pytest.mark.parametrize("per_turn", [1, 2, 3])
@on_loop
async def test_a_limited_number_of_steps_runs_in_each_turn_in_the_order_of_arrival(per_turn):
    steps = Steps(per_turn, a=3, b=2, left=9)
    for item in ("a", "b", "left"):
        steps.queue.add(item)
    steps.queue.discard("left")
    for turn in range(1, 7):
        await asyncio.sleep(0)
        assert len(steps.run) == min(turn * per_turn, 5)
    assert steps.run == ["a", "b", "a", "b", "a"] and len(steps.queue) == 0


@on_loop
async def test_a_step_runs_at_once_while_the_turn_has_some_left():
    steps = Steps(2, a=1, b=1, c=1, d=1)
    for item in "abcd":
        steps.queue.run_or_add(item)
    assert steps.run == ["a", "b"]
    await asyncio.sleep(0)
    assert steps.run == ["a", "b", "c", "d"]
    # The next turn is free again once the queue has been empty for one.
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    steps.times["e"] = 1
    steps.queue.run_or_add("e")
    assert steps.run[-1] == "e"


@on_loop
async def test_a_step_that_fails_is_reported_and_does_not_stop_the_others():
    logged = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: logged.append(context["exception"]))
    run, failed = [], []

    def step(item):
        if item.startswith("faulty"):
            raise RuntimeError("fault")
        run.append(item)

    queue = TurnQueue(loop, step, failed.append)
    queue.run_or_add("faulty at once")
    queue.add("faulty")
    queue.add("next")
    await until(lambda: run == ["next"])
    assert failed == ["faulty at once", "faulty"] and len(logged) == 2


MANY_CHUNKS = b"POST /look/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 2000


@pytest.mark.parametrize(
    ("queue", "raw", "owner", "method"),
    [
        ("decoding_queue", MANY_CHUNKS, RequestBuffer, "is_complete"),
        ("request_queue", request("/look/1"), Connection, "client_closed"),
    ],
)
@on_loop
async def test_a_connection_whose_step_fails_is_closed(monkeypatch, queue, raw, owner, method):
    # Guards against a client that waits in vain, on a connection whose bytes stay counted.
    def fail(self, *arguments):
        raise RuntimeError("fault")

    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        server = rig.frontend.server
        reader, writer = await rig.connect()
        with monkeypatch.context() as nobody_has_a_turn:
            nobody_has_a_turn.setattr(getattr(server, queue), "_per_turn", 0)
            writer.write(raw)
            await until(lambda: len(getattr(server, queue)) == 1)
        with monkeypatch.context() as fault:
            fault.setattr(owner, method, fail)
            getattr(server, queue)._schedule()
            assert await reader.read() == b""
            await until(lambda: not server.accepted)
        assert (server.partial_bytes, server.complete_bytes) == (0, 0)
        writer.close()
        reader, writer = await rig.connect()
        writer.write(HEALTH_REQUEST)
        assert (await read_message(reader)).target == "200"
        writer.close()


@on_loop
async def test_requests_wait_for_their_turn_in_the_order_of_arrival(monkeypatch):
    # Guards against hundreds of requests in one turn of the event loop: each of the ten turns that an
    # ordinary request takes lasted as long as all of theirs.
    monkeypatch.setattr(connection_table, "REQUESTS_PER_TURN", 1)
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        clients = [await rig.connect() for _ in range(20)]
        await until(lambda: len(rig.frontend.server.new) == 20)
        longest = 0
        for _, writer in clients:
            writer.write(HEALTH_REQUEST)
        for _ in range(300):
            longest = max(longest, len(rig.frontend.server.request_queue))
            await asyncio.sleep(0)
        assert longest > 1 and len(rig.frontend.server.request_queue) == 0
        for reader, writer in clients:
            assert (await read_message(reader)).target == "200"
            writer.close()


@on_loop
async def test_client_that_leaves_before_its_turn_is_not_served(monkeypatch):
    # Guards against the whole way of a request for each of many clients that send and go.
    def respond(call):
        return response(204) if call.method == "DELETE" else ACCEPTED

    async with DispatcherRig(respond, **LATE_OBJECTIVES) as rig:
        server = rig.frontend.server
        monkeypatch.setattr(server.request_queue, "_per_turn", 0)  # nobody has a turn
        clients = [await rig.connect() for _ in range(3)]
        for number, (_, writer) in enumerate(clients):
            writer.write(request("/look/1", request_id=f"i{number}"))
            await until(lambda number=number: len(server.request_queue) == number + 1)
        clients[0][1].close()  # its close is read while it waits
        await until(lambda: len(server.request_queue) == 2)
        (connection, *_) = list(server.request_queue._waiting)
        connection.transport.pause_reading()
        clients[1][1].close()  # its close is found only when its turn has come
        await clients[1][1].wait_closed()
        monkeypatch.undo()
        server.request_queue._schedule()
        await until(lambda: rig.core.counters["ho accepted"] == 1)
        assert [call.headers["x-call-id"] for call in rig.endpoints[0].seen] == ["i2"]
        assert rig.core.counters["taken"] == 1
        assert rig.core.counters["left before they were read"] == 1
        clients[2][1].close()


@on_loop
async def test_time_for_which_a_request_waits_for_its_turn_counts(monkeypatch):
    # The client's timeout runs from when its request was received.
    async with DispatcherRig(lambda call: ACCEPTED, **LATE_OBJECTIVES) as rig:
        server = rig.frontend.server
        monkeypatch.setattr(server.request_queue, "_per_turn", 0)
        _, writer = await rig.connect()
        writer.write(request("/look/1", budget=4000))
        await until(lambda: len(server.request_queue) == 1)
        (connection,) = list(server.request_queue._waiting)
        connection.completed_s -= 1.5
        monkeypatch.undo()
        server.request_queue._schedule()
        await until(lambda: rig.endpoints[0].seen)
        assert int(rig.endpoints[0].seen[0].headers["x-budget-ms"]) <= 2490
        writer.close()


@on_loop
async def test_request_that_waits_for_its_turn_is_answered_when_the_process_ends(monkeypatch):
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        server = rig.frontend.server
        monkeypatch.setattr(server.request_queue, "_per_turn", 0)
        reader, writer = await rig.connect()
        writer.write(request("/look/1"))
        await until(lambda: len(server.request_queue) == 1)
        assert server.has_unsent_responses()
        rig.frontend.leave("ending", 0.0)
        monkeypatch.undo()
        server.request_queue._schedule()
        assert (await read_message(reader)).target == "503"
        writer.close()
