"""Every request that was read gets its final response in time, whatever endpoints and other clients do."""

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

# A short deadline, and how long after it the final response may arrive, in ms.
DEADLINE_MS, LATE_MS = 300, 500


async def endless_response():
    yield CHUNKED_HEAD
    while True:
        yield chunk(bytes(1000))
        await asyncio.sleep(0.01)


async def truncated_response():
    yield b"HTTP/1.1 500 Any\r\nContent-Length: 9\r\n\r\nhalf"


FAULTS = {
    "hangs": lambda call: SILENT,
    "resets": lambda call: ABORT,
    "closes": lambda call: CLOSE,
    "sends an endless response": lambda call: endless_response(),
    "sends a truncated response": lambda call: truncated_response(),
    "sends a malformed response": lambda call: b"nonsense\r\n\r\n",
    "accepts but sends no callback": lambda call: ACCEPTED,
    "rejects": lambda call: response(503, b"", "X-Rejected: 1"),
    "fails": lambda call: response(500),
    "refuses connections": None,
    "accepts connections late": "late",
}


async def status_in_time(rig, target="/look/1", request_id="good"):
    """Send a request with a short deadline over a new connection; return the status of its response."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    reader, writer = await rig.connect()
    writer.write(request(target, b"x", request_id=request_id, budget=DEADLINE_MS))
    message = await asyncio.wait_for(read_message(reader), 4.0)
    assert (loop.time() - started_s) * 1000.0 <= DEADLINE_MS + LATE_MS
    writer.close()
    return message.target


@pytest.mark.parametrize(("target", "hedging"), [("/look/1", True), ("/pay/1", False)])
@pytest.mark.parametrize("fault", FAULTS)
@on_loop
async def test_request_with_a_short_deadline_is_answered_in_time_despite_faulty_endpoints(
    fault, target, hedging
):
    script = FAULTS[fault] if callable(FAULTS[fault]) else FAULTS["accepts but sends no callback"]
    rig = DispatcherRig(script, script, policyLimits__secondCopies=hedging)
    for number in range(3):
        rig.settings[f"categories.{number}.dueTimeMs"] = 0.8 * DEADLINE_MS
        rig.settings[f"categories.{number}.expiryMs"] = float(DEADLINE_MS)
    async with rig:
        if fault == "accepts connections late":
            LateConnections(rig)
        if fault == "refuses connections":
            for endpoint in rig.endpoints:
                endpoint.server.close()
        assert await status_in_time(rig, target) in ("500", "503")
        assert not rig.core.counters["faults"]


def partial_request(number):
    return request("/look/1", b"x" * 100, request_id=f"h{number}")[:-40]


def pipelined_requests(number):
    return request("/look/1", request_id=f"p{number}") + request("/look/1", request_id=f"q{number}") * 300


def abandoned_request(number):
    return request("/look/1", request_id=f"l{number}")


@pytest.mark.parametrize("flood", [None, partial_request, pipelined_requests, abandoned_request])
@on_loop
async def test_request_is_answered_in_time_despite_a_flood_of_other_clients(flood):
    # The endpoints accept everything and send no callbacks. The other clients stay connected, except those
    # with abandoned requests.
    def respond(call):
        return response(204) if call.method == "DELETE" else ACCEPTED

    async with DispatcherRig(respond, respond, sockets=64) as rig:
        flood_writers = []
        for number in range(2 * rig.frontend.server.limit):
            with contextlib.suppress(ConnectionError):
                _, writer = await rig.connect()
                flood_writers.append(writer)
                if flood is not None:
                    writer.write(flood(number))
        if flood is abandoned_request:
            await until(lambda: rig.core.counters["taken"])
            for writer in flood_writers:
                writer.transport.abort()
        assert await status_in_time(rig) in ("500", "503")
        assert not rig.core.counters["faults"]
        for writer in flood_writers:
            writer.transport.abort()


def posts(rig):
    """Return the ids of the requests that the endpoint has received, in order."""
    return [call.headers["x-call-id"] for call in rig.endpoints[0].seen if call.method == "POST"]


@on_loop
async def test_requests_sent_during_the_start_are_answered_after_it(monkeypatch):
    # The kernel accepts connections from the bind on; nothing is read before the agent's first list.
    monkeypatch.setattr(list_polling, "STARTUP_TIMEOUT_S", 10.0)
    # The latency objective is late, so that on a busy machine no queued request is rejected early.
    rig = DispatcherRig(lambda call: ACCEPTED, discovery="pushed", categories__0__dueTimeMs=4000.0)
    entering = asyncio.create_task(rig.__aenter__())
    await until(lambda: rig.discovery.seen and rig.service.port)
    waiting = [await rig.connect() for _ in range(5)]
    for number, (_, writer) in enumerate(waiting):
        writer.write(request("/look/1", request_id=f"w{number}"))
    rig.discovery.announce(members(member("w0", rig.endpoints[0].address), revision=9))
    await entering
    # The endpoint has one slot: the requests run one after the other, in any order.
    for number in range(len(waiting)):
        await until(lambda number=number: len(posts(rig)) > number)
        await rig.callback("w0", "done", posts(rig)[number], result="made")
    for reader, writer in waiting:
        assert (await read_message(reader)).target == "200"
        writer.close()
    await rig.__aexit__()


class PushedListProcess(DispatcherProcess):
    """A process with pushed endpoint lists: its start waits up to a second for the agent's first list."""

    def config(self, known=ENDPOINT_COUNT):
        path = super().config(known)
        document = json.loads(path.read_text())
        document["settings"]["discovery"] = "automatic"
        path.write_text(json.dumps(document))
        return path


@on_loop
async def test_sigterm_during_the_start_answers_clients_that_have_connected(tmp_path):
    # Guards against requests that are lost when the kernel resets the listener's queue at exit.
    async with DispatcherHost(tmp_path) as host:
        process = PushedListProcess(host)
        host.nodes.append(process)
        await process.start(ENDPOINT_COUNT)
        async with asyncio.timeout(8.0):
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await host.open(request("/look/1", request_id="early"))
                    break
                await asyncio.sleep(0.005)
        process.process.send_signal(signal.SIGTERM)
        message = await asyncio.wait_for(read_message(reader), 4.0)
        assert (message.target, message.headers["connection"]) == ("503", "close")
        code, log_text = await process.wait_for_exit()
        assert code == 0 and "listens at" not in log_text and not host.received_ids()
        writer.close()
