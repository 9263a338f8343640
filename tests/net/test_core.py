"""The module's task: messages to events, commands to sockets, callbacks, faults, and what is forgotten."""

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

HAND_OFF = StartAttempt("a", "w0", 4000.0)
FULL, ERRED, CUT = AttemptResult.REJECTED, AttemptResult.ERRORED, AttemptResult.CONNECTION_LOST


class Script:
    """Stands in for the module: notes events, and answers each by its type with commands."""

    def __init__(self, **commands):
        self.heard = []
        self.says = commands
        self.commands = []
        self.breaks = False

    def handle(self, now, events):
        self.commands = []
        for event in events:
            self.heard.append(event)
            said = self.says.get(type(event).__name__, [])
            if said == "fault":
                raise ValueError("a fault in the module")
            self.commands += said
        if self.breaks:
            self.breaks = False
            raise ValueError("a fault in what was due")
        return self.commands


class Case:
    """A core with both ends scripted."""

    def __init__(self, settings=SETTINGS, **commands):
        known = parse_endpoint_list(
            members(member("w0", "127.0.0.1:1"), member("w1", "127.0.0.1:2")), ListUpdateKind.FROM_DISK
        )
        self.core = Core(7, settings, known, Counters())
        self.core.executor.attempt_sender = self.hands = RecordingSender()
        self.core.router = self.module = Script(**commands)

    async def __aenter__(self):
        self.task = asyncio.create_task(self.core.run())
        return self

    async def __aexit__(self, *_):
        assert not self.task.done(), "the module's task ended"
        self.task.cancel()

    def take(self, wi="a", budget=4000.0, came=None):
        job = PendingRequest(
            RequestArrived(wi, "look", budget), came or self.core.clock(), "/look/1", {}, b"x"
        )
        self.core.put(RequestReceived(job))
        return job

    async def say(self, *messages):
        for message in messages:
            self.core.put(message)
        self.core.put(TimerFired(99))
        before = len(self.of(TimerFired))
        await until(lambda: len(self.of(TimerFired)) > before and self.core.queue.empty())

    def of(self, kind):
        return [event for event in self.module.heard if type(event) is kind]

    def ends(self):
        return [(event.attempt_number, event.result, event.answered) for event in self.of(AttemptEnded)]


def told(state, worker="w0", wi="a", share=0.0):
    return CallbackReceived(wi, worker, state, share, b"made", {"x0": 1.0})


@pytest.mark.parametrize(
    ("messages", "ends", "begun", "answered"),
    [
        ([told("started"), told("done")], [(0, AttemptResult.COMPLETED, True)], 1, True),
        ([told("done")], [(0, AttemptResult.COMPLETED, True)], 0, True),  # before the 202
        (
            [told("done"), told("done"), told("failed"), told("started")],
            [(0, AttemptResult.COMPLETED, True)],
            0,
            True,
        ),
        ([told("running", share=0.5)], [], 1, False),
        ([told("failed")], [(0, AttemptResult.ERRORED, False)], 0, False),
        ([told("returned")], [(0, AttemptResult.REJECTED, False)], 0, False),
        ([told("lost"), told("done")], [(0, AttemptResult.CONNECTION_LOST, False)], 0, False),  # late
        ([told("done", worker="w1")], [], 0, False),  # from another worker
        ([told("done", worker="gone")], [], 0, False),
        ([told("done", wi="b")], [], 0, False),  # of a former life
        ([told("started", wi="b")], [], 0, False),
    ],
)
@on_loop
async def test_callbacks_count_once_or_not_at_all(messages, ends, begun, answered):
    async with Case(RequestArrived=[HAND_OFF]) as case:
        job = case.take()
        await case.say()
        await case.say(*messages)
        assert (case.ends(), len(case.of(AttemptStarted)), job.answer.done()) == (ends, begun, answered)
        if answered:
            assert job.answer.result() == Answer(AttemptEnded, b"made")
            assert not case.core.requests, "an ended item left something behind"


@pytest.mark.parametrize(
    ("first", "sure"),
    [
        (AttemptResult.REJECTED, True),
        (AttemptResult.NOT_SENT, True),
        (AttemptResult.CANCELLED, False),
        (AttemptResult.CONNECTION_LOST, False),
        (AttemptResult.CANCEL_UNCONFIRMED, False),
    ],
)
@pytest.mark.parametrize(("state", "result"), [("returned", FULL), ("failed", ERRED), ("lost", CUT)])
@on_loop
async def test_what_is_told_may_be_of_an_earlier_one_of_the_same_worker(state, result, first, sure):
    # What an earlier hand-off left there may come back: only then the present one may run yet.
    async with Case(RequestArrived=[HAND_OFF], ClientDisconnected=[]) as case:
        case.take()
        await case.say()
        case.module.says = {"AttemptEnded": [HAND_OFF]}
        await case.say(AttemptFinished(case.hands.sent[0], first))
        case.module.says = {}
        await case.say(told(state))
        assert case.ends() == [
            (0, first, False),
            (1, result if sure else AttemptResult.CANCEL_UNCONFIRMED, False),
        ]


CHANGES = {
    "nothing": lambda case, job, attempt: [],
    "the client goes, of which the module has not heard": lambda case, job, attempt: (
        job.answer.cancel() and []
    ),
    "it is answered": lambda case, job, attempt: job.settle(Answer(Fail)) or [],
    "it is given up": lambda case, job, attempt: setattr(attempt, "cancelled", True) or [],
    "its time is over": lambda case, job, attempt: (
        setattr(case.core, "clock", lambda: attempt.start_before_ms) or []
    ),
    "the worker is to drain": lambda case, job, attempt: [news(member("w0", "127.0.0.1:1", "Terminating"))],
    "the worker is gone": lambda case, job, attempt: [news(member("w0", "127.0.0.1:1", "Gone"))],
    "the worker is elsewhere": lambda case, job, attempt: [news(member("w0", "127.0.0.1:9"))],
    "another worker is to drain": lambda case, job, attempt: [
        news(member("w1", "127.0.0.1:2", "Terminating"))
    ],
}


def news(entry):
    return parse_endpoint_list(members(entry, complete=False))


@pytest.mark.parametrize("change", CHANGES)
@on_loop
async def test_a_hand_off_begins_only_while_all_still_holds(change):
    # Asked directly before the first byte, which a connection that comes up late may put off for a second.
    async with Case(RequestArrived=[StartAttempt("a", "w0", 4000.0, 900.0)]) as case:
        job = case.take()
        await case.say()
        (attempt,) = case.hands.sent
        assert case.core.may_begin(attempt) and attempt.start_before_ms == attempt.started_ms + 900.0
        await case.say(*CHANGES[change](case, job, attempt))
        assert case.core.may_begin(attempt) is (change in ("nothing", "another worker is to drain"))


@on_loop
async def test_what_is_being_taken_back_is_not_taken_back_again():
    # Each look at an item would start one more call to a worker that hears none.
    async with Case(RequestArrived=[HAND_OFF], TimerFired=[CancelAttempt("a", 0)]) as case:
        case.hands.cancel_attempt = lambda attempt, notify: (
            case.hands.cancelled.append(attempt),
            setattr(attempt, "cancelled", True),
        )
        case.take()
        for _ in range(4):
            await case.say()
        assert len(case.hands.cancelled) == 1


@pytest.mark.parametrize(
    ("body", "word"),
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
def test_malformed_callbacks(body, word):
    with pytest.raises(MalformedError, match=word):
        parse_callback(body)


def test_odd_figures_in_callbacks_are_passed_over():
    body = b'{"id":"a","from":"w","state":"running","share":"half","load":{"qps":"x","queue":2},"new":[]}'
    assert parse_callback(body) == CallbackReceived("a", "w", "running", 0.0, b"", {"queue": 2.0})
    assert parse_callback(b'{"id":"a","from":"w","state":"lost","load":[]}').load_report is None


@on_loop
async def test_a_client_gone_is_told_once_and_an_answer_that_crosses_it_is_harmless():
    async with Case(RequestArrived=[HAND_OFF], ClientDisconnected=[CancelAttempt("a", 0)]) as case:
        job = case.take()
        await case.say()
        await case.say(ClientGone(job), ClientGone(job))
        assert len(case.of(ClientDisconnected)) == 1 and case.hands.cancelled == [(case.hands.sent[0], True)]
        await case.say(told("done"))
        assert case.ends() == [(0, AttemptResult.COMPLETED, True)] and not job.answer.done()
        assert not case.core.requests
        await case.say(ClientGone(job), AttemptFinished(case.hands.sent[0], AttemptResult.CANCELLED))
        assert len(case.of(ClientDisconnected)) == 1 and len(case.ends()) == 1
        # The other order: answered, then gone.
        job = case.take("a")
        await case.say()
        await case.say(told("done"), ClientGone(job))
        assert len(case.of(ClientDisconnected)) == 1 and job.answer.result().kind is AttemptEnded


@on_loop
async def test_a_client_that_comes_and_goes_within_a_batch_leaves_nothing():
    # The module is not told of its item: it would hand it off, and wait for an end that never comes.
    async with Case(RequestArrived=[HAND_OFF]) as case:
        await case.say(ClientGone(case.take()))
        assert not case.of(RequestArrived) and not case.ends()
        assert not case.hands.sent and not case.core.requests and not case.core.counters["faults"]


@pytest.mark.parametrize(
    ("command", "answer"),
    [
        (Reject("a", 250.0), Answer(Reject, retry_after_ms=250.0)),
        (Fail("a"), Answer(Fail)),
    ],
)
@on_loop
async def test_final_answers(command, answer):
    async with Case(RequestArrived=[command, command]) as case:
        job = case.take()
        await case.say()
        await case.say(ClientGone(job))
        assert job.answer.result() == answer
        assert not case.core.requests and not case.of(ClientDisconnected)


@on_loop
async def test_a_limit_ends_a_hand_off_and_has_it_given_up():
    short = HAND_OFF._replace(timeout_ms=5.0)
    async with Case(RequestArrived=[short], AttemptEnded=[Fail("a")]) as case:
        job = case.take()
        await until(lambda: case.ends())
        assert case.ends() == [(0, AttemptResult.TIMED_OUT, False)]
        assert case.hands.cancelled == [(case.hands.sent[0], True)]
        await until(lambda: job.answer.done() and not case.core.requests)


@on_loop
async def test_what_cannot_go_out_is_told_as_not_sent():
    nobody = StartAttempt("a", "nobody", 100.0)
    said = [HAND_OFF, HAND_OFF, nobody, CheckHealth("nobody"), CheckHealth("w1")]
    async with Case(RequestArrived=said) as case:
        case.take()
        await case.say()
        # One worker gets one hand-off of an item at a time.
        assert len(case.hands.sent) == 1
        assert case.ends() == [(1, AttemptResult.NOT_SENT, False), (2, AttemptResult.NOT_SENT, False)]
        assert case.of(HealthCheckEnded) == [HealthCheckEnded("nobody", AttemptResult.NOT_SENT)]
        assert case.hands.health_checks == [("w1", "127.0.0.1:2")]
        # An item that is over gets nothing more.
        case.module.says = {"ClientDisconnected": [StartAttempt("a", "w1", 100.0)]}
        await case.say(ClientGone(case.hands.sent[0].request))
        assert len(case.hands.sent) == 1 and case.ends()[-1] == (3, AttemptResult.NOT_SENT, True)


@on_loop
async def test_a_fault_in_one_event_loses_no_other():
    async with Case(RequestArrived=[HAND_OFF], ClientDisconnected="fault") as case:
        first, second = case.take("a"), case.take("b")
        case.module.says["RequestArrived"] = "fault"
        third = case.take("c")
        await until(lambda: third.answer.done())
        # Each item whose event failed is written off, the task goes on, the fault is counted.
        assert [job.answer.result().kind for job in (first, second, third)] == [Fail] * 3
        await until(lambda: not case.core.requests)
        assert case.core.counters["faults"] >= 3
        case.module.says = {"RequestArrived": [Reject("d")]}
        assert (await case.take("d").answer).kind is Reject
        await case.say("nonsense", TimerFired(5))
        assert TimerFired(5) in case.module.heard


@on_loop
async def test_a_fault_after_the_last_event_is_nobodys():
    async with Case(RequestArrived=[HAND_OFF]) as case:
        case.module.breaks = True
        job = case.take()
        # The module is asked to look again, the commands it gave are carried out, the last item goes on.
        await until(lambda: TimerFired(0) in case.module.heard)
        assert case.core.counters["faults"] == 1 and case.hands.sent and not job.answer.done()


@on_loop
async def test_commands_that_make_no_sense_are_passed_over():
    odd = [CancelAttempt("a", 7), CancelAttempt("b", 0), StartAttempt("b", "w0", 1.0), Reject("b")]
    async with Case(RequestArrived=[*odd, WriteLog("seen"), Reject("a")]) as case:
        assert (await case.take().answer).kind is Reject


@on_loop
async def test_alarms_ring_and_leave_nothing():
    async with Case(RequestArrived=[SetTimer(3.0, 17), SetTimer(1.0, 18)]) as case:
        case.take()
        await until(lambda: len(case.of(TimerFired)) == 2)
        assert case.of(TimerFired) == [TimerFired(18), TimerFired(17)] and not case.core.timers.router_timers


@on_loop
async def test_the_budget_runs_while_an_item_waits_for_its_batch():
    async with Case() as case:
        case.take(came=case.core.clock() - 300.0)
        case.take("b", 100.0, case.core.clock() - 300.0)
        await case.say()
        budgets = [event.timeout_ms for event in case.of(RequestArrived)]
        assert 3000.0 < budgets[0] <= 3700.0 and budgets[1] == 1.0


@on_loop
async def test_lists_change_addresses_and_who_can_serve():
    async with Case(RequestArrived=[HAND_OFF]) as case:
        await case.say(parse_endpoint_list(members(member("w0", "127.0.0.1:9"), complete=False)))
        assert case.core.endpoints.addresses == {"w0": "127.0.0.1:9", "w1": "127.0.0.1:2"}
        case.take()
        await case.say()
        assert case.hands.sent[0].address == "127.0.0.1:9"
        # What is taken back is taken back where the worker is now.
        case.module.says = {"ClientDisconnected": [CancelAttempt("a", 0)]}
        moved = parse_endpoint_list(members(member("w0", "127.0.0.1:8"), complete=False))
        await case.say(moved, ClientGone(case.hands.sent[0].request))
        assert [attempt.address for attempt, _ in case.hands.cancelled] == ["127.0.0.1:8"]
        await case.say(
            parse_endpoint_list(
                members(member("w0", "", "Gone"), member("w1", "127.0.0.1:2", "Terminating"), complete=False)
            )
        )
        assert case.core.endpoints.addresses == {"w1": "127.0.0.1:2"} and not case.core.can_serve()
        await case.say(parse_endpoint_list(members(member("w2", "127.0.0.1:3"))))
        assert case.core.endpoints.addresses == {"w2": "127.0.0.1:3"} and case.core.can_serve()
        await case.say(parse_endpoint_list(members()))
        assert not case.core.endpoints.addresses and not case.core.can_serve()


def test_the_clock_reads_unix_time_and_never_goes_back(monkeypatch):
    core_clock = Clock()
    assert abs(core_clock() - time.time() * 1000.0) < 1000.0
    monkeypatch.setattr(time, "time", lambda: 0.0)
    first = core_clock()
    assert core_clock() >= first > 1e12
