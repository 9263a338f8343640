"""Pauses of the process between reading the clock and sending: retry windows and drain grace periods."""

import asyncio
import json

import pytest
from support.client_sockets import ClientSocket
from support.delayed_attempts import HOLD_UP_S, LateConnections, attempts
from support.dispatcher_rig import KEY, LOOK, STORE, DispatcherRig
from support.drain_sets import operators_drain
from support.event_loop import on_loop, until, until_true
from support.fake_discovery import member, members
from support.http_messages import ACCEPTED, chunk, request, response
from support.stepped_time import SteppedMonotonicClock

from dunepulley.control import drain_json
from dunepulley.net.messages import CallbackReceived, DrainsChanged


class PausedAttempt:
    """Pauses the process for 0.15 s of stepped time at one attempt, given by its number, and at one place.

    "gate" is after the clock was read for the last time before the first byte, "decision" before the router
    decides. `action` is called when the pause starts. `starts_s` holds the start times of attempts.
    """

    def __init__(self, rig, monkeypatch, number, place, action=lambda: None):
        self.time = SteppedMonotonicClock(monkeypatch)
        self.number, self.place, self.action = number, place, action
        self.starts_s = []
        self.paused_s = None  # when the pause started
        self.handle, self.may_begin = rig.core.router.handle, rig.core.may_begin
        rig.core.router.handle, rig.service.upstream.may_begin = self._decide, self._gate

    def _pause(self, place):
        if place == self.place and self.paused_s is None and len(self.starts_s) == self.number - 1:
            self.paused_s = self.time()
            self.action()
            self.time.step(HOLD_UP_S)

    def _decide(self, now, events):
        self._pause("decision")
        return self.handle(now, events)

    def _gate(self, attempt):
        may_begin = self.may_begin(attempt)
        if may_begin:
            self._pause("gate")
            self.starts_s.append(self.time())
        return may_begin


@pytest.mark.parametrize("place", ["gate", "decision"])
@pytest.mark.parametrize("before_ms", [-10.0, 1.0, 100.0, 400.0])
@pytest.mark.parametrize("window_ms", [3000.0, 1500.0, 1000.0, 600.0])
@on_loop
async def test_keyed_request_is_not_retried_after_its_retry_window(window_ms, before_ms, place, monkeypatch):
    # The first attempt is lost `before_ms` before the last time for a retry, which is the window less a tenth
    # of it or 150 ms; a negative value means after.
    settings = {"categories__1__windowMs": window_ms, "familyInfo__tellsStart": False}
    settings |= {"categories__1__dueTimeMs": 4000.0, "policyLimits__secondCopies": False}

    def respond(call):
        return response(204) if call.method == "DELETE" else ACCEPTED

    async with (
        DispatcherRig(respond, respond, **settings) as rig,
        ClientSocket(rig.service.port) as client,
    ):
        with monkeypatch.context() as patches:
            paused = PausedAttempt(rig, patches, 2, place)
            await client.send(request(STORE, b"x", KEY))
            await until_true(lambda: rig.core.counters["ho accepted"])
            paused.time.step((window_ms - max(0.1 * window_ms, 150.0) - before_ms) / 1000.0)
            rig.core.put(CallbackReceived("a", f"w{attempts(rig)[0]}", "lost", 0.0, b"", None))
            answer = rig.frontend.waiting["a"].answer
            await until_true(lambda: len(paused.starts_s) == 2 or answer.done())
            starts_s = paused.starts_s
        assert paused.paused_s is not None or before_ms < 0.0
        # A retry starts before the window ends; and there is one if the pause leaves time for it.
        assert all([(start_s - starts_s[0]) * 1000.0 <= window_ms for start_s in starts_s])
        min_ms = 0.0 if place == "gate" else 1000.0 * HOLD_UP_S
        assert len(starts_s) == 1 + (before_ms > min_ms)


GRACE_MS = 300.0


@pytest.mark.parametrize("place", ["gate", "decision", "late connection"])
@pytest.mark.parametrize("by", ["list", "operators"])
@on_loop
async def test_no_attempt_starts_at_a_draining_endpoint_after_the_grace_period(by, place, monkeypatch):
    settings = {"rules__drainGraceMs": GRACE_MS, "categories__0__dueTimeMs": 4000.0}
    async with (
        DispatcherRig(lambda call: ACCEPTED, **settings) as rig,
        ClientSocket(rig.service.port) as client,
    ):
        await until(lambda: rig.discovery.writers)
        (watch,) = rig.discovery.writers
        draining = members(member("w0", rig.endpoints[0].address, "Terminating"), revision=5)

        def drain():
            """Send the drain, which the process has not read yet when this returns."""
            if by == "list":
                watch.write(chunk(json.dumps(draining).encode() + b"\n"))
            else:
                drains = drain_json.decode_drain_set(operators_drain(), rig.core.clock)
                rig.core.put(DrainsChanged(drains, loop.create_future()))

        loop = asyncio.get_running_loop()
        with monkeypatch.context() as patches:
            paused = PausedAttempt(rig, patches, 1, place, drain)
            late = LateConnections(rig) if place == "late connection" else None
            await client.send(request(LOOK, request_id="a"))
            if late is not None:
                # The drain is read while the connection is being opened.
                await until_true(lambda: late.requested)
                paused.paused_s = paused.time()
                drain()
            await until_true(lambda: paused.paused_s is not None and not rig.core.can_serve())
            if late is not None:
                paused.time.step(GRACE_MS / 1000.0)
                late.released.set()
            async with ClientSocket(rig.service.port) as later:
                await later.send(request(LOOK, request_id="later"))
                await until_true(lambda: "later" in rig.core.requests)
                for _ in range(50):
                    paused.time.step(0.01)
                    await asyncio.sleep(0)
            starts_s, drained_s = paused.starts_s, paused.paused_s
        assert all([(start_s - drained_s) * 1000.0 <= GRACE_MS for start_s in starts_s])
        # An attempt that has passed the gate starts; a drain that is read before the gate prevents it.
        assert len(starts_s) <= 1 if place == "decision" else len(starts_s) == (place == "gate")
        assert not attempts(rig, "later")
