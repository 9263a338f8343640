"""`Core`: messages to router events, commands to the sender, callbacks, faults, and clean-up of requests."""

import asyncio
import time

import pytest
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.recording_sender import RecordingSender
from support.router_rig import SETTINGS

from dunepulley.net.callbacks import MalformedError, parse_callback
from dunepulley.net.core import Clock, Core
from dunepulley.net.counters import Counters
from dunepulley.net.endpoint_list import parse_endpoint_list
from dunepulley.net.messages import (
    Answer,
    AttemptFinished,
    CallbackReceived,
    ClientGone,
    PendingRequest,
    RequestReceived,
)
from dunepulley.routing.commands import (
    CancelAttempt,
    CheckHealth,
    Fail,
    Reject,
    SetTimer,
    StartAttempt,
    WriteLog,
)
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    ClientDisconnected,
    HealthCheckEnded,
    ListUpdateKind,
    RequestArrived,
    TimerFired,
)

START_ATTEMPT = StartAttempt("a", "w0", 4000.0)
REJECTED, ERRORED, CONNECTION_LOST = (
    AttemptResult.REJECTED,
    AttemptResult.ERRORED,
    AttemptResult.CONNECTION_LOST,
)


class ScriptedRouter:
    """A fake router that records events, and returns commands by the type of each event."""

    def __init__(self, **commands):
        self.received = []
        self.responses = commands
        self.commands = []
        self.raises_after_batch = False

    def handle(self, now, events):
        self.commands = []
        for event in events:
            self.received.append(event)
            commands = self.responses.get(type(event).__name__, [])
            if commands == "fault":
                raise ValueError("scripted fault at an event")
            self.commands += commands
        if self.raises_after_batch:
            self.raises_after_batch = False
            raise ValueError("scripted fault after the last event")
        return self.commands


class Case:
    """A `Core` with a scripted router and a recording sender."""

    def __init__(self, settings=SETTINGS, **commands):
        initial_list = parse_endpoint_list(
            members(member("w0", "127.0.0.1:1"), member("w1", "127.0.0.1:2")), ListUpdateKind.FROM_DISK
        )
        self.core = Core(7, settings, initial_list, Counters())
        self.core.executor.attempt_sender = self.attempt_sender = RecordingSender()
        self.core.router = self.router = ScriptedRouter(**commands)

    async def __aenter__(self):
        self.task = asyncio.create_task(self.core.run())
        return self

    async def __aexit__(self, *_):
        assert not self.task.done(), "the task of Core ended"
        self.task.cancel()

    def receive_request(self, request_id="a", timeout_ms=4000.0, received_ms=None):
        pending = PendingRequest(
            RequestArrived(request_id, "look", timeout_ms),
            received_ms or self.core.clock(),
            "/look/1",
            {},
            b"x",
        )
        self.core.put(RequestReceived(pending))
        return pending

    async def process(self, *messages):
        for message in messages:
            self.core.put(message)
        self.core.put(TimerFired(99))
        before = len(self.events_of(TimerFired))
        await until(lambda: len(self.events_of(TimerFired)) > before and self.core.queue.empty())

    def events_of(self, kind):
        return [event for event in self.router.received if type(event) is kind]

    def attempt_results(self):
        return [
            (event.attempt_number, event.result, event.answered) for event in self.events_of(AttemptEnded)
        ]


def callback(state, endpoint_id="w0", request_id="a", progress=0.0):
    return CallbackReceived(request_id, endpoint_id, state, progress, b"made", {"x0": 1.0})


@pytest.mark.parametrize(
    ("messages", "attempt_results", "started", "answered"),
    [
        ([callback("started"), callback("done")], [(0, AttemptResult.COMPLETED, True)], 1, True),
        ([callback("done")], [(0, AttemptResult.COMPLETED, True)], 0, True),  # before the 202
        (
            [callback("done"), callback("done"), callback("failed"), callback("started")],
            [(0, AttemptResult.COMPLETED, True)],
            0,
            True,
        ),
        ([callback("running", progress=0.5)], [], 1, False),
        ([callback("failed")], [(0, AttemptResult.ERRORED, False)], 0, False),
        ([callback("returned")], [(0, AttemptResult.REJECTED, False)], 0, False),
        ([callback("lost"), callback("done")], [(0, AttemptResult.CONNECTION_LOST, False)], 0, False),  # late
        ([callback("done", endpoint_id="w1")], [], 0, False),  # from another endpoint
        ([callback("done", endpoint_id="gone")], [], 0, False),
        ([callback("done", request_id="b")], [], 0, False),  # for a request of an earlier process
        ([callback("started", request_id="b")], [], 0, False),
    ],
)
@on_loop
async def test_a_callback_ends_an_attempt_at_most_once(messages, attempt_results, started, answered):
    async with Case(RequestArrived=[START_ATTEMPT]) as case:
        pending = case.receive_request()
        await case.process()
        await case.process(*messages)
        assert (case.attempt_results(), len(case.events_of(AttemptStarted)), pending.answer.done()) == (
            attempt_results,
            started,
            answered,
        )
        if answered:
            assert pending.answer.result() == Answer(AttemptEnded, b"made")
            assert not case.core.requests, "an ended request is still in the table"


@pytest.mark.parametrize(
    ("first", "is_unambiguous"),
    [
        (AttemptResult.REJECTED, True),
        (AttemptResult.NOT_SENT, True),
        (AttemptResult.CANCELLED, False),
        (AttemptResult.CONNECTION_LOST, False),
        (AttemptResult.CANCEL_UNCONFIRMED, False),
    ],
)
@pytest.mark.parametrize(
    ("state", "result"), [("returned", REJECTED), ("failed", ERRORED), ("lost", CONNECTION_LOST)]
)
@on_loop
async def test_a_failure_callback_is_ambiguous_after_an_attempt_that_may_have_run(
    state, result, first, is_unambiguous
):
    # Guards against ending the present attempt as failed while it may still run: the callback may be for an
    # earlier attempt at the same endpoint.
    async with Case(RequestArrived=[START_ATTEMPT], ClientDisconnected=[]) as case:
        case.receive_request()
        await case.process()
        case.router.responses = {"AttemptEnded": [START_ATTEMPT]}
        await case.process(AttemptFinished(case.attempt_sender.sent[0], first))
        case.router.responses = {}
        await case.process(callback(state))
        assert case.attempt_results() == [
            (0, first, False),
            (1, result if is_unambiguous else AttemptResult.CANCEL_UNCONFIRMED, False),
        ]


CHANGES = {
    "nothing": lambda case, pending, attempt: [],
    "the client disconnects, unknown to the router": lambda case, pending, attempt: (
        pending.answer.cancel() and []
    ),
    "the request is answered": lambda case, pending, attempt: pending.settle(Answer(Fail)) or [],
    "the attempt is cancelled": lambda case, pending, attempt: setattr(attempt, "cancelled", True) or [],
    "the attempt has ended": lambda case, pending, attempt: setattr(attempt, "result", "cut") or [],
    "the start window ends": lambda case, pending, attempt: (
        setattr(case.core, "clock", lambda: attempt.start_before_ms) or []
    ),
    "the endpoint drains": lambda case, pending, attempt: [
        list_changes(member("w0", "127.0.0.1:1", "Terminating"))
    ],
    "the endpoint is removed": lambda case, pending, attempt: [
        list_changes(member("w0", "127.0.0.1:1", "Gone"))
    ],
    "the endpoint has another address": lambda case, pending, attempt: [
        list_changes(member("w0", "127.0.0.1:9"))
    ],
    "another endpoint drains": lambda case, pending, attempt: [
        list_changes(member("w1", "127.0.0.1:2", "Terminating"))
    ],
}


def list_changes(entry):
    return parse_endpoint_list(members(entry, complete=False))


@pytest.mark.parametrize("change", CHANGES)
@on_loop
async def test_an_attempt_may_begin_only_while_its_conditions_still_hold(change):
    # Checked directly before the first byte, because establishing a connection may take a second.
    async with Case(RequestArrived=[StartAttempt("a", "w0", 4000.0, 900.0)]) as case:
        pending = case.receive_request()
        await case.process()
        (attempt,) = case.attempt_sender.sent
        assert case.core.may_begin(attempt) and attempt.start_before_ms == attempt.started_ms + 900.0
        await case.process(*CHANGES[change](case, pending, attempt))
        assert case.core.may_begin(attempt) is (change in ("nothing", "another endpoint drains"))


@on_loop
async def test_an_attempt_is_cancelled_only_once():
    # Guards against one more cancellation call per decision to an endpoint that answers none.
    async with Case(RequestArrived=[START_ATTEMPT], TimerFired=[CancelAttempt("a", 0)]) as case:
        case.attempt_sender.cancel_attempt = lambda attempt, notify: (
            case.attempt_sender.cancelled.append(attempt),
            setattr(attempt, "cancelled", True),
        )
        case.receive_request()
        for _ in range(4):
            await case.process()
        assert len(case.attempt_sender.cancelled) == 1


@pytest.mark.parametrize(
    ("body", "fragment"),
    [
        (b"", "JSON"),
        (b"[1]", "object"),
        (b'{"id":1,"from":"w","state":"done","result":""}', "text"),
        (b'{"id":"a","state":"done","result":""}', "text"),
        (b'{"id":"a","from":"w","state":"odd"}', "state"),
        (b'{"id":"a","from":"w","state":["done"]}', "state"),
        (b'{"id":"a","from":"w","state":"done"}', "result"),
        (b'{"id":"a","from":"w","state":"done","result":"\\ud800"}', "JSON"),
    ],
)
def test_malformed_callbacks_are_rejected(body, fragment):
    with pytest.raises(MalformedError, match=fragment):
        parse_callback(body)


def test_invalid_numbers_and_unknown_keys_in_callbacks_are_ignored():
    body = b'{"id":"a","from":"w","state":"running","share":"half","load":{"qps":"x","queue":2},"new":[]}'
    assert parse_callback(body) == CallbackReceived("a", "w", "running", 0.0, b"", {"queue": 2.0})
    assert parse_callback(b'{"id":"a","from":"w","state":"lost","load":[]}').load_report is None


@on_loop
async def test_a_disconnect_is_reported_once_and_may_cross_an_answer():
    async with Case(RequestArrived=[START_ATTEMPT], ClientDisconnected=[CancelAttempt("a", 0)]) as case:
        pending = case.receive_request()
        await case.process()
        await case.process(ClientGone(pending), ClientGone(pending))
        assert len(case.events_of(ClientDisconnected)) == 1 and case.attempt_sender.cancelled == [
            (case.attempt_sender.sent[0], True)
        ]
        await case.process(callback("done"))
        assert case.attempt_results() == [(0, AttemptResult.COMPLETED, True)] and not pending.answer.done()
        assert not case.core.requests
        await case.process(
            ClientGone(pending), AttemptFinished(case.attempt_sender.sent[0], AttemptResult.CANCELLED)
        )
        assert len(case.events_of(ClientDisconnected)) == 1 and len(case.attempt_results()) == 1
        # The other order: answered, then disconnected.
        pending = case.receive_request("a")
        await case.process()
        await case.process(callback("done"), ClientGone(pending))
        assert len(case.events_of(ClientDisconnected)) == 1 and pending.answer.result().kind is AttemptEnded


@on_loop
async def test_a_client_that_connects_and_disconnects_within_a_batch_leaves_nothing():
    # Guards against passing the request to the router, which would start an attempt that never ends.
    async with Case(RequestArrived=[START_ATTEMPT]) as case:
        await case.process(ClientGone(case.receive_request()))
        assert not case.events_of(RequestArrived) and not case.attempt_results()
        assert not case.attempt_sender.sent and not case.core.requests and not case.core.counters["faults"]


@pytest.mark.parametrize(
    ("command", "answer"),
    [
        (Reject("a", 250.0), Answer(Reject, retry_after_ms=250.0)),
        (Fail("a"), Answer(Fail)),
    ],
)
@on_loop
async def test_reject_and_fail_answer_the_request_once(command, answer):
    async with Case(RequestArrived=[command, command]) as case:
        pending = case.receive_request()
        await case.process()
        await case.process(ClientGone(pending))
        assert pending.answer.result() == answer
        assert not case.core.requests and not case.events_of(ClientDisconnected)


@on_loop
async def test_a_timeout_ends_an_attempt_and_cancels_it():
    short = START_ATTEMPT._replace(timeout_ms=5.0)
    async with Case(RequestArrived=[short], AttemptEnded=[Fail("a")]) as case:
        pending = case.receive_request()
        await until(lambda: case.attempt_results())
        assert case.attempt_results() == [(0, AttemptResult.TIMED_OUT, False)]
        assert case.attempt_sender.cancelled == [(case.attempt_sender.sent[0], True)]
        await until(lambda: pending.answer.done() and not case.core.requests)


@on_loop
async def test_attempts_and_health_checks_that_cannot_be_sent_end_as_not_sent():
    unknown_endpoint = StartAttempt("a", "nobody", 100.0)
    commands = [START_ATTEMPT, START_ATTEMPT, unknown_endpoint, CheckHealth("nobody"), CheckHealth("w1")]
    async with Case(RequestArrived=commands) as case:
        case.receive_request()
        await case.process()
        # An endpoint gets one attempt of a request at a time.
        assert len(case.attempt_sender.sent) == 1
        assert case.attempt_results() == [
            (1, AttemptResult.NOT_SENT, False),
            (2, AttemptResult.NOT_SENT, False),
        ]
        assert case.events_of(HealthCheckEnded) == [HealthCheckEnded("nobody", AttemptResult.NOT_SENT)]
        assert case.attempt_sender.health_checks == [("w1", "127.0.0.1:2")]
        # No attempt is sent for a request whose client has disconnected.
        case.router.responses = {"ClientDisconnected": [StartAttempt("a", "w1", 100.0)]}
        await case.process(ClientGone(case.attempt_sender.sent[0].request))
        assert len(case.attempt_sender.sent) == 1 and case.attempt_results()[-1] == (
            3,
            AttemptResult.NOT_SENT,
            True,
        )


@on_loop
async def test_an_exception_at_one_event_loses_no_other():
    async with Case(RequestArrived=[START_ATTEMPT], ClientDisconnected="fault") as case:
        first, second = case.receive_request("a"), case.receive_request("b")
        case.router.responses["RequestArrived"] = "fault"
        third = case.receive_request("c")
        await until(lambda: third.answer.done())
        # Each request whose event raised an exception fails, the task continues, and the fault is counted.
        assert [pending.answer.result().kind for pending in (first, second, third)] == [Fail] * 3
        await until(lambda: not case.core.requests)
        assert case.core.counters["faults"] >= 3
        case.router.responses = {"RequestArrived": [Reject("d")]}
        assert (await case.receive_request("d").answer).kind is Reject
        await case.process("nonsense", TimerFired(5))
        assert TimerFired(5) in case.router.received


@on_loop
async def test_an_exception_after_the_last_event_fails_no_request():
    async with Case(RequestArrived=[START_ATTEMPT]) as case:
        case.router.raises_after_batch = True
        pending = case.receive_request()
        # The router gets a timer event, its commands are executed, and the last request stays open.
        await until(lambda: TimerFired(0) in case.router.received)
        assert case.core.counters["faults"] == 1 and case.attempt_sender.sent and not pending.answer.done()


@on_loop
async def test_commands_for_unknown_requests_or_attempts_are_ignored():
    invalid_commands = [
        CancelAttempt("a", 7),
        CancelAttempt("b", 0),
        StartAttempt("b", "w0", 1.0),
        Reject("b"),
    ]
    async with Case(RequestArrived=[*invalid_commands, WriteLog("seen"), Reject("a")]) as case:
        assert (await case.receive_request().answer).kind is Reject


@on_loop
async def test_timers_fire_in_order_and_are_removed():
    async with Case(RequestArrived=[SetTimer(3.0, 17), SetTimer(1.0, 18)]) as case:
        case.receive_request()
        await until(lambda: len(case.events_of(TimerFired)) == 2)
        assert (
            case.events_of(TimerFired) == [TimerFired(18), TimerFired(17)]
            and not case.core.timers.router_timers
        )


@on_loop
async def test_the_timeout_runs_while_a_request_waits_for_its_batch():
    async with Case() as case:
        case.receive_request(received_ms=case.core.clock() - 300.0)
        case.receive_request("b", 100.0, case.core.clock() - 300.0)
        await case.process()
        timeouts_ms = [event.timeout_ms for event in case.events_of(RequestArrived)]
        assert 3000.0 < timeouts_ms[0] <= 3700.0 and timeouts_ms[1] == 1.0


@on_loop
async def test_list_updates_change_addresses_and_readiness():
    async with Case(RequestArrived=[START_ATTEMPT]) as case:
        await case.process(parse_endpoint_list(members(member("w0", "127.0.0.1:9"), complete=False)))
        assert case.core.endpoints.addresses == {"w0": "127.0.0.1:9", "w1": "127.0.0.1:2"}
        case.receive_request()
        await case.process()
        assert case.attempt_sender.sent[0].address == "127.0.0.1:9"
        # A cancellation goes to the endpoint's present address.
        case.router.responses = {"ClientDisconnected": [CancelAttempt("a", 0)]}
        new_address = parse_endpoint_list(members(member("w0", "127.0.0.1:8"), complete=False))
        await case.process(new_address, ClientGone(case.attempt_sender.sent[0].request))
        assert [attempt.address for attempt, _ in case.attempt_sender.cancelled] == ["127.0.0.1:8"]
        await case.process(
            parse_endpoint_list(
                members(member("w0", "", "Gone"), member("w1", "127.0.0.1:2", "Terminating"), complete=False)
            )
        )
        assert case.core.endpoints.addresses == {"w1": "127.0.0.1:2"} and not case.core.can_serve()
        await case.process(parse_endpoint_list(members(member("w2", "127.0.0.1:3"))))
        assert case.core.endpoints.addresses == {"w2": "127.0.0.1:3"} and case.core.can_serve()
        await case.process(parse_endpoint_list(members()))
        assert not case.core.endpoints.addresses and not case.core.can_serve()


def test_the_clock_reads_unix_time_and_is_monotonic(monkeypatch):
    clock = Clock()
    assert abs(clock() - time.time() * 1000.0) < 1000.0
    monkeypatch.setattr(time, "time", lambda: 0.0)
    first = clock()
    assert clock() >= first > 1e12
