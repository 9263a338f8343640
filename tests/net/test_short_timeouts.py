"""Requests with very little time left: no attempt begins once it is over, and the answer comes in time."""

import asyncio
import time

import pytest
from support.client_sockets import ClientSocket
from support.delayed_attempts import HOLD_UP_S, LateConnections, all_ended, attempts
from support.dispatcher_rig import KEY, LOOK, PAY, DispatcherRig
from support.event_loop import on_loop, until, until_true
from support.fake_server import SILENT
from support.http_messages import ACCEPTED, request, response
from support.stepped_time import SteppedMonotonicClock

from dunepulley.net.messages import RequestReceived


class NoteAttempts:
    """Notes how long after its request had come each attempt began, in ms."""

    def __init__(self, rig):
        self.core, self.begun = rig.core, []
        self.may_begin = rig.core.may_begin
        rig.service.upstream.may_begin = self._ask

    def _ask(self, attempt):
        begins = self.may_begin(attempt)
        if begins:
            self.begun.append(self.core.clock() - attempt.request.received_ms)
        return begins


@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("budget", [1, 12, 20])
@pytest.mark.parametrize("target", ["/look/1", "/pay/1"])
@on_loop
async def test_no_attempt_begins_for_a_request_whose_time_was_over_when_it_was_read(
    target, budget, kept, monkeypatch
):
    # Guards against a floor of 1 ms that counts from when the held-up process went on, not from the request.
    def say(call):
        return response(204) if call.method == "DELETE" else ACCEPTED

    async with (
        DispatcherRig(say, familyInfo__tellsStart=False) as rig,
        ClientSocket(rig.service.port) as client,
    ):
        if kept:
            await client.send(request("/look/1", wi="first"))
            await until(lambda: attempts(rig, "first"))
            await rig.callback("w0", "done", "first", result="made")
            assert (await client.ending()).kept
        with monkeypatch.context() as patches:
            stepped, notes = SteppedMonotonicClock(patches), NoteAttempts(rig)
            read = rig.core.queue.put_nowait

            def held_back(message):
                if isinstance(message, RequestReceived):
                    stepped.step(HOLD_UP_S)
                read(message)

            rig.core.queue.put_nowait = held_back
            await client.send(request(target, b"x", KEY, "X-Call-Cost: 100", budget=budget))
            await until_true(lambda: "a" in rig.frontend.waiting)
            answered = rig.frontend.waiting["a"].answer
            barred = rig.core.counters
            await until_true(lambda: notes.begun or barred["ho barred"] or answered.done())
            begun = list(notes.begun)
        assert (await client.ending()).verdict in ("500", "503")
        await all_ended(rig)
        assert not begun


# How long after the end of its time a request may have its final response, in ms.
LATE_MS = 500.0
HELD_UP = ["", "late connection", "unread", "decision"]


@pytest.mark.parametrize("target", [LOOK, PAY])
@pytest.mark.parametrize("held_up", HELD_UP)
@pytest.mark.parametrize("budget", [1, 5, 20])
@on_loop
async def test_with_very_little_time_left_the_answer_comes_in_time(budget, held_up, target):
    # The endpoints drop it without a word.
    def say(call):
        return response(204) if call.method == "DELETE" else SILENT

    async with DispatcherRig(say, say) as rig, ClientSocket(rig.service.port) as client:
        loop = asyncio.get_running_loop()
        late = LateConnections(rig) if held_up == "late connection" else None
        if held_up == "decision":
            handle = rig.core.router.handle

            def held(now, events):
                rig.core.router.handle = handle
                time.sleep(HOLD_UP_S)
                return handle(now, events)

            rig.core.router.handle = held
        begun = loop.time()
        # So little work that it may yet be done in time.
        await client.send(request(target, b"x", KEY, "X-Call-Cost: 100", budget=budget))
        if held_up == "unread":
            read = rig.core.queue.put_nowait

            def held_back(message):
                time.sleep(HOLD_UP_S if isinstance(message, RequestReceived) else 0.0)
                read(message)

            rig.core.queue.put_nowait = held_back
        ending = await client.ending()
        took = (loop.time() - begun) * 1000.0
        if late is not None:
            await asyncio.sleep(0.03)
            late.up.set()
        await all_ended(rig)
        assert ending.verdict in ("500", "503")
        assert took <= budget + LATE_MS
        assert len(attempts(rig)) <= 1
