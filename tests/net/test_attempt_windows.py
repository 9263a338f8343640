"""Held up between the clock and the write: windows for repeats, and the grace of drains."""

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


class HeldUpAttempt:
    """Time by steps, and one attempt, by its number, that is held up for 0.15 s at a place.

    "gate" is behind the last clock before the first byte, "decision" before the decision is made. `act` is
    called in the first moment of the hold-up. When each attempt began, in s.
    """

    def __init__(self, rig, monkeypatch, number, place, act=lambda: None):
        self.time = SteppedMonotonicClock(monkeypatch)
        self.number, self.place, self.act = number, place, act
        self.begun = []
        self.held = None  # when the hold-up began
        self.handle, self.may_begin = rig.core.router.handle, rig.core.may_begin
        rig.core.router.handle, rig.service.upstream.may_begin = self._decide, self._gate

    def _hold_up(self, place):
        if place == self.place and self.held is None and len(self.begun) == self.number - 1:
            self.held = self.time()
            self.act()
            self.time.step(HOLD_UP_S)

    def _decide(self, now, events):
        self._hold_up("decision")
        return self.handle(now, events)

    def _gate(self, attempt):
        begins = self.may_begin(attempt)
        if begins:
            self._hold_up("gate")
            self.begun.append(self.time())
        return begins


@pytest.mark.parametrize("place", ["gate", "decision"])
@pytest.mark.parametrize("before_ms", [-10.0, 1.0, 100.0, 400.0])
@pytest.mark.parametrize("window_ms", [3000.0, 1500.0, 1000.0, 600.0])
@on_loop
async def test_no_repeat_of_a_keyed_request_begins_beyond_its_window(
    window_ms, before_ms, place, monkeypatch
):
    # The first attempt is lost `before_ms` before nine tenths of the window are over; negative for after.
    more = {"categories__1__windowMs": window_ms, "familyInfo__tellsStart": False}
    more |= {"categories__1__dueTimeMs": 4000.0, "policyLimits__secondCopies": False}

    def say(call):
        return response(204) if call.method == "DELETE" else ACCEPTED

    async with DispatcherRig(say, say, **more) as rig, ClientSocket(rig.service.port) as client:
        with monkeypatch.context() as patches:
            held_up = HeldUpAttempt(rig, patches, 2, place)
            await client.send(request(STORE, b"x", KEY))
            await until_true(lambda: rig.core.counters["ho accepted"])
            held_up.time.step((window_ms - max(0.1 * window_ms, 150.0) - before_ms) / 1000.0)
            rig.core.put(CallbackReceived("a", f"w{attempts(rig)[0]}", "lost", 0.0, b"", None))
            answered = rig.frontend.waiting["a"].answer
            await until_true(lambda: len(held_up.begun) == 2 or answered.done())
            begun = held_up.begun
        assert held_up.held is not None or before_ms < 0.0
        # Before the window's end in any case; and at all where the hold-up leaves time for it.
        assert all([(at - begun[0]) * 1000.0 <= window_ms for at in begun])
        least_ms = 0.0 if place == "gate" else 1000.0 * HOLD_UP_S
        assert len(begun) == 1 + (before_ms > least_ms)


GRACE_MS = 300.0


@pytest.mark.parametrize("place", ["gate", "decision", "late connection"])
@pytest.mark.parametrize("by", ["list", "operators"])
@on_loop
async def test_at_a_draining_endpoint_nothing_begins_beyond_the_grace(by, place, monkeypatch):
    more = {"rules__drainGraceMs": GRACE_MS, "categories__0__dueTimeMs": 4000.0}
    async with DispatcherRig(lambda call: ACCEPTED, **more) as rig, ClientSocket(rig.service.port) as client:
        await until(lambda: rig.discovery.writers)
        (watch,) = rig.discovery.writers
        leaving = members(member("w0", rig.endpoints[0].address, "Terminating"), revision=5)

        def drain():
            """The news has come, and nobody has read it yet."""
            if by == "list":
                watch.write(chunk(json.dumps(leaving).encode() + b"\n"))
            else:
                wanted = drain_json.decode_drain_set(operators_drain(), rig.core.clock)
                rig.core.put(DrainsChanged(wanted, loop.create_future()))

        loop = asyncio.get_running_loop()
        with monkeypatch.context() as patches:
            held_up = HeldUpAttempt(rig, patches, 1, place, drain)
            late = LateConnections(rig) if place == "late connection" else None
            await client.send(request(LOOK, wi="a"))
            if late is not None:
                # The news is read while the connection comes up.
                await until_true(lambda: late.coming)
                held_up.held = held_up.time()
                drain()
            await until_true(lambda: held_up.held is not None and not rig.core.can_serve())
            if late is not None:
                held_up.time.step(GRACE_MS / 1000.0)
                late.up.set()
            async with ClientSocket(rig.service.port) as later:
                await later.send(request(LOOK, wi="later"))
                await until_true(lambda: "later" in rig.core.requests)
                for _ in range(50):
                    held_up.time.step(0.01)
                    await asyncio.sleep(0)
            begun, told = held_up.begun, held_up.held
        assert all([(at - told) * 1000.0 <= GRACE_MS for at in begun])
        # Behind the gate it begins; news that is read before the gate keeps it back.
        assert len(begun) <= 1 if place == "decision" else len(begun) == (place == "gate")
        assert not attempts(rig, "later")
