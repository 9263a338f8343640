"""Traces that are read whole or not at all, what a dispatcher records, and a day played on sockets."""

import json

import pytest
from helpers import TAKEN, Town, member, members, on_loop, read_call, request, until

from dunepulley.__main__ import main
from dunepulley.load import play, trace
from dunepulley.model.day import Day, settings_of
from dunepulley.model.world import World
from dunepulley.net import config, recorder

HEAD = '{"trace":1,"dispatcher":"n0"}\n'


def item(at, **more):
    return json.dumps({"at": at, "category": "look", "budget": 900.0, "hint": 5.0, "size": 3} | more) + "\n"


@pytest.mark.parametrize(
    ("text", "word"),
    [
        (None, "cannot read"),
        ("", "it holds no item"),
        (HEAD, "it holds no item"),
        (item(0), "line 1 is no head"),
        (HEAD.replace("1", "2") + item(0), "line 1 is no head of a trace of version 1"),
        (HEAD + item(0) + item(1)[:-5], "line 3 is cut off"),
        (HEAD + item(0) + "nonsense\n", "line 3 is no JSON"),
        (HEAD + item(0) + "[]\n", "line 3 is no item"),
        (HEAD + item(0) + item(1, more=1), "line 3 is no item"),
        (HEAD + item(5) + item(4), "line 3 came before the line above it"),
        (HEAD + item(-1), "line 2: at is -1"),
        (HEAD + item(0, size=True), "line 2: size is True"),
        (HEAD + item(0, size=70000), "line 2: size is 70000"),
        (HEAD + item(0, category=""), "line 2: category is no name"),
        (HEAD + item(0, category="x" * 2000), "line 2 is too long"),
    ],
)
def test_a_bad_trace_is_refused_with_the_line_at_fault(tmp_path, capsys, text, word):
    path, day = tmp_path / "trace", tmp_path / "day.toml"
    day.write_text("seconds = 1.0\n")
    if text is not None:
        path.write_text(text)
    assert main(["load", str(day), "--trace", str(path)]) == 2
    said = capsys.readouterr().err
    assert word in said and said.count("\n") == 1


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ('[[trouble]]\nkind = "release"\nfrom_s = 1.0\nto_s = 2.0\n', "can be played in the model only"),
        ("seconds = 3000.0\n", "more than the 600 s"),
    ],
)
def test_what_cannot_be_played_is_told_before_anything_starts(tmp_path, capsys, text, word):
    day = tmp_path / "day.toml"
    day.write_text(text)
    assert main(["load", str(day)]) == 2 and word in capsys.readouterr().err


def test_a_trace_of_another_category_is_refused(tmp_path, capsys):
    path, day = tmp_path / "trace", tmp_path / "day.toml"
    day.write_text("seconds = 1.0\n")
    path.write_text(HEAD + item(0) + item(1, category="odd"))
    assert main(["load", str(day), "--trace", str(path)]) == 2
    assert "line 3: the day has no category odd" in capsys.readouterr().err


@on_loop
async def test_what_comes_in_is_recorded_up_to_a_bound(tmp_path):
    path = tmp_path / "trace"
    async with Town(lambda call: TAKEN) as town:
        town.clients.recorder = recorder.Recorder(str(path), 2, "n0")
        for number in range(3):
            reader, writer = await town.connect()
            writer.write(request("/look/1", b"abc", "X-Call-Cost: 5000", wi=f"i{number}"))
            await until(lambda wi=f"i{number}": wi in [c.headers["x-call-id"] for c in town.workers[0].seen])
            await town.event("w0", "done", f"i{number}", result="made")
            assert (await read_call(reader)).target == "200"
            writer.close()
        assert (await town.say(request("/odd/1", wi="odd"))).target == "404"
    came = trace.read(str(path))
    assert [(each.category, each.hint, each.size) for each in came] == [("look", 5.0, 3)] * 2
    assert came[0].at == 0.0 < came[1].at and came[0].budget == 3990.0
    # Nothing of an earlier trace is written over, and a disk that is full stops no work.
    again = recorder.Recorder(str(path), 5, "n0")
    again.came(1.0, "look", 1.0, 0.0, 1)
    again.close()
    assert len(trace.read(str(path))) == 2 and len(trace.read(f"{path}.1")) == 1
    full = recorder.Recorder(str(tmp_path / "full"), 5, "n0")
    full.file.close()
    full.file = open("/dev/full", "wb", buffering=0)
    for _ in range(3):
        full.came(1.0, "look", 1.0, 0.0, 1)
    assert full.file.closed


@pytest.mark.parametrize(
    "told", [5, {}, {"path": 1, "most": 2}, {"path": "x", "most": 0}, {"path": "x", "most": True}]
)
def test_an_odd_trace_setting_is_refused(told):
    with pytest.raises(ValueError, match="no path with the most items"):
        config.trace_of(told)
    assert config.trace_of(None) is None and config.trace_of({"path": "x", "most": 9**9})[1] == trace.MOST


def test_settings_go_through_a_dispatchers_file_as_they_are():
    day = Day(dispatchers=3)
    told = settings_of(day, 1)
    assert config.settings_of(json.loads(json.dumps(play.nested(told)))) == told
    start = play.told_of(day, 3, 1, {}, listen="127.0.0.1:1", discovery="127.0.0.1:2")
    assert start["name"] == "n1" and members(member("w0", "127.0.0.1:1"))


def test_a_day_on_sockets_is_that_of_the_model(tmp_path, capsys):
    text = """
seconds = 3.0
dispatchers = 2
workers = 4
load = 0.3
[[category]]
name = "look"
work_ms = 60.0
due_ms = 1500.0
[[trouble]]
kind = "slow"
from_s = 0.5
to_s = 1.5
part = 0.3
size = 3.0
[[trouble]]
kind = "late reports"
from_s = 0.5
to_s = 1.5
size = 500.0
"""
    path = tmp_path / "day.toml"
    path.write_text(text)
    assert main(["load", str(path), "--seeds", "3", "--json"]) == 0
    (told,) = json.loads(capsys.readouterr().out)
    foretold = World(play.days.read(str(path)), 3).run()
    assert told["items"] == foretold["items"] == sum(told["answers"].values()) > 100
    assert told["payoff"] > 0.9 and foretold["payoff"] > 0.95 and not told["broken"]
