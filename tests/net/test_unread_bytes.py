"""Clients that send much behind their request and go: nothing of it is sent on after they have gone."""

import asyncio
import socket

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.http_messages import ACCEPTED, HEALTH_REQUEST, read_message, request, response

from dunepulley.net.frontend.connection import MAX_EXCESS_BYTES

LATE = {f"categories__{number}__dueTimeMs": 60000.0 for number in range(3)}
# More than the buffers of the operating system hold for a connection, so that the close stays behind it.
FLOOD = bytes(32 * 1024 * 1024)


def respond(call):
    return response(204) if call.method == "DELETE" else ACCEPTED


async def send_and_close(port, raw):
    """Send as much as the operating system takes, and close the connection."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setblocking(False)
    await loop.sock_connect(client, ("127.0.0.1", port))
    sent = client.send(raw)
    await asyncio.sleep(0)
    while True:
        try:
            sent += client.send(raw[sent:])
        except BlockingIOError:
            break
        if sent == len(raw):
            break
    client.close()
    return sent


@on_loop
async def test_request_whose_client_has_gone_behind_much_unread_is_not_sent_on():
    # Guards against an attempt for a client that has gone: its close is not received before the bytes that it
    # has left are read, and these were not read while its request waited.
    async with DispatcherRig(respond, **LATE) as rig:
        for endpoint in rig.core.router.endpoints.all:  # the request has to wait for an available slot
            endpoint.full_until_ms = float("inf")
        sent = await send_and_close(rig.service.port, request("/look/1") + FLOOD)
        assert sent > MAX_EXCESS_BYTES
        await until(lambda: rig.core.counters["taken"] == 1)
        await until(lambda: not rig.core.requests and not rig.frontend.waiting)
        assert rig.core.counters["withdrawn"] == 1 and not rig.endpoints[0].seen
        await until(lambda: not rig.frontend.server.accepted)
        assert rig.frontend.server.complete_bytes == 0 and not rig.core.counters["faults"]


@on_loop
async def test_attempt_of_a_client_that_floods_behind_its_request_is_cancelled():
    async with DispatcherRig(respond, **LATE) as rig:
        reader, writer = await rig.connect()
        writer.write(request("/look/1"))
        await until(lambda: rig.core.counters["ho accepted"])
        writer.write(FLOOD[: 2 * MAX_EXCESS_BYTES])
        message = await read_message(reader)
        assert (message.target, message.headers["connection"]) == ("400", "close")
        await until(lambda: [call.method for call in rig.endpoints[0].seen] == ["POST", "DELETE"])
        await until(lambda: not rig.core.requests and not rig.frontend.server.accepted)
        assert (await rig.exchange(HEALTH_REQUEST)).target == "200"
        writer.close()


@pytest.mark.parametrize("size", [1, 100_000, MAX_EXCESS_BYTES])
@on_loop
async def test_bytes_up_to_the_limit_cost_no_response_and_hide_no_close(size):
    async with DispatcherRig(respond, **LATE) as rig:
        answered, left = await rig.connect(), await rig.connect()
        for request_id, (_, writer) in zip("ab", (answered, left), strict=True):
            writer.write(request("/look/1", request_id=request_id))
            await until(lambda request_id=request_id: request_id in rig.core.requests)
            writer.write(bytes(size))
        await until(lambda: [c.excess_bytes for c in rig.frontend.server.accepted].count(size) == 2)
        left[1].close()
        await until(lambda: rig.core.counters["withdrawn"] == 1)
        name = rig.core.requests["a"].attempts[0].endpoint_id
        await rig.callback(name, "done", "a", result="made")
        assert (await read_message(answered[0])).target == "200"
        assert (await read_message(answered[0])).target == "400"
        answered[1].close()
