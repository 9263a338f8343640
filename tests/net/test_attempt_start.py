"""Starting attempts: none for a client that has disconnected, and none with more time than the client has."""

import asyncio
import errno
import time

import pytest
from support.client_sockets import RawClient
from support.delayed_attempts import HOLD_UP_S, GateHoldUp, LateConnections, attempts, wait_until_idle
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until, until_true
from support.fake_discovery import member, members
from support.http_messages import ACCEPTED, request, response
from support.stepped_time import SteppedMonotonicClock

from dunepulley.net import list_polling
from dunepulley.net.upstream.request_body import AttemptBody

REJECTED = response(503, b"", "X-Rejected: 1")
WAYS = {"close": RawClient.close, "reset": RawClient.reset, "half-close": RawClient.half_close}
# The number of the attempt that is delayed, and the endpoints' response to the attempts before it.
KINDS = {
    "first": (1, ACCEPTED),
    "late connection": (1, ACCEPTED),
    "retry": (2, REJECTED),
    "hedged": (2, ACCEPTED),
}
CASES = [(way, True) for way in WAYS] + [("close", False)]


@pytest.mark.parametrize(("way", "after_clock"), CASES)
@pytest.mark.parametrize("kind", KINDS)
@on_loop
async def test_no_attempt_starts_for_a_client_that_closed_while_the_process_was_paused(
    kind, way, after_clock
):
    # Guards against an attempt 0.15 s after the close: the event loop has not read it, but the kernel has it.
    number, reply = KINDS[kind]

    def respond(call):
        if call.method == "DELETE":
            return response(204)
        return reply if len(attempts(rig)) < number else ACCEPTED

    # The latency objective is late, so that on a busy machine the hedge is not cancelled before it is sent.
    async with DispatcherRig(respond, respond, categories__0__dueTimeMs=2000.0) as rig:
        client = RawClient(rig.service.port)
        hold_up = GateHoldUp(rig, number, lambda: WAYS[way](client), after_clock)
        late = LateConnections(rig) if kind == "late connection" else None
        client.send(request("/look/1"))
        if late is not None:
            await until(lambda: late.requested)
            late.released.set()
        await until(lambda: hold_up.stalled)
        await wait_until_idle(rig)
        assert len(attempts(rig)) == number - 1
        assert rig.core.counters["withdrawn"] == 1 and not rig.frontend.waiting
        await until(lambda: not rig.frontend.server.accepted)
        client.close()


@on_loop
async def test_attempt_starts_after_a_pause_of_the_process_if_the_client_still_waits():
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        client = RawClient(rig.service.port)
        hold_up = GateHoldUp(rig, 1, lambda: None, True)
        client.send(request("/look/1"))
        await until(lambda: attempts(rig))
        assert hold_up.stalled and not rig.core.counters["ho barred"]
        await rig.callback("w0", "done", result="made")
        await wait_until_idle(rig)
        client.close()


# ---------------------------------------------------------------- the timeout that an endpoint is sent

# How much the timeout sent to an endpoint may exceed the time that the client has left, in ms.
SLACK_MS = 150.0
BUDGET_MS = 4000


class SentTimeouts:
    """Records by how much each attempt's timeout exceeds the time that its client has left, in ms.

    The clock is nearly stopped, except for one pause of 0.15 s at each of the given places: "unread" (the
    request was received but not read), and for the attempt with the given number, "decision" (after the
    clock was read for a decision), "header" (after the time left was computed for the header), and "gate"
    (after the clock was read for the last time before the first byte).
    """

    def __init__(self, rig, monkeypatch, number, pause_places):
        self.rig, self.number, self.pause_places = rig, number, set(pause_places)
        self.time = SteppedMonotonicClock(monkeypatch)
        self.started_attempts = []
        self.request_sent_s = 0.0
        self.client = RawClient(rig.service.port)
        self.handle = rig.core.router.handle
        self.may_begin = rig.core.may_begin
        self.write = AttemptBody.write_with_length
        rig.core.router.handle = self._handle
        rig.service.upstream.may_begin = self._gate
        monkeypatch.setattr(
            AttemptBody, "write_with_length", lambda body, *arguments: self._write(body, *arguments)
        )

    def _pause(self, place):
        is_due = place == "unread" or len(self.started_attempts) == self.number - 1
        if is_due and place in self.pause_places:
            self.pause_places.discard(place)
            self.time.step(HOLD_UP_S)

    def send(self, raw):
        self.request_sent_s = self.time()
        self.client.send(raw)
        self._pause("unread")

    def _handle(self, now, events):
        self._pause("decision")
        return self.handle(now, events)

    async def _write(self, body, writer, length):
        self._pause("header")
        await self.write(body, writer, length)

    def _gate(self, attempt):
        may_begin = self.may_begin(attempt)
        if may_begin:
            self._pause("gate")
            self.started_attempts.append([attempt, (self.time() - self.request_sent_s) * 1000.0])
        return may_begin

    def excess(self):
        """Return, for each attempt up to the observed one, its timeout minus the time left, in ms."""
        timeouts = {}
        for number, endpoint in enumerate(self.rig.endpoints):
            posts = [call for call in endpoint.seen if call.method == "POST"]
            timeouts[f"w{number}"] = iter([float(call.headers["x-budget-ms"]) for call in posts])
        first = self.started_attempts[: self.number]
        return [next(timeouts[attempt.endpoint_id]) - (BUDGET_MS - passed_ms) for attempt, passed_ms in first]


PLACES = ["none", "decision", "header", "gate", "decision header gate"]


@pytest.mark.parametrize("places", ["unread", *PLACES])
@pytest.mark.parametrize("kind", KINDS)
@on_loop
async def test_timeout_sent_to_an_endpoint_never_exceeds_the_time_the_client_has_left(
    kind, places, monkeypatch
):
    # Guards against pauses that add up: every step but the last measures the time anew.
    number, reply = KINDS[kind]

    def respond(call):
        if call.method == "DELETE":
            return response(204)
        return reply if len(attempts(rig)) < number else ACCEPTED

    endpoints = [respond] * number
    async with DispatcherRig(*endpoints, categories__0__dueTimeMs=float(BUDGET_MS)) as rig:
        with monkeypatch.context() as patches:
            sent = SentTimeouts(rig, patches, number, places.split())
            late = LateConnections(rig) if kind == "late connection" else None
            sent.send(request("/look/1", budget=BUDGET_MS))
            if late is not None:
                await until_true(lambda: late.requested)
                sent.time.step(0.3)
                late.released.set()
            if kind == "hedged":
                await until_true(lambda: rig.core.counters["ho accepted"])
                # The hedge is sent once part of the slack has passed and the endpoint has not started.
                await until_true(lambda: sent.time.step(0.002) or len(sent.started_attempts) == number)
            await until_true(lambda: len(attempts(rig)) >= number)
            excess_ms = sent.excess()
        assert len(excess_ms) == number
        # The slack is for a pause after the clock was read for the last time.
        allowed_ms = SLACK_MS if {"gate", "unread"} & set(places.split()) else 0.0
        assert max(excess_ms) <= allowed_ms
        sent.client.close()


@on_loop
async def test_listener_counts_no_waiting_time_once_its_queue_is_empty():
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        await until(lambda: not rig.frontend.listener.queued_since_s)
        assert not rig.frontend.server.accepted


class ExhaustedSocket:
    """A listening socket whose accept() fails because the process has no descriptor left."""

    def __init__(self, listening):
        self.listening = listening

    def fileno(self):
        return self.listening.fileno()

    def accept(self):
        raise OSError(errno.EMFILE, "no descriptor")


@pytest.mark.parametrize("cause", ["start", "descriptors"])
@on_loop
async def test_time_waiting_to_be_accepted_is_subtracted_from_the_timeout(cause, monkeypatch):
    # Guards against a full timeout for a request that has waited in the listener's queue.
    monkeypatch.setattr(list_polling, "STARTUP_TIMEOUT_S", 10.0)
    rig = DispatcherRig(lambda call: ACCEPTED, discovery="pushed")
    endpoint_list = members(member("w0", "", "Ready"), revision=9)
    entering = asyncio.create_task(rig.__aenter__())
    await until(lambda: rig.discovery.seen and rig.service.port)
    endpoint_list["members"][0]["host_port"] = rig.endpoints[0].address
    if cause == "descriptors":
        rig.discovery.announce(endpoint_list)
        await entering
        listener = rig.frontend.listener
        original, listener.socket = listener.socket, ExhaustedSocket(listener.socket)
    client = RawClient(rig.service.port)
    client.send(request("/look/1", budget=BUDGET_MS))
    sent_s = time.monotonic()
    await asyncio.sleep(2.0 * SLACK_MS / 1000.0)  # the request waits
    if cause == "descriptors":
        assert rig.core.counters["not accepted"]
        listener.socket = original
    else:
        rig.discovery.announce(endpoint_list)
        await entering
    await until(lambda: attempts(rig))
    passed_ms = (time.monotonic() - sent_s) * 1000.0
    timeout_ms = float(rig.endpoints[0].seen[0].headers["x-budget-ms"])
    assert timeout_ms <= BUDGET_MS - 2.0 * SLACK_MS and timeout_ms > BUDGET_MS - passed_ms - 1000.0
    # The next request on this connection and the first on another have their full timeout.
    await until(lambda: not rig.frontend.listener.queued_since_s)
    await rig.callback("w0", "done", result="made")
    await wait_until_idle(rig)
    for request_id, next_client in (("b", client), ("c", RawClient(rig.service.port))):
        next_client.send(request("/look/1", request_id=request_id, budget=BUDGET_MS))
        await until(lambda request_id=request_id: attempts(rig, request_id))
        assert float(rig.endpoints[0].seen[-1].headers["x-budget-ms"]) > BUDGET_MS - 2.0 * SLACK_MS
        await rig.callback("w0", "done", request_id, result="made")
        next_client.close()
    await rig.__aexit__()
