"""Traces and arguments that are read complete or not at all, and what a dispatcher records."""

import json

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.http_messages import ACCEPTED, read_message, request
from support.load_command import assert_file_refused

from dunepulley import trace_format
from dunepulley.__main__ import main
from dunepulley.load import runner
from dunepulley.model.scenario import Scenario, settings_of
from dunepulley.net import config, recorder
from dunepulley.net.settings_document import flatten_settings

MANY = "dispatchers = 50\nworkers = 50\n"
HEAD = '{"trace":1,"dispatcher":"n0"}\n'


def fault(kind, from_s=0.0, to_s=1.0, one="n0", other="w0", **more):
    figures = {"kind": kind, "from_s": from_s, "to_s": to_s, "one": one, "other": other} | more
    lines = [f"{name} = {json.dumps(value)}" for name, value in figures.items()]
    return "\n".join(["[[fault]]", *lines, ""])


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
    assert_file_refused(tmp_path, capsys, "--trace", text, word)


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("seconds = 3000.0\n", "more than the 600 s"),
        (fault("cut", to_s=900.0), "900 s are more than the 600 s"),
        (fault("fly"), "fault 'fly' is none of"),
        (fault("cut", from_s=3.0), "its times or its part"),
        (fault("cut", part=0.0), "its times or its part"),
        (fault("cut", other=""), "links have an other end"),
        (fault("kill"), "links have an other end"),
        (fault("cut", way="up"), "way is 'up'"),
        (fault("lossy", size=2.0), "its size is a part"),
        (fault("cut", one="n9"), "names 'n9', which nobody"),
        (fault("cut", other="workers@z7"), "names 'workers@z7', which nobody"),
        (fault("cut", one="clients"), "nothing goes between clients and w0"),
        (fault("cut", one="agents"), "names 'agents', which nobody"),
        (fault("stop", one="workers", other=""), "w0 is none of dispatchers and agents"),
        (fault("clock", one="dispatchers", other=""), "n0 is none of the clocks of workers"),
        (MANY + fault("cut", one="dispatchers", other="workers"), "5000 links, more than 2000"),
        ('dispatchers = 1\nway = "common"\n', "each zone's agent needs a dispatcher"),
    ],
)
def test_what_cannot_be_played_is_told_before_anything_starts(tmp_path, capsys, text, word):
    scenario = tmp_path / "day.toml"
    scenario.write_text(text)
    assert main(["load", str(scenario)]) == 2
    said = capsys.readouterr().err
    assert word in said and said.count("\n") == 1


@pytest.mark.parametrize("words", [["--check", "nowhere"], ["--seeds", "1-2", "--record", "x"]])
def test_words_that_make_no_sense_together_are_refused(tmp_path, capsys, words):
    scenario = tmp_path / "day.toml"
    scenario.write_text("seconds = 1.0\n")
    assert main(["load", str(scenario), *words]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_the_model_plays_no_faults(tmp_path, capsys):
    scenario = tmp_path / "day.toml"
    scenario.write_text(fault("cut"))
    assert main(["model", str(scenario)]) == 2
    assert "fault cut can be played on sockets only" in capsys.readouterr().err


def test_a_trace_of_another_category_is_refused(tmp_path, capsys):
    path, scenario = tmp_path / "trace", tmp_path / "day.toml"
    scenario.write_text("seconds = 1.0\n")
    path.write_text(HEAD + item(0) + item(1, category="odd"))
    assert main(["load", str(scenario), "--trace", str(path)]) == 2
    assert "line 3: the day has no category odd" in capsys.readouterr().err


@on_loop
async def test_what_comes_in_is_recorded_up_to_a_bound(tmp_path):
    path = tmp_path / "trace"
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        rig.frontend.recorder = recorder.Recorder(str(path), 2, "n0")
        for number in range(3):
            reader, writer = await rig.connect()
            writer.write(request("/look/1", b"abc", "X-Call-Cost: 5000", wi=f"i{number}"))
            await until(lambda wi=f"i{number}": wi in [c.headers["x-call-id"] for c in rig.endpoints[0].seen])
            await rig.callback("w0", "done", f"i{number}", result="made")
            assert (await read_message(reader)).target == "200"
            writer.close()
        assert (await rig.exchange(request("/odd/1", wi="odd"))).target == "404"
    came = trace_format.read_trace(str(path))
    assert [(each.category, each.hint, each.size) for each in came] == [("look", 5.0, 3)] * 2
    assert came[0].at == 0.0 < came[1].at and came[0].budget == 3990.0
    # Nothing of an earlier trace is written over, and a disk that is full stops no work.
    again = recorder.Recorder(str(path), 5, "n0")
    again.record_request(1.0, "look", 1.0, 0.0, 1)
    again.close()
    assert len(trace_format.read_trace(str(path))) == 2 and len(trace_format.read_trace(f"{path}.1")) == 1
    full = recorder.Recorder(str(tmp_path / "full"), 5, "n0")
    full.file.close()
    full.file = open("/dev/full", "wb", buffering=0)
    for _ in range(3):
        full.record_request(1.0, "look", 1.0, 0.0, 1)
    assert full.file.closed


@pytest.mark.parametrize(
    "told", [5, {}, {"path": 1, "most": 2}, {"path": "x", "most": 0}, {"path": "x", "most": True}]
)
def test_an_odd_trace_setting_is_refused(told):
    with pytest.raises(ValueError, match="no path with the most items"):
        config.parse_trace(told)
    assert (
        config.parse_trace(None) is None
        and config.parse_trace({"path": "x", "most": 9**9})[1] == trace_format.MAX_REQUESTS
    )


def test_settings_go_through_a_dispatchers_file_as_they_are():
    scenario = Scenario(dispatchers=3)
    told = settings_of(scenario, 1)
    assert flatten_settings(json.loads(json.dumps(runner.nested(told)))) == told
    start = runner.told_of(scenario, 3, 1, {}, listen="127.0.0.1:1", discovery="127.0.0.1:2")
    assert start["name"] == "n1" and members(member("w0", "127.0.0.1:1"))
