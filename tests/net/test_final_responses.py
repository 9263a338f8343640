"""A request that was read has its final response, in time, whatever endpoints and other clients do."""

import asyncio
import contextlib
import json
import signal

import pytest
from support.delayed_attempts import LateConnections
from support.dispatcher_process import ENDPOINT_COUNT, DispatcherHost, DispatcherProcess
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.fake_server import ABORT, CLOSE, SILENT
from support.http_messages import ACCEPTED, CHUNKED_HEAD, chunk, read_message, request, response

from dunepulley.net import list_polling

# A class with a short deadline, in ms, and how long after it a final answer may come.
DEADLINE_MS, LATE_MS = 300, 500


async def without_end():
    yield CHUNKED_HEAD
    while True:
        yield chunk(bytes(1000))
        await asyncio.sleep(0.01)


async def cut_answer():
    yield b"HTTP/1.1 500 Any\r\nContent-Length: 9\r\n\r\nhalf"


TROUBLE = {
    "hangs": lambda call: SILENT,
    "resets": lambda call: ABORT,
    "closes": lambda call: CLOSE,
    "answers without end": lambda call: without_end(),
    "answers a half": lambda call: cut_answer(),
    "answers nonsense": lambda call: b"nonsense\r\n\r\n",
    "takes it and never calls back": lambda call: ACCEPTED,
    "turns away": lambda call: response(503, b"", "X-Rejected: 1"),
    "fails": lambda call: response(500),
    "refuses connects": None,
    "connects late": "late",
}


async def answered_in_time(rig, target="/look/1", wi="good"):
    """Send a request with a short deadline over a new connection; the status of its answer."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    reader, writer = await rig.connect()
    writer.write(request(target, b"x", wi=wi, budget=DEADLINE_MS))
    told = await asyncio.wait_for(read_message(reader), 4.0)
    assert (loop.time() - begun) * 1000.0 <= DEADLINE_MS + LATE_MS
    writer.close()
    return told.target


@pytest.mark.parametrize(("target", "copies"), [("/look/1", True), ("/pay/1", False)])
@pytest.mark.parametrize("trouble", TROUBLE)
@on_loop
async def test_trouble_at_endpoints_leaves_a_short_deadline_its_final_answer(trouble, target, copies):
    script = TROUBLE[trouble] if callable(TROUBLE[trouble]) else TROUBLE["takes it and never calls back"]
    rig = DispatcherRig(script, script, policyLimits__secondCopies=copies)
    for number in range(3):
        rig.settings[f"categories.{number}.dueTimeMs"] = 0.8 * DEADLINE_MS
        rig.settings[f"categories.{number}.expiryMs"] = float(DEADLINE_MS)
    async with rig:
        if trouble == "connects late":
            LateConnections(rig)
        if trouble == "refuses connects":
            for worker in rig.endpoints:
                worker.server.close()
        assert await answered_in_time(rig, target) in ("500", "503")
        assert not rig.core.counters["faults"]


def halves(number):
    return request("/look/1", b"x" * 100, wi=f"h{number}")[:-40]


def pipelines(number):
    return request("/look/1", wi=f"p{number}") + request("/look/1", wi=f"q{number}") * 300


def leaves(number):
    return request("/look/1", wi=f"l{number}")


@pytest.mark.parametrize("bad", [None, halves, pipelines, leaves])
@on_loop
async def test_other_clients_free_no_request_of_its_final_answer(bad):
    # The endpoints take all and say nothing; the others stay, but for those that leave in the middle.
    def say(call):
        return response(204) if call.method == "DELETE" else ACCEPTED

    async with DispatcherRig(say, say, sockets=64) as rig:
        crowd = []
        for number in range(2 * rig.frontend.server.limit):
            with contextlib.suppress(ConnectionError):
                _, writer = await rig.connect()
                crowd.append(writer)
                if bad is not None:
                    writer.write(bad(number))
        if bad is leaves:
            await until(lambda: rig.core.counters["taken"])
            for writer in crowd:
                writer.transport.abort()
        assert await answered_in_time(rig) in ("500", "503")
        assert not rig.core.counters["faults"]
        for writer in crowd:
            writer.transport.abort()


def posts(rig):
    """The ids of the requests that the endpoint has seen, in their order."""
    return [call.headers["x-call-id"] for call in rig.endpoints[0].seen if call.method == "POST"]


@on_loop
async def test_who_connects_before_a_start_is_done_is_answered_once_it_is(monkeypatch):
    # The address takes connections from the bind on; nothing is read before the agent's first word.
    monkeypatch.setattr(list_polling, "STARTUP_TIMEOUT_S", 10.0)
    # Due late, so that a busy machine has none given up while it waits for its turn.
    rig = DispatcherRig(lambda call: ACCEPTED, discovery="pushed", categories__0__dueTimeMs=4000.0)
    entering = asyncio.create_task(rig.__aenter__())
    await until(lambda: rig.discovery.seen and rig.service.port)
    waiting = [await rig.connect() for _ in range(5)]
    for number, (_, writer) in enumerate(waiting):
        writer.write(request("/look/1", wi=f"w{number}"))
    rig.discovery.announce(members(member("w0", rig.endpoints[0].address), revision=9))
    await entering
    # One slot: each in its turn, whichever that is.
    for number in range(len(waiting)):
        await until(lambda number=number: len(posts(rig)) > number)
        await rig.callback("w0", "done", posts(rig)[number], result="made")
    for reader, writer in waiting:
        assert (await read_message(reader)).target == "200"
        writer.close()
    await rig.__aexit__()


class PushedNode(DispatcherProcess):
    """A process whose lists are pushed: its start waits for the agent's first word, up to a second."""

    def config(self, known=ENDPOINT_COUNT):
        path = super().config(known)
        told = json.loads(path.read_text())
        told["settings"]["discovery"] = "automatic"
        path.write_text(json.dumps(told))
        return path


@on_loop
async def test_sigterm_before_a_start_is_done_answers_who_has_connected(tmp_path):
    # Guards against the address's queue, reset at the end: what was sent there is lost.
    async with DispatcherHost(tmp_path) as site:
        node = PushedNode(site)
        site.nodes.append(node)
        await node.start(ENDPOINT_COUNT)
        async with asyncio.timeout(8.0):
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await site.open(request("/look/1", wi="early"))
                    break
                await asyncio.sleep(0.005)
        node.process.send_signal(signal.SIGTERM)
        told = await asyncio.wait_for(read_message(reader), 4.0)
        assert (told.target, told.headers["connection"]) == ("503", "close")
        code, said = await node.ends()
        assert code == 0 and "listens at" not in said and not site.given()
        writer.close()
