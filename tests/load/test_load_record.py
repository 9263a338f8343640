"""Checks of the rules in the record of a run, and reading and writing of records."""

import pytest
from support.load_command import assert_file_refused

from dunepulley.load import check
from dunepulley.load.record import Record, read
from dunepulley.model.scenario import RequestClass, Scenario


def sent(at, wi="i0", to="n0", category="look", budget=1000.0):
    return {"at": at, "event": "sent", "wi": wi, "to": to, "category": category, "budget": budget}


def attempt(at, event, wi="i0", worker="w0", **more):
    return {"at": at, "event": event, "wi": wi, "worker": worker} | more


def arrived(at, work=100.0, **more):
    return attempt(at, "arrived", work=work, **more)


def answered(at, how="200", wi="i0"):
    return {"at": at, "event": "answered", "wi": wi, "how": how}


def listed(at, state, worker="w0", to="n0"):
    return {"at": at, "event": "listed", "to": to, "workers": {worker: state}}


def process(at, what, name="n0"):
    return {"at": at, "event": "process", "name": name, "what": what}


def link_fault(at, on, one, other, number=0):
    return {"at": at, "event": "fault", "kind": "cut", "on": on, "number": number, "pairs": [[one, other]]}


CLIENTS_CUT = [link_fault(100.0, True, "clients", "n0"), link_fault(500.0, False, "clients", "n0")]
DISCOVERY_CUT = [link_fault(100.0, True, "n0", "discovery"), link_fault(5000.0, False, "n0", "discovery")]
TWO_SENT = [sent(0.0), sent(0.0, wi="i1")]
KILLED = [process(100.0, "killed"), process(700.0, "ready")]
STOPPED = [process(100.0, "stopped"), process(5000.0, "goes on")]


@pytest.mark.parametrize(
    ("events", "rule"),
    [
        ([sent(0.0), answered(900.0)], ""),
        ([sent(0.0), answered(900.0, "500")], ""),
        ([sent(0.0), answered(1400.0)], ""),
        # Lost: never answered, or too late. A request whose connection was refused is not lost.
        ([sent(0.0), answered(900.0, "no answer")], "lost"),
        ([sent(0.0)], "lost"),
        ([sent(0.0), answered(1600.0)], "lost"),
        ([sent(0.0), answered(10.0, "refused")], ""),
        # Not lost: a fault of its own dispatcher or link prevented the answer while the request was open.
        ([sent(0.0), *CLIENTS_CUT, answered(900.0, "no answer")], ""),
        ([sent(0.0), *CLIENTS_CUT, answered(1600.0)], ""),
        ([sent(0.0), *KILLED, answered(900.0, "no answer")], ""),
        ([sent(0.0), *STOPPED, answered(5600.0)], ""),
        ([sent(0.0, to="n1"), *KILLED, answered(900.0, "no answer")], "lost"),
        ([*KILLED, sent(2000.0), answered(2900.0, "no answer")], "lost"),
        ([sent(0.0), process(100.0, "told to end"), answered(900.0, "no answer")], "lost"),
        # Twice: non-idempotent requests, or keyed ones in another group or after their window; idempotent
        # requests may run any number of times.
        ([sent(0.0), *[attempt(k, "began", worker=f"w{k}") for k in (1, 2)], answered(9.0)], ""),
        ([sent(0.0, category="pay"), *[attempt(k, "began", worker=f"w{k}") for k in (1, 2)]], "twice"),
        ([sent(0.0, category="store"), *[attempt(k, "began", worker=f"w{k}") for k in (0, 2)]], ""),
        ([sent(0.0, category="store"), *[attempt(k, "began", worker=f"w{k}") for k in (0, 1)]], "twice"),
        ([sent(0.0, category="store"), *[attempt(600.0 * k, "began") for k in (0, 1)]], "twice"),
        # Drains: counted from the time at which the list was written, plus the grace time and the tolerance.
        ([sent(0.0), listed(0.0, "leaving"), arrived(340.0), answered(900.0)], ""),
        ([sent(0.0), listed(0.0, "leaving"), arrived(360.0), answered(900.0)], "drains"),
        ([sent(0.0), listed(0.0, "leaving"), listed(9.0, "ready"), arrived(900.0)], ""),
        ([sent(0.0), listed(0.0, "leaving", to="n1"), arrived(900.0)], ""),
        # Drains: counted from when the dispatcher could receive the list; attempts over a faulty link are
        # not checked, as the time at which they were sent is unknown.
        ([listed(200.0, "leaving"), *STOPPED, sent(5100.0), arrived(5200.0)], ""),
        ([listed(200.0, "leaving"), *STOPPED, sent(5100.0), arrived(5400.0)], "drains"),
        ([listed(200.0, "leaving"), *DISCOVERY_CUT, sent(9e3), arrived(10.9e3)], ""),
        ([listed(200.0, "leaving"), *DISCOVERY_CUT, sent(9e3), arrived(11.5e3)], "drains"),
        ([listed(0.0, "left"), *KILLED, sent(800.0), arrived(900.0)], ""),
        ([listed(0.0, "left"), link_fault(1.0, True, "n0", "w0"), sent(1.0),
          link_fault(2e3, False, "n0", "w0"), arrived(2e3)], ""),
        # Cold: a warming server received more than four times its capacity within `fall_ms`.
        ([*TWO_SENT, arrived(1.0, 990.0, able=0.5), arrived(2.0, 990.0, able=0.5, wi="i1")], ""),
        ([*TWO_SENT, arrived(1.0, 1010.0, able=0.5), arrived(2.0, 1010.0, able=0.5, wi="i1")], "cold"),
        ([*TWO_SENT, arrived(1.0, 1010.0, able=0.5), arrived(1100.0, 1010.0, able=0.5, wi="i1")], ""),
        # Copies, which this scenario forbids: an attempt while another one is in flight.
        ([sent(0.0), arrived(1.0), arrived(2.0)], "copies"),
        ([sent(0.0), *[arrived(k, worker=f"w{k}") for k in (1, 2)]], "copies"),
        ([sent(0.0), arrived(1.0), attempt(2.0, "given up"),
          arrived(3.0, worker="w1")], ""),
        ([sent(0.0), attempt(1.0, "given up"), arrived(2.0), arrived(3.0, worker="w1")], ""),
        ([sent(0.0), attempt(1.0, "given up"), arrived(2.0), arrived(3.0), arrived(4.0)], "copies"),
        ([sent(0.0), arrived(1.0), attempt(2.0, "full"),
          arrived(3.0, worker="w1")], ""),
        ([sent(0.0), arrived(1.0), {"at": 2.0, "event": "worker", "name": "w0",
          "what": "falls silent"}, arrived(3.0, worker="w1")], ""),
    ],
)  # fmt: skip
def test_finds_violated_rules_in_a_record(tmp_path, events, rule):
    scenario = Scenario(
        second_copies=False,
        categories=(
            RequestClass("look"),
            RequestClass("store", effect="ticketed", group="cell", window_ms=500.0),
            RequestClass("pay", effect="exclusive"),
        ),
    )
    if rule != "lost" and not any([event["event"] == "answered" for event in events]):
        sent_events = [event for event in events if event["event"] == "sent"]
        events = [*events, *[answered(event["at"] + 900.0, wi=event["wi"]) for event in sent_events]]
    violations = check.find_violations(scenario, events)
    assert {text.partition(":")[0] for text in violations} == ({rule} if rule else set())
    # The record gives the same result after it was written and read.
    record = Record(lambda: 0.0)
    record.events = events
    record.write(str(tmp_path / "record"), "day.toml", 3)
    assert check.find_violations(scenario, read(str(tmp_path / "record"))) == violations


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (None, "cannot read"),
        ("", "expected a JSON document in each line"),
        ('{"record":2}\n', "line 1: expected the header of a record of version 1"),
        ('{"record":1}\n[]\n', "line 2: expected an event"),
        ('{"record":1}\n{"at":1,"event":"answered","wi":"i0","how":"200"}\n', "does not match the scenario"),
    ],
)
def test_rejects_invalid_record_in_one_line(tmp_path, capsys, text, expected):
    assert_file_refused(tmp_path, capsys, "--check", text, expected)


def test_record_is_limited(monkeypatch):
    monkeypatch.setattr("dunepulley.load.record.MAX_EVENTS", 2)
    record = Record(lambda: 5.0)
    for _ in range(4):
        record.add_event("sent")
    assert len(record.events) == 2 and record.dropped == 2
