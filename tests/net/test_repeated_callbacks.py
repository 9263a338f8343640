"""Callbacks that endpoints repeat because the response was lost: none ends an attempt that still runs."""

import pytest
from support.dispatcher_rig import KEY, LATE_OBJECTIVES, LOOK, PAY, STORE, DispatcherRig
from support.event_loop import on_loop, until
from support.fake_server import ABORT
from support.http_messages import ACCEPTED, read_message, request, response


def respond(call):
    """Accept each attempt, and confirm each cancellation."""
    return response(204) if call.method == "DELETE" else ACCEPTED


def attempts_received(rig):
    """Return the names of the endpoints that have received an attempt, in order for each endpoint."""
    return [
        f"w{number}"
        for number, endpoint in enumerate(rig.endpoints)
        for call in endpoint.seen
        if call.method == "POST"
    ]


async def next_attempt(rig, number):
    """Wait until an attempt was accepted, and return the name of its endpoint."""
    await until(lambda: "a" in rig.core.requests and len(rig.core.requests["a"].attempts) > number)
    attempt = rig.core.requests["a"].attempts[number]
    await until(lambda: attempt.response_started)
    return attempt.endpoint_id


async def free_all_slots(rig):
    """Let the router see an available slot at each endpoint, and wait for what it does with the request."""
    attempts = rig.core.requests["a"].attempts if "a" in rig.core.requests else []
    count = len(attempts)
    for endpoint in rig.core.router.endpoints.all:
        endpoint.other_slots = endpoint.full_until_ms = endpoint.ejected_until_ms = 0.0
    rig.core.router.queue.mark_capacity_changed()
    await until(lambda: "a" not in rig.core.requests or len(attempts) > count)


@pytest.mark.parametrize("hedging", [False, True])
@pytest.mark.parametrize(
    ("target", "state"),
    [(LOOK, "returned"), (LOOK, "failed"), (LOOK, "lost"), (STORE, "returned"), (PAY, "returned")],
)
@on_loop
async def test_repeated_callback_does_not_end_the_attempt_that_followed(target, state, hedging):
    # Guards against taking a repeated callback for one about an attempt at another endpoint.
    async with DispatcherRig(
        respond, respond, policyLimits__secondCopies=hedging, categories__1__keyScope="all", **LATE_OBJECTIVES
    ) as rig:
        reader, writer = await rig.connect()
        writer.write(request(target, b"x", *([KEY] if target == STORE else [])))
        first = await next_attempt(rig, 0)
        assert (await rig.callback(first, state)).target == "204"
        second = await next_attempt(rig, 1)
        for _ in range(3):
            assert (await rig.callback(first, state)).target == "204"
        assert {first, second} == {"w0", "w1"} and rig.core.counters["callbacks stray"] == 3
        assert (await rig.callback(second, "done", result="made")).target == "204"
        answer = await read_message(reader)
        assert (answer.target, answer.body) == ("200", b"made")
        assert attempts_received(rig) == ["w0", "w1"]
        writer.close()


@pytest.mark.parametrize("endpoints", [1, 2])
@pytest.mark.parametrize(("target", "state"), [(LOOK, "returned"), (LOOK, "failed"), (PAY, "returned")])
@on_loop
async def test_endpoint_that_may_repeat_a_callback_gets_no_other_attempt(target, state, endpoints):
    # Guards against running a non-idempotent request twice: a repeated "returned" was taken for the end of
    # the next attempt at that endpoint, which ran.
    async with DispatcherRig(
        *[respond] * endpoints, policyLimits__secondCopies=False, **LATE_OBJECTIVES
    ) as rig:
        rig.core.router.retry_budget.balance = 10.0
        reader, writer = await rig.connect()
        writer.write(request(target))
        for number in range(endpoints):
            last = await next_attempt(rig, number)
            await rig.callback(last, state)
        await free_all_slots(rig)
        await rig.callback(last, state)
        assert (await read_message(reader)).target == "503"
        assert attempts_received(rig) == ["w0", "w1"][:endpoints]
        writer.close()


@on_loop
async def test_endpoint_that_answered_without_accepting_may_get_another_attempt():
    # An answer other than the acceptance is the endpoint's only report: nothing about it can be repeated.
    replies = [response(503, b"", "X-Rejected: 1"), ACCEPTED]
    async with DispatcherRig(lambda call: replies.pop(0), **LATE_OBJECTIVES) as rig:
        reader, writer = await rig.connect()
        writer.write(request(PAY))
        await until(lambda: rig.core.counters["ho full"] == 1)
        await free_all_slots(rig)
        assert await next_attempt(rig, 1) == "w0"
        await rig.callback("w0", "done", result="made")
        assert (await read_message(reader)).target == "200"
        writer.close()


@on_loop
async def test_endpoint_that_did_not_confirm_a_cancellation_gets_no_other_attempt():
    # Guards against a second attempt at an endpoint whose first one was cancelled, unheard, and still waits.
    settings = {f"categories__{number}__dueTimeMs": 3000.0 for number in range(3)}
    async with DispatcherRig(
        *[lambda call: ABORT if call.method == "DELETE" else ACCEPTED] * 2, **settings
    ) as rig:
        rig.core.router.retry_budget.balance = 10.0
        reader, writer = await rig.connect()
        writer.write(request(LOOK))
        await next_attempt(rig, 0)
        hedge = await next_attempt(rig, 1)
        await rig.callback(hedge, "started")
        first = rig.core.requests["a"].attempts[0]
        await until(lambda: first.result)
        await rig.callback(hedge, "lost")
        await free_all_slots(rig)
        assert (await read_message(reader)).target == "503"
        assert attempts_received(rig) == ["w0", "w1"]
        writer.close()
