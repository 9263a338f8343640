"""Connections that break before the 202 is read: the endpoint may run the attempt, hedging or not."""

import pytest
from support.dispatcher_rig import LATE_OBJECTIVES, LOOK, DispatcherRig
from support.event_loop import on_loop, until
from support.fake_server import ABORT, CLOSE, FakeServer
from support.http_messages import ACCEPTED, read_message, request, response
from support.upstream_sender import UpstreamSender

from dunepulley.net.messages import AttemptFinished
from dunepulley.routing.events import AttemptResult

HEDGING = {"policyLimits__secondCopies": True} | LATE_OBJECTIVES


class ForgetfulEndpoint:
    """Accepts each attempt; the connection breaks under the first acceptances."""

    def __init__(self, lost, cancel_reply=None):
        self.lost = lost
        self.cancel_reply = cancel_reply or response(204)
        self.running = set()
        self.duplicates = []

    def __call__(self, call):
        if call.method == "DELETE":
            if self.cancel_reply is not ABORT:
                self.running.clear()
            return self.cancel_reply
        request_id = call.headers["x-call-id"]
        if request_id in self.running:
            self.duplicates.append(request_id)
        self.running.add(request_id)
        self.lost -= 1
        return ABORT if self.lost >= 0 else ACCEPTED


async def accepted_endpoint(rig):
    """Wait until an attempt was accepted, and return its endpoint."""
    await until(lambda: rig.core.counters["ho accepted"] or not rig.core.requests)
    (attempt,) = [attempt for attempt in rig.core.requests["a"].attempts if not attempt.result]
    return attempt.endpoint_id


@on_loop
async def test_endpoint_gets_the_request_again_only_after_it_has_confirmed_the_cancellation():
    # Guards against a second attempt at an endpoint that runs the first: with hedging, nothing cancelled it.
    endpoint = ForgetfulEndpoint(lost=1)
    async with DispatcherRig(endpoint, **HEDGING) as rig:
        reader, writer = await rig.connect()
        await until(lambda: rig.core.can_serve())
        writer.write(request(LOOK))
        await until(lambda: "a" in rig.core.requests and rig.core.requests["a"].attempts)
        await until(lambda: rig.core.requests["a"].attempts[0].result)
        rig.core.router.endpoints.all[0].ejected_until_ms = 0.0
        rig.core.router.queue.mark_capacity_changed()
        assert await accepted_endpoint(rig) == "w0"
        assert [call.method for call in rig.endpoints[0].seen] == ["POST", "DELETE", "POST"]
        assert not endpoint.duplicates
        await rig.callback("w0", "done", result="made")
        assert (await read_message(reader)).target == "200"
        writer.close()


@on_loop
async def test_endpoint_that_does_not_confirm_the_cancellation_gets_no_other_attempt():
    # Guards against a second attempt at an endpoint that runs the first and misses its cancellation.
    endpoints = [ForgetfulEndpoint(lost=1, cancel_reply=ABORT) for _ in range(2)]
    async with DispatcherRig(*endpoints, **HEDGING) as rig:
        rig.core.router.retry_budget.balance = 10.0
        reader, writer = await rig.connect()
        writer.write(request(LOOK))
        assert (await read_message(reader)).target in ("500", "503")
        posts = [[call.method for call in server.seen].count("POST") for server in rig.endpoints]
        assert posts == [1, 1] and not any([endpoint.duplicates for endpoint in endpoints])
        writer.close()


@pytest.mark.parametrize("reply", [ABORT, CLOSE])
@pytest.mark.parametrize("is_confirmed", [True, False])
@on_loop
async def test_with_hedging_an_attempt_whose_202_may_be_lost_is_cancelled(reply, is_confirmed):
    def respond(call):
        if call.method == "POST":
            return reply
        return response(204) if is_confirmed else ABORT

    async with UpstreamSender() as sender, FakeServer(respond) as peer:
        attempt = sender.send(peer.address)
        assert await sender.first_result() == AttemptResult.CONNECTION_LOST
        assert attempt.may_be_reported() is not is_confirmed
        deletes = [call.method for call in peer.seen].count("DELETE")
        assert deletes == 1 if is_confirmed else deletes >= 1


@on_loop
async def test_attempt_whose_task_fails_after_its_first_byte_is_cancelled(monkeypatch):
    # Guards against a retry beside an attempt that runs, after a fault in this process.
    def raise_fault(text, separator):
        raise RuntimeError("fault")

    monkeypatch.setattr("dunepulley.net.upstream.client.load_reports.parse_report_text", raise_fault)

    def respond(call):
        return response(204) if call.method == "DELETE" else response(500)

    async with UpstreamSender() as sender, FakeServer(respond) as peer:
        sender.send(peer.address)
        await until(lambda: sender.reported)
        (finished,) = sender.reported
        assert isinstance(finished, AttemptFinished) and finished.result == AttemptResult.CONNECTION_LOST
        assert [call.method for call in peer.seen] == ["POST", "DELETE"]
        assert sender.counters["faults"] == 1
