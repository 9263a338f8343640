"""The simulator's text protocol: events, commands, settings and errors for invalid input."""

import io

import pytest

from dunepulley.routing.commands import (
    CancelAttempt,
    CheckHealth,
    Fail,
    Reject,
    SendGossip,
    StartAttempt,
    WriteLog,
)
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    ClientDisconnected,
    GossipReceived,
    HealthCheckEnded,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from dunepulley.routing.settings import Idempotency
from dunepulley.simhost import wire
from dunepulley.simhost.host import serve

START = (
    "turn momentUs=1000000\ntarget_instance dispatcherId=3\n"
    "power_on nonce64=5 categories.count=1 categories.0.name=x categories.0.effect=read_like odd=1,2\n"
    "roster_change how=disk epoch=1 members=1\n"
    "item worker=10.0.0.1:80 az=a familyType=k bay=0 state=active units=1 colour=red\nend\n"
)


def run_adapter(text):
    sink = io.StringIO()
    serve(io.StringIO(text), sink)
    return sink.getvalue()


@pytest.mark.parametrize(
    ("line", "event"),
    [
        (
            "job_in corr=a cls=x timeBudgetUs=240000 width=2 expectedUs=12500 new=1",
            RequestArrived("a", "x", 240.0, 2.0, "", 12.5),
        ),
        ("update_of corr=a worker=w kind=1 try=2", AttemptStarted("a", 2)),
        ("fired token=9223372036854775807", TimerFired(9223372036854775807)),
        ("withdrawn corr=a", ClientDisconnected("a")),
        ("streaming corr=a try=0 worker=w rttUs=1", ResponseStarted("a", 0)),
        (
            "ended corr=a last=1 try=0 result=saturated rttUs=1500 worker=w healthInfo=throughput:2,x0:1,o:z",
            AttemptEnded("a", 0, AttemptResult.REJECTED, "w", 1.5, True, {"rate": 2.0, "x0": 1.0}),
        ),
        ("checked result=completed worker=w rttUs=1400", HealthCheckEnded("w", AttemptResult.COMPLETED, 1.4)),
        ("memo neighbour=2 octets=68", None),
        ("memo neighbour=2 octets=00123405", GossipReceived(2, False, ((0x1234, 5),))),
    ],
)
def test_reads_events(line, event):
    name, *parts = line.split(" ")
    assert wire.EVENT_READERS[name](wire.parse_fields(parts)) == event


@pytest.mark.parametrize(
    ("command", "line"),
    [
        (StartAttempt("a", "w", 80.0), "call_out corr=a worker=w timeoutUs=80000"),
        (CancelAttempt("a", 1), "revoke corr=a try=1"),
        (Reject("a", 250.5), "push_back corr=a notBeforeForUs=250500"),
        (Fail("a"), "abort corr=a"),
        (CheckHealth("w"), "sound_out worker=w"),
        (SendGossip(-1, True, ((1, 2),)), "say recipient=all octets=01000102"),
        (SendGossip(4, False, ()), "say recipient=4 octets=00"),
        (WriteLog("two\nlines"), "write_log reasonText=two lines"),
    ],
)
def test_writes_commands(command, line):
    assert wire.COMMAND_WRITERS[type(command)](command) == line


@pytest.mark.parametrize(
    ("name", "text", "key", "value"),
    [
        ("rules.coldUs", "24000000", "rules.coldMs", 24000.0),
        ("policyLimits.cpuUsPerS", "8000", "policyLimits.cpuUsPerS", 8000.0),
        ("categories.0.effect", "idempotency_key", "categories.0.effect", Idempotency.KEYED),
        ("categories.0.name", "12", "categories.0.name", "12"),
        ("familyInfo.classStretch", "2.0,1.75", "familyInfo.classStretch", (2.0, 1.75)),
        ("policyLimits.cancel", "false", "policyLimits.cancel", False),
        ("reporting.fields", "throughput,backlog", "reporting.fields", ("rate", "queue")),
    ],
)
def test_translates_settings(name, text, key, value):
    assert wire.parse_settings({name: text}) == {key: value}


def test_replies_to_a_batch():
    request = "turn momentUs=1002000\ntarget_instance dispatcherId=3\n"
    request += "job_in corr=a cls=x timeBudgetUs=500000\nend\n"
    reply = run_adapter("turn momentUs=1\nend\n" + START + request)
    assert reply.startswith("finished\n")
    assert "for dispatcherId=3\ncall_out corr=a worker=10.0.0.1:80 timeoutUs=500000\n" in reply
    assert reply.endswith("finished\n") and reply.count("finished") == 3


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("turn momentUs=1\nnonsense a=1\nend\n", "not powered on"),
        (START + "turn momentUs=2000000\ntarget_instance dispatcherId=3\nnonsense a=1\nend\n", "nonsense"),
        (START + "turn momentUs=2000000\ntarget_instance dispatcherId=4\nfired token=1\nend\n", "instance 4"),
        (START + "turn momentUs=2000000\ntarget_instance dispatcherId=3\nfired token=x\nend\n", "fired"),
        (START + "turn momentUs=2000000\ntarget_instance dispatcherId=3\njob_in corr=a\nend\n", "job_in"),
        (START.replace("members=1", "members=2"), "roster_change"),
        ("turn momentUs=1\n", "inside a batch"),
    ],
)
def test_rejects_invalid_input_with_one_line(text, expected):
    with pytest.raises(wire.WireError, match=expected):
        run_adapter(text)
