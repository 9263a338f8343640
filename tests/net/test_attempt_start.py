"""The start of an attempt: none for a client that has gone, and no deadline beyond what the client has."""

import asyncio
import errno
import time

import pytest
from support.client_sockets import RawClient
from support.delayed_attempts import HOLD_UP_S, GateHoldUp, LateConnections, all_ended, attempts
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until, until_true
from support.fake_discovery import member, members
from support.http_messages import ACCEPTED, request, response
from support.stepped_time import SteppedMonotonicClock

from dunepulley.net import list_polling
from dunepulley.net.upstream.request_body import AttemptBody

TURNED_AWAY = response(503, b"", "X-Rejected: 1")
WAYS = {"close": RawClient.close, "reset": RawClient.reset, "half-close": RawClient.half_close}
# The number of the attempt that is held up, and what the endpoints answer to those before it.
KINDS = {
    "first": (1, ACCEPTED),
    "late connection": (1, ACCEPTED),
    "retry": (2, TURNED_AWAY),
    "hedged": (2, ACCEPTED),
}
CASES = [(way, True) for way in WAYS] + [("close", False)]


@pytest.mark.parametrize(("way", "after_clock"), CASES)
@pytest.mark.parametrize("kind", KINDS)
@on_loop
async def test_no_attempt_begins_for_a_client_that_closed_while_the_process_was_held_up(
    kind, way, after_clock
):
    # Guards against an attempt 0.15 s after the close: the loop has not read it, but the system knows.
    number, reply = KINDS[kind]

    def say(call):
        if call.method == "DELETE":
            return response(204)
        return reply if len(attempts(rig)) < number else ACCEPTED

    # Due late, so that a busy machine does not have the second copy given up before it goes out.
    async with DispatcherRig(say, say, categories__0__dueTimeMs=2000.0) as rig:
        client = RawClient(rig.service.port)
        hold_up = GateHoldUp(rig, number, lambda: WAYS[way](client), after_clock)
        late = LateConnections(rig) if kind == "late connection" else None
        client.send(request("/look/1"))
        if late is not None:
            await until(lambda: late.coming)
            late.up.set()
        await until(lambda: hold_up.happened)
        await all_ended(rig)
        assert len(attempts(rig)) == number - 1
        assert rig.core.counters["withdrawn"] == 1 and not rig.frontend.waiting
        await until(lambda: not rig.frontend.server.accepted)
        client.close()


@on_loop
async def test_a_hold_up_alone_keeps_no_attempt_of_a_client_that_waits():
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        client = RawClient(rig.service.port)
        hold_up = GateHoldUp(rig, 1, lambda: None, True)
        client.send(request("/look/1"))
        await until(lambda: attempts(rig))
        assert hold_up.happened and not rig.core.counters["ho barred"]
        await rig.callback("w0", "done", result="made")
        await all_ended(rig)
        client.close()


# ---------------------------------------------------------------- the deadline that an endpoint is told

# What the page allows beyond the time that the client has left, in ms.
SLACK_MS = 150.0
BUDGET_MS = 4000


class ToldDeadlines:
    """Notes, for each attempt that begins, the deadline it tells beyond what its client has left, in ms.

    Time stands nearly still but for the hold-ups of 0.15 s at the places named, each once: "unread" (the
    request has come and is not read), and for one attempt, by its number, "decision" (behind the clock of a
    decision), "told" (behind the clock of the header), "gate" (behind the last clock before the first byte).
    """

    def __init__(self, rig, monkeypatch, number, held_up):
        self.rig, self.number, self.held_up = rig, number, set(held_up)
        self.time = SteppedMonotonicClock(monkeypatch)
        self.over = []
        self.begun = 0.0
        self.client = RawClient(rig.service.port)
        self.handle = rig.core.router.handle
        self.may_begin = rig.core.may_begin
        self.write = AttemptBody.write_with_length
        rig.core.router.handle = self._handle
        rig.service.upstream.may_begin = self._gate
        monkeypatch.setattr(AttemptBody, "write_with_length", lambda body, *more: self._write(body, *more))

    def _hold_up(self, place):
        due = place == "unread" or len(self.over) == self.number - 1
        if due and place in self.held_up:
            self.held_up.discard(place)
            self.time.step(HOLD_UP_S)

    def send(self, raw):
        self.begun = self.time()
        self.client.send(raw)
        self._hold_up("unread")

    def _handle(self, now, events):
        self._hold_up("decision")
        return self.handle(now, events)

    async def _write(self, body, writer, length):
        self._hold_up("told")
        await self.write(body, writer, length)

    def _gate(self, attempt):
        begins = self.may_begin(attempt)
        if begins:
            self._hold_up("gate")
            self.over.append([attempt, (self.time() - self.begun) * 1000.0])
        return begins

    def excess(self):
        """For each attempt up to the one of interest, how much more its endpoint was told than was left."""
        told = {}
        for number, worker in enumerate(self.rig.endpoints):
            posts = [call for call in worker.seen if call.method == "POST"]
            told[f"w{number}"] = iter([float(call.headers["x-budget-ms"]) for call in posts])
        first = self.over[: self.number]
        return [next(told[attempt.endpoint_id]) - (BUDGET_MS - passed) for attempt, passed in first]


PLACES = ["none", "decision", "told", "gate", "decision told gate"]


@pytest.mark.parametrize("places", ["unread", *PLACES])
@pytest.mark.parametrize("kind", KINDS)
@on_loop
async def test_no_endpoint_is_told_more_time_than_the_client_has_left(kind, places, monkeypatch):
    # Guards against the sum of several hold-ups: each place but the last is told anew of what has passed.
    number, reply = KINDS[kind]

    def say(call):
        if call.method == "DELETE":
            return response(204)
        return reply if len(attempts(rig)) < number else ACCEPTED

    endpoints = [say] * number
    async with DispatcherRig(*endpoints, categories__0__dueTimeMs=float(BUDGET_MS)) as rig:
        with monkeypatch.context() as patches:
            told = ToldDeadlines(rig, patches, number, places.split())
            late = LateConnections(rig) if kind == "late connection" else None
            told.send(request("/look/1", budget=BUDGET_MS))
            if late is not None:
                await until_true(lambda: late.coming)
                told.time.step(0.3)
                late.up.set()
            if kind == "hedged":
                await until_true(lambda: rig.core.counters["ho accepted"])
                # The second copy goes out once a part of the slack has passed with no start.
                await until_true(lambda: told.time.step(0.002) or len(told.over) == number)
            await until_true(lambda: len(attempts(rig)) >= number)
            excess = told.excess()
        assert len(excess) == number
        # The last hold-up is behind the last clock: the slack is for that one.
        allowed = SLACK_MS if {"gate", "unread"} & set(places.split()) else 0.0
        assert max(excess) <= allowed
        told.client.close()


@on_loop
async def test_a_first_request_long_after_the_start_has_its_whole_time():
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        await until(lambda: not rig.frontend.listener.queued_since_s)
        assert not rig.frontend.server.accepted


class LackingSocket:
    """A listening socket from which nothing can be accepted for want of a descriptor."""

    def __init__(self, listening):
        self.listening = listening

    def fileno(self):
        return self.listening.fileno()

    def accept(self):
        raise OSError(errno.EMFILE, "no descriptor")


@pytest.mark.parametrize("why", ["start", "descriptors"])
@on_loop
async def test_a_request_that_waits_to_be_accepted_is_counted_from_when_it_may_have_come(why, monkeypatch):
    # Guards against a whole budget for what has waited.
    monkeypatch.setattr(list_polling, "STARTUP_TIMEOUT_S", 10.0)
    rig = DispatcherRig(lambda call: ACCEPTED, discovery="pushed")
    told = members(member("w0", "", "Ready"), revision=9)
    entering = asyncio.create_task(rig.__aenter__())
    await until(lambda: rig.discovery.seen and rig.service.port)
    told["members"][0]["host_port"] = rig.endpoints[0].address
    if why == "descriptors":
        rig.discovery.announce(told)
        await entering
        listener = rig.frontend.listener
        usual, listener.socket = listener.socket, LackingSocket(listener.socket)
    client = RawClient(rig.service.port)
    client.send(request("/look/1", budget=BUDGET_MS))
    begun = time.monotonic()
    await asyncio.sleep(2.0 * SLACK_MS / 1000.0)  # the time that it waits
    if why == "descriptors":
        assert rig.core.counters["not accepted"]
        listener.socket = usual
    else:
        rig.discovery.announce(told)
        await entering
    await until(lambda: attempts(rig))
    passed = (time.monotonic() - begun) * 1000.0
    told_ms = float(rig.endpoints[0].seen[0].headers["x-budget-ms"])
    assert told_ms <= BUDGET_MS - 2.0 * SLACK_MS and told_ms > BUDGET_MS - passed - 1000.0
    # The next request on the connection, and the next connection, have their whole time.
    await until(lambda: not rig.frontend.listener.queued_since_s)
    await rig.callback("w0", "done", result="made")
    await all_ended(rig)
    for wi, again in (("b", client), ("c", RawClient(rig.service.port))):
        again.send(request("/look/1", wi=wi, budget=BUDGET_MS))
        await until(lambda wi=wi: attempts(rig, wi))
        assert float(rig.endpoints[0].seen[-1].headers["x-budget-ms"]) > BUDGET_MS - 2.0 * SLACK_MS
        await rig.callback("w0", "done", wi, result="made")
        again.close()
    await rig.__aexit__()
