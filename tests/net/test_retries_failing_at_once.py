"""Requests all of whose attempts, with retries and hedges, fail immediately."""

import asyncio

import pytest
from support.client_sockets import ClientSocket
from support.delayed_attempts import attempts, wait_until_idle
from support.dispatcher_rig import KEY, LATE_OBJECTIVES, LOOK, PAY, STORE, DispatcherRig
from support.event_loop import on_loop, until
from support.fake_server import ABORT
from support.http_messages import ACCEPTED, request, response

from dunepulley.net.messages import CallbackReceived

REJECTED = response(503, b"", "X-Rejected: 1")
# How all attempts fail; by target, how many attempts there may be, and the final status.
MAX_ATTEMPTS = 5
FAILURES = {
    "refused": (None, {LOOK: (0, "503"), STORE: (0, "503"), PAY: (0, "503")}),
    "reset": (ABORT, {LOOK: (MAX_ATTEMPTS, "503"), STORE: (MAX_ATTEMPTS, "500"), PAY: (1, "500")}),
    "rejected": (REJECTED, {target: (MAX_ATTEMPTS, "503") for target in (LOOK, STORE, PAY)}),
    "rejected, then reset": (
        ABORT,
        {LOOK: (MAX_ATTEMPTS, "503"), STORE: (MAX_ATTEMPTS, "500"), PAY: (2, "500")},
    ),
}


class SingleRequest:
    """Sends one request, and asserts that it gets exactly one final response, in time.

    `timeout_ms` is the request's timeout. Calling it returns the status.
    """

    def __init__(self, rig, target, timeout_ms):
        self.rig, self.target, self.timeout_ms = rig, target, timeout_ms

    async def __call__(self):
        loop = asyncio.get_running_loop()
        async with ClientSocket(self.rig.service.port) as client:
            sent_s = loop.time()
            await client.send(request(self.target, b"x", KEY, budget=self.timeout_ms))
            status = (await client.read_outcome()).status
            assert loop.time() - sent_s <= self.timeout_ms / 1000.0 + 0.5
            await wait_until_idle(self.rig)
            assert not client.left and not self.rig.core.counters["faults"]
            return status


@pytest.mark.parametrize("target", [LOOK, STORE, PAY])
@pytest.mark.parametrize("way", FAILURES)
@on_loop
async def test_failing_retries_lead_to_one_response_and_no_unsafe_retry(way, target):
    reply, outcomes = FAILURES[way]
    max_attempts, status = outcomes[target]

    def respond(call):
        if call.method == "DELETE":
            return response(204)
        return REJECTED if way == "rejected, then reset" and len(attempts(rig)) == 1 else reply

    async with DispatcherRig(respond, respond, **LATE_OBJECTIVES) as rig:
        if reply is None:
            for endpoint in rig.endpoints:
                endpoint.server.close()
        assert await SingleRequest(rig, target, 1000)() == status
        # A non-idempotent request is retried only after attempts that certainly never ran.
        assert len(attempts(rig)) <= max_attempts and (max_attempts > 2 or len(attempts(rig)) == max_attempts)


@pytest.mark.parametrize("target", [LOOK, STORE])
@pytest.mark.parametrize("way", ["refused", "reset", "rejected"])
@on_loop
async def test_attempt_and_hedge_failing_at_the_same_time_lead_to_one_response(way, target):
    reply, _ = FAILURES[way]
    in_flight, duplicates = set(), []

    def fail_attempt(number):
        """Send the callback that the accepted attempt at an endpoint was lost or returned."""
        state = "returned" if way == "rejected" else "lost"
        rig.core.put(CallbackReceived("a", f"w{number}", state, 0.0, b"", None))
        in_flight.discard(number)

    def responder(number):
        def respond(call):
            if call.method == "DELETE":
                in_flight.discard(number)
                return response(204)
            if number in in_flight:
                duplicates.append(number)  # a second attempt at an endpoint that already runs one
            if len(attempts(rig)) == 1:
                in_flight.add(number)
                if way == "refused":
                    rig.endpoints[1 - number].server.close()
                return ACCEPTED
            for other in list(in_flight):
                fail_attempt(other)
            return reply or REJECTED

        return respond

    settings = {"categories__0__dueTimeMs": 1000.0, "categories__1__dueTimeMs": 1000.0}
    async with DispatcherRig(responder(0), responder(1), **settings) as rig:
        request_task = asyncio.create_task(SingleRequest(rig, target, 1500)())
        if way == "refused":
            await until(lambda: rig.core.counters["ho sent"] >= 2)
            fail_attempt(*in_flight)
        status = await request_task
        assert status in ("500", "503") if target == STORE else status == "503"
        assert rig.core.counters["ho sent"] >= 2 and len(attempts(rig)) <= MAX_ATTEMPTS and not duplicates
