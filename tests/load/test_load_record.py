"""What a record of a run says of the rules."""

import pytest
from support.load_command import assert_file_refused

from dunepulley.load import check
from dunepulley.load.record import Record, read
from dunepulley.model.scenario import RequestClass, Scenario


def asked(at, wi="i0", to="n0", category="look", budget=1000.0):
    return {"at": at, "event": "sent", "wi": wi, "to": to, "category": category, "budget": budget}


def happened(at, event, wi="i0", worker="w0", **more):
    return {"at": at, "event": event, "wi": wi, "worker": worker} | more


def arrived(at, work=100.0, **more):
    return happened(at, "arrived", work=work, **more)


def answered(at, how="200", wi="i0"):
    return {"at": at, "event": "answered", "wi": wi, "how": how}


def told(at, state, worker="w0", to="n0"):
    return {"at": at, "event": "listed", "to": to, "workers": {worker: state}}


def process(at, what, name="n0"):
    return {"at": at, "event": "process", "name": name, "what": what}


def struck(at, on, one, other, number=0):
    return {"at": at, "event": "fault", "kind": "cut", "on": on, "number": number, "pairs": [[one, other]]}


CUT_OFF = [struck(100.0, True, "clients", "n0"), struck(500.0, False, "clients", "n0")]
DEAF = [struck(100.0, True, "n0", "discovery"), struck(5000.0, False, "n0", "discovery")]
TWO = [asked(0.0), asked(0.0, wi="i1")]
KILLED = [process(100.0, "killed"), process(700.0, "ready")]
STOPPED = [process(100.0, "stopped"), process(5000.0, "goes on")]


@pytest.mark.parametrize(
    ("events", "rule"),
    [
        ([asked(0.0), answered(900.0)], ""),
        ([asked(0.0), answered(900.0, "500")], ""),
        ([asked(0.0), answered(1400.0)], ""),
        # Lost: never answered, too late, twice; whose connection nobody took is no loss.
        ([asked(0.0), answered(900.0, "no answer")], "lost"),
        ([asked(0.0)], "lost"),
        ([asked(0.0), answered(1600.0)], "lost"),
        ([asked(0.0), answered(10.0, "refused")], ""),
        # ... but not where a fault takes the answer away: while it is open, at its own dispatcher.
        ([asked(0.0), *CUT_OFF, answered(900.0, "no answer")], ""),
        ([asked(0.0), *CUT_OFF, answered(1600.0)], ""),
        ([asked(0.0), *KILLED, answered(900.0, "no answer")], ""),
        ([asked(0.0), *STOPPED, answered(5600.0)], ""),
        ([asked(0.0, to="n1"), *KILLED, answered(900.0, "no answer")], "lost"),
        ([*KILLED, asked(2000.0), answered(2900.0, "no answer")], "lost"),
        ([asked(0.0), process(100.0, "told to end"), answered(900.0, "no answer")], "lost"),
        # Twice: exclusive, ticketed in another group or after its window; rerunnable as often as it likes.
        ([asked(0.0), *[happened(k, "began", worker=f"w{k}") for k in (1, 2)], answered(9.0)], ""),
        ([asked(0.0, category="pay"), *[happened(k, "began", worker=f"w{k}") for k in (1, 2)]], "twice"),
        ([asked(0.0, category="store"), *[happened(k, "began", worker=f"w{k}") for k in (0, 2)]], ""),
        ([asked(0.0, category="store"), *[happened(k, "began", worker=f"w{k}") for k in (0, 1)]], "twice"),
        ([asked(0.0, category="store"), *[happened(600.0 * k, "began") for k in (0, 1)]], "twice"),
        # Drains: from the moment at which it was written, with the grace of the settings and of sockets.
        ([asked(0.0), told(0.0, "leaving"), arrived(340.0), answered(900.0)], ""),
        ([asked(0.0), told(0.0, "leaving"), arrived(360.0), answered(900.0)], "drains"),
        ([asked(0.0), told(0.0, "leaving"), told(9.0, "ready"), arrived(900.0)], ""),
        ([asked(0.0), told(0.0, "leaving", to="n1"), arrived(900.0)], ""),
        # ... or from when it could be heard; nobody sees when what a link held up was sent.
        ([told(200.0, "leaving"), *STOPPED, asked(5100.0), arrived(5200.0)], ""),
        ([told(200.0, "leaving"), *STOPPED, asked(5100.0), arrived(5400.0)], "drains"),
        ([told(200.0, "leaving"), *DEAF, asked(9e3), arrived(10.9e3)], ""),
        ([told(200.0, "leaving"), *DEAF, asked(9e3), arrived(11.5e3)], "drains"),
        ([told(0.0, "left"), *KILLED, asked(800.0), arrived(900.0)], ""),
        ([told(0.0, "left"), struck(1.0, True, "n0", "w0"), asked(1.0), struck(2e3, False, "n0", "w0"),
          arrived(2e3)], ""),
        # Cold: more than four times what it can do in the span that counts.
        ([*TWO, arrived(1.0, 990.0, able=0.5), arrived(2.0, 990.0, able=0.5, wi="i1")], ""),
        ([*TWO, arrived(1.0, 1010.0, able=0.5), arrived(2.0, 1010.0, able=0.5, wi="i1")], "cold"),
        ([*TWO, arrived(1.0, 1010.0, able=0.5), arrived(1100.0, 1010.0, able=0.5, wi="i1")], ""),
        # Copies, which this day forbids: beside one that has neither ended nor been given up.
        ([asked(0.0), arrived(1.0), arrived(2.0)], "copies"),
        ([asked(0.0), *[arrived(k, worker=f"w{k}") for k in (1, 2)]], "copies"),
        ([asked(0.0), arrived(1.0), happened(2.0, "given up"),
          arrived(3.0, worker="w1")], ""),
        ([asked(0.0), happened(1.0, "given up"), arrived(2.0), arrived(3.0, worker="w1")], ""),
        ([asked(0.0), happened(1.0, "given up"), arrived(2.0), arrived(3.0), arrived(4.0)], "copies"),
        ([asked(0.0), arrived(1.0), happened(2.0, "full"),
          arrived(3.0, worker="w1")], ""),
        ([asked(0.0), arrived(1.0), {"at": 2.0, "event": "worker", "name": "w0",
          "what": "falls silent"}, arrived(3.0, worker="w1")], ""),
    ],
)  # fmt: skip
def test_what_a_record_says_of_the_rules(tmp_path, events, rule):
    scenario = Scenario(
        second_copies=False,
        categories=(
            RequestClass("look"),
            RequestClass("store", effect="ticketed", group="cell", window_ms=500.0),
            RequestClass("pay", effect="exclusive"),
        ),
    )
    if rule != "lost" and not any([event["event"] == "answered" for event in events]):
        sent = [event for event in events if event["event"] == "sent"]
        events = [*events, *[answered(event["at"] + 900.0, wi=event["wi"]) for event in sent]]
    broken = check.broken_in(scenario, events)
    assert {text.partition(":")[0] for text in broken} == ({rule} if rule else set())
    # Read from a file it says the same.
    record = Record(lambda: 0.0)
    record.events = events
    record.write(str(tmp_path / "record"), "day.toml", 3)
    assert check.broken_in(scenario, read(str(tmp_path / "record"))) == broken


@pytest.mark.parametrize(
    ("text", "word"),
    [
        (None, "cannot read"),
        ("", "a line is no JSON"),
        ('{"record":2}\n', "no head of a record of version 1"),
        ('{"record":1}\n[]\n', "line 2 is no event"),
        ('{"record":1}\n{"at":1,"event":"answered","wi":"i0","how":"200"}\n', "of another day"),
    ],
)
def test_a_bad_record_is_refused_with_one_line(tmp_path, capsys, text, word):
    assert_file_refused(tmp_path, capsys, "--check", text, word)


def test_a_record_is_bounded(monkeypatch):
    monkeypatch.setattr("dunepulley.load.record.MOST", 2)
    record = Record(lambda: 5.0)
    for _ in range(4):
        record.note("sent")
    assert len(record.events) == 2 and record.left_out == 2
