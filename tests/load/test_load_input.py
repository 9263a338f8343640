"""Validation of traces, scenarios and arguments of the load tool, and recording of traces by dispatchers."""

import json

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.http_messages import ACCEPTED, read_message, request
from support.load_command import assert_file_refused

from dunepulley import trace_format
from dunepulley.__main__ import main
from dunepulley.load import configurations
from dunepulley.model.scenario import Scenario, router_settings
from dunepulley.net import config, recorder
from dunepulley.net.settings_document import flatten_settings

MANY_PROCESSES = "dispatchers = 50\nworkers = 50\n"
HEADER = '{"trace":1,"dispatcher":"n0"}\n'


def fault(kind, from_s=0.0, to_s=1.0, one="n0", other="w0", **extra):
    fields = {"kind": kind, "from_s": from_s, "to_s": to_s, "one": one, "other": other} | extra
    lines = [f"{name} = {json.dumps(value)}" for name, value in fields.items()]
    return "\n".join(["[[fault]]", *lines, ""])


def request_line(at, **extra):
    return json.dumps({"at": at, "category": "look", "budget": 900.0, "hint": 5.0, "size": 3} | extra) + "\n"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (None, "cannot read"),
        ("", "expected at least one request"),
        (HEADER, "expected at least one request"),
        (request_line(0), "line 1: expected the header"),
        (HEADER.replace("1", "2") + request_line(0), "line 1: expected the header of a trace of version 1"),
        (HEADER + request_line(0) + request_line(1)[:-5], "line 3 is cut off"),
        (HEADER + request_line(0) + "nonsense\n", "line 3: expected a JSON document"),
        (HEADER + request_line(0) + "[]\n", "line 3: expected a request"),
        (HEADER + request_line(0) + request_line(1, more=1), "line 3: expected a request"),
        (HEADER + request_line(5) + request_line(4), "line 3: at is earlier than in the line before"),
        (HEADER + request_line(-1), "line 2: at: expected a number in range, got -1"),
        (HEADER + request_line(0, size=True), "line 2: size: expected a number in range, got True"),
        (HEADER + request_line(0, size=70000), "line 2: size: expected a number in range, got 70000"),
        (HEADER + request_line(0, category=""), "line 2: category: expected a non-empty short name"),
        (HEADER + request_line(0, category="x" * 2000), "line 2 is too long"),
    ],
)
def test_rejects_invalid_trace_with_the_line_at_fault(tmp_path, capsys, text, expected):
    assert_file_refused(tmp_path, capsys, "--trace", text, expected)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("seconds = 3000.0\n", "more than the 600 s"),
        (fault("cut", to_s=900.0), "900 s are more than the 600 s"),
        (fault("fly"), "fault 'fly' is unknown, expected cut, slow"),
        (fault("cut", from_s=3.0), "expected 0 <= from_s <= to_s and 0 < part <= 1"),
        (fault("cut", part=0.0), "expected 0 <= from_s <= to_s and 0 < part <= 1"),
        (fault("cut", other=""), "other is required for faults of links"),
        (fault("kill"), "other is required for faults of links"),
        (fault("cut", way="up"), "way is 'up'"),
        (fault("lossy", size=2.0), "size: expected a fraction from 0 to 1"),
        (fault("cut", one="n9"), "'n9' is not a known process or group"),
        (fault("cut", other="workers@z7"), "'workers@z7' is not a known process or group"),
        (fault("cut", one="clients"), "there is no link between clients and w0"),
        (fault("cut", one="agents"), "'agents' is not a known process or group"),
        (fault("stop", one="workers", other=""), "w0 is invalid, expected dispatchers or agents"),
        (fault("clock", one="dispatchers", other=""), "n0 is invalid, expected workers"),
        (MANY_PROCESSES + fault("cut", one="dispatchers", other="workers"), "5000 links, more than 2000"),
        (
            'dispatchers = 1\nway = "common"\n',
            "dispatchers: expected at least one for the agent of each zone",
        ),
    ],
)
def test_rejects_invalid_scenario_before_starting_processes(tmp_path, capsys, text, expected):
    scenario = tmp_path / "day.toml"
    scenario.write_text(text)
    assert main(["load", str(scenario)]) == 2
    error = capsys.readouterr().err
    assert expected in error and error.count("\n") == 1


@pytest.mark.parametrize("arguments", [["--check", "nowhere"], ["--seeds", "1-2", "--record", "x"]])
def test_rejects_invalid_arguments(tmp_path, capsys, arguments):
    scenario = tmp_path / "day.toml"
    scenario.write_text("seconds = 1.0\n")
    assert main(["load", str(scenario), *arguments]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_simulation_rejects_faults(tmp_path, capsys):
    scenario = tmp_path / "day.toml"
    scenario.write_text(fault("cut"))
    assert main(["model", str(scenario)]) == 2
    assert "fault cut is supported by the load command only" in capsys.readouterr().err


def test_rejects_trace_with_an_unknown_request_class(tmp_path, capsys):
    path, scenario = tmp_path / "trace", tmp_path / "day.toml"
    scenario.write_text("seconds = 1.0\n")
    path.write_text(HEADER + request_line(0) + request_line(1, category="odd"))
    assert main(["load", str(scenario), "--trace", str(path)]) == 2
    assert "line 3: the scenario has no category odd" in capsys.readouterr().err


@on_loop
async def test_recorder_writes_requests_up_to_its_limit(tmp_path):
    path = tmp_path / "trace"
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        rig.frontend.recorder = recorder.Recorder(str(path), 2, "n0")
        for number in range(3):
            reader, writer = await rig.connect()
            writer.write(request("/look/1", b"abc", "X-Call-Cost: 5000", request_id=f"i{number}"))
            await until(
                lambda request_id=f"i{number}": (
                    request_id in [c.headers["x-call-id"] for c in rig.endpoints[0].seen]
                )
            )
            await rig.callback("w0", "done", f"i{number}", result="made")
            assert (await read_message(reader)).target == "200"
            writer.close()
        assert (await rig.exchange(request("/odd/1", request_id="odd"))).target == "404"
    requests = trace_format.read_trace(str(path))
    assert [(each.category, each.hint, each.size) for each in requests] == [("look", 5.0, 3)] * 2
    assert requests[0].at == 0.0 < requests[1].at and requests[0].budget == 3990.0
    # An existing trace is not overwritten, and a full disk does not stop the dispatcher.
    recorder_with_existing_file = recorder.Recorder(str(path), 5, "n0")
    recorder_with_existing_file.record_request(1.0, "look", 1.0, 0.0, 1)
    recorder_with_existing_file.close()
    assert len(trace_format.read_trace(str(path))) == 2 and len(trace_format.read_trace(f"{path}.1")) == 1
    full = recorder.Recorder(str(tmp_path / "full"), 5, "n0")
    full.file.close()
    full.file = open("/dev/full", "wb", buffering=0)
    for _ in range(3):
        full.record_request(1.0, "look", 1.0, 0.0, 1)
    assert full.file.closed


@pytest.mark.parametrize(
    "settings", [5, {}, {"path": 1, "most": 2}, {"path": "x", "most": 0}, {"path": "x", "most": True}]
)
def test_rejects_invalid_trace_setting(settings):
    with pytest.raises(ValueError, match="trace: expected an object with path and most .*from 1 on.*, got "):
        config.parse_trace(settings)
    assert (
        config.parse_trace(None) is None
        and config.parse_trace({"path": "x", "most": 9**9})[1] == trace_format.MAX_REQUESTS
    )


def test_settings_survive_the_round_trip_through_a_configuration_file():
    scenario = Scenario(dispatchers=3)
    settings = router_settings(scenario, 1)
    assert flatten_settings(json.loads(json.dumps(configurations.nest_settings(settings)))) == settings
    start = configurations.dispatcher_configuration(
        scenario, 3, 1, {}, listen="127.0.0.1:1", discovery="127.0.0.1:2"
    )
    assert start["name"] == "n1" and members(member("w0", "127.0.0.1:1"))
