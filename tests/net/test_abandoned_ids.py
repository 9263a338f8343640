"""Request ids that come again after their client has left: what may have run does not run again."""

import asyncio

import pytest
from support.dispatcher_process import DispatcherHost
from support.dispatcher_rig import KEY, LATE_OBJECTIVES, LOOK, PAY, STORE, DispatcherRig
from support.event_loop import on_loop, until
from support.fake_server import ABORT
from support.http_messages import ACCEPTED, read_message, request, response

from dunepulley.net import abandoned_requests
from dunepulley.net.abandoned_requests import AbandonedRequests


def respond(call):
    return response(204) if call.method == "DELETE" else ACCEPTED


def received_ids(rig):
    return [call.headers["x-call-id"] for call in rig.endpoints[0].seen if call.method == "POST"]


def message_for(target, request_id="a"):
    return request(target, b"x", *([KEY] if target == STORE else []), request_id=request_id)


async def send_and_leave(rig, target, request_id="a"):
    """Send a request, and close its connection once the endpoint has accepted it."""
    _, writer = await rig.connect()
    accepted = rig.core.counters["ho accepted"]
    writer.write(message_for(target, request_id))
    await until(lambda: rig.core.counters["ho accepted"] > accepted)
    writer.close()
    await until(lambda: request_id not in rig.core.requests)


@pytest.mark.parametrize("cancel_reply", [response(204), response(404), ABORT])
@pytest.mark.parametrize("target", [LOOK, STORE, PAY])
@on_loop
async def test_id_that_comes_again_after_its_client_has_left_does_not_run_again(target, cancel_reply):
    # Guards against a second run: the id was free again once the attempt's cancellation had ended.
    def respond_to(call):
        return cancel_reply if call.method == "DELETE" else ACCEPTED

    async with DispatcherRig(respond_to, **LATE_OBJECTIVES) as rig:
        await send_and_leave(rig, target)
        for _ in range(2):
            assert (await rig.exchange(message_for(target))).target == "409"
        assert received_ids(rig) == ["a"]
        _, writer = await rig.connect()
        writer.write(message_for(target, "b"))
        await until(lambda: received_ids(rig) == ["a", "b"])
        writer.close()


@on_loop
async def test_many_ids_that_come_again_at_any_moment_run_once():
    async with DispatcherRig(respond, **LATE_OBJECTIVES) as rig:
        ids = [f"i{number}" for number in range(40)]

        async def leave_and_repeat(request_id, delay_s):
            _, writer = await rig.connect()
            writer.write(message_for(PAY, request_id))
            await asyncio.sleep(delay_s)
            writer.close()
            for _ in range(3):
                reader, again = await rig.connect()
                again.write(message_for(PAY, request_id))
                await asyncio.sleep(delay_s)
                again.close()

        await asyncio.gather(*[leave_and_repeat(each, 0.002 * (n % 10)) for n, each in enumerate(ids)])
        await until(lambda: not rig.core.requests and not rig.frontend.waiting)
        assert len(received_ids(rig)) == len(set(received_ids(rig)))


@on_loop
async def test_id_whose_request_has_certainly_not_run_may_come_again():
    replies = [response(503, b"", "X-Rejected: 1")]
    async with DispatcherRig(
        lambda call: replies.pop() if replies else respond(call), **LATE_OBJECTIVES
    ) as rig:
        _, writer = await rig.connect()
        writer.write(message_for(PAY))
        await until(lambda: rig.core.counters["ho full"] == 1)  # it waits for an available slot now
        writer.close()
        await until(lambda: "a" not in rig.core.requests)
        for endpoint in rig.core.router.endpoints.all:
            endpoint.other_slots = endpoint.full_until_ms = endpoint.ejected_until_ms = 0.0
        reader, again = await rig.connect()
        again.write(message_for(PAY))
        await until(lambda: rig.core.counters["ho accepted"] == 1)
        assert (await rig.callback("w0", "done", result="made")).target == "204"
        assert (await read_message(reader)).target == "200"
        again.close()


@pytest.mark.parametrize("has_left", [True, False])
@on_loop
async def test_id_may_come_again_only_if_its_client_was_there_for_the_answer(has_left):
    # A close that the event loop reads only after the answer counts, too.
    async with DispatcherRig(respond, **LATE_OBJECTIVES) as rig:
        _, writer = await rig.connect()
        writer.write(message_for(PAY))
        await until(lambda: rig.core.counters["ho accepted"] == 1)
        rig.core.requests["a"].request.client_closed = lambda: has_left
        await rig.callback("w0", "done", result="made")
        await until(lambda: "a" not in rig.core.requests)
        assert ("a" in rig.frontend.abandoned_requests) is has_left
        writer.close()


def test_only_the_latest_ids_are_kept(monkeypatch):
    monkeypatch.setattr(abandoned_requests, "MAX_IDS", 3)
    requests = AbandonedRequests()
    requests.add(["a", "b", "c"])
    requests.add(["a"])
    requests.add(["d", "e"])
    assert requests.all_ids() == ["a", "d", "e"]
    assert "a" in requests and "b" not in requests and "c" not in requests


async def leave_at_the_endpoint(site, request_id):
    """Send a request, and leave once the endpoint has it."""
    _, writer = await site.open(request("/look/1", request_id=request_id))
    await until(lambda: request_id in site.received_ids())
    writer.close()


@on_loop
async def test_child_of_a_hot_restart_rejects_the_ids_of_clients_that_left_the_parent(tmp_path):
    # Guards against a second run at the other process, also after the first one has ended.
    async with DispatcherHost(tmp_path) as site:
        await site.start_healthy()
        await leave_at_the_endpoint(site, "before")
        held, held_writer = await site.open(request("/look/1", request_id="held"))  # keeps the parent alive
        _, during_writer = await site.open(request("/look/1", request_id="during"))
        await until(lambda: {"held", "during"} <= set(site.received_ids()))
        await site.start_healthy()
        during_writer.close()
        for request_id in ("before", "during", "held"):
            assert (await site.exchange(request("/look/1", request_id=request_id))).target == "409"
        assert await site.send_callbacks("held") == {"204"}
        assert (await read_message(held)).target == "200"
        held_writer.close()
        assert (await site.nodes[0].wait_for_exit())[0] == 0
        for request_id in ("before", "during"):
            assert (await site.exchange(request("/look/1", request_id=request_id))).target == "409"
        # A second restart passes them on.
        await site.start_healthy()
        assert (await site.nodes[1].wait_for_exit())[0] == 0
        for request_id in ("before", "during"):
            assert (await site.exchange(request("/look/1", request_id=request_id))).target == "409"
        assert sorted(site.received_ids()) == ["before", "during", "held"]
