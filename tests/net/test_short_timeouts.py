"""Requests with very short timeouts: no attempt starts after the timeout, and the response is in time."""

import asyncio
import time

import pytest
from support.client_sockets import ClientSocket
from support.delayed_attempts import HOLD_UP_S, LateConnections, attempts, wait_until_idle
from support.dispatcher_rig import KEY, LOOK, PAY, DispatcherRig
from support.event_loop import on_loop, until, until_true
from support.fake_server import SILENT
from support.http_messages import ACCEPTED, request, response
from support.stepped_time import SteppedMonotonicClock

from dunepulley.net.messages import RequestReceived
from dunepulley.net.upstream import connection_pool


class AttemptRecorder:
    """Records how long after its request was received each attempt started, in ms."""

    def __init__(self, rig):
        self.core, self.delays_ms = rig.core, []
        self.may_begin = rig.core.may_begin
        rig.service.upstream.may_begin = self._may_begin

    def _may_begin(self, attempt):
        may_begin = self.may_begin(attempt)
        if may_begin:
            self.delays_ms.append(self.core.clock() - attempt.request.received_ms)
        return may_begin


@pytest.mark.parametrize("reuses_connection", [False, True])
@pytest.mark.parametrize("timeout_ms", [1, 12, 20])
@pytest.mark.parametrize("target", ["/look/1", "/pay/1"])
@on_loop
async def test_no_attempt_starts_for_a_request_that_had_timed_out_when_it_was_read(
    target, timeout_ms, reuses_connection, monkeypatch
):
    # Guards against a minimum timeout of 1 ms that counts from the end of a pause, not from the request.
    monkeypatch.setattr(connection_pool, "REST_S", 0.0)

    def respond(call):
        return response(204) if call.method == "DELETE" else ACCEPTED

    async with (
        DispatcherRig(respond, familyInfo__tellsStart=False) as rig,
        ClientSocket(rig.service.port) as client,
    ):
        if reuses_connection:
            await client.send(request("/look/1", request_id="first"))
            await until(lambda: attempts(rig, "first"))
            await rig.callback("w0", "done", "first", result="made")
            assert (await client.read_outcome()).keep_alive
        with monkeypatch.context() as patches:
            stepped, recorder = SteppedMonotonicClock(patches), AttemptRecorder(rig)
            put_nowait = rig.core.queue.put_nowait

            def put_after_pause(message):
                if isinstance(message, RequestReceived):
                    stepped.step(HOLD_UP_S)
                put_nowait(message)

            rig.core.queue.put_nowait = put_after_pause
            await client.send(request(target, b"x", KEY, "X-Call-Cost: 100", budget=timeout_ms))
            await until_true(lambda: "a" in rig.frontend.waiting)
            answer = rig.frontend.waiting["a"].answer
            counters = rig.core.counters
            await until_true(lambda: recorder.delays_ms or counters["ho barred"] or answer.done())
            delays_ms = list(recorder.delays_ms)
        assert (await client.read_outcome()).status in ("500", "503")
        await wait_until_idle(rig)
        assert not delays_ms


# How long after its timeout a request may get its final response, in ms.
LATE_MS = 500.0
DELAYS = ["", "late connection", "unread", "decision"]


@pytest.mark.parametrize("target", [LOOK, PAY])
@pytest.mark.parametrize("delay", DELAYS)
@pytest.mark.parametrize("timeout_ms", [1, 5, 20])
@on_loop
async def test_request_with_a_very_short_timeout_is_answered_in_time(timeout_ms, delay, target):
    # The endpoints never respond to an attempt.
    def respond(call):
        return response(204) if call.method == "DELETE" else SILENT

    async with DispatcherRig(respond, respond) as rig, ClientSocket(rig.service.port) as client:
        loop = asyncio.get_running_loop()
        late = LateConnections(rig) if delay == "late connection" else None
        if delay == "decision":
            handle = rig.core.router.handle

            def handle_after_pause(now, events):
                rig.core.router.handle = handle
                time.sleep(HOLD_UP_S)
                return handle(now, events)

            rig.core.router.handle = handle_after_pause
        sent_s = loop.time()
        # The expected work is so short that it could still be done in time.
        await client.send(request(target, b"x", KEY, "X-Call-Cost: 100", budget=timeout_ms))
        if delay == "unread":
            put_nowait = rig.core.queue.put_nowait

            def put_after_pause(message):
                time.sleep(HOLD_UP_S if isinstance(message, RequestReceived) else 0.0)
                put_nowait(message)

            rig.core.queue.put_nowait = put_after_pause
        ending = await client.read_outcome()
        duration_ms = (loop.time() - sent_s) * 1000.0
        if late is not None:
            await asyncio.sleep(0.03)
            late.released.set()
        await wait_until_idle(rig)
        assert ending.status in ("500", "503")
        assert duration_ms <= timeout_ms + LATE_MS
        assert len(attempts(rig)) <= 1
