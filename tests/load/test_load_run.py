"""Runs of the load tool with real processes, with and without faults."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import pytest
from support.event_loop import on_loop, until

from dunepulley.__main__ import main
from dunepulley.load import runner
from dunepulley.load.record import read
from dunepulley.model.simulation import Simulation

FAULTS = """
seconds = 6.0
dispatchers = 3
workers = 6
load = 0.2
list_delay_ms = 200.0
cold_s = 3.0
[[category]]
name = "look"
work_ms = 40.0
due_ms = 1500.0
expiry_ms = 2500.0
[[trouble]]
kind = "release"
from_s = 0.5
to_s = 1.5
part = 0.34
[[trouble]]
kind = "crash"
from_s = 2.0
to_s = 2.0
part = 0.1
size = 1.0
[[trouble]]
kind = "late list"
from_s = 1.0
to_s = 3.0
size = 300.0
[[trouble]]
kind = "zone"
from_s = 4.0
to_s = 5.0
size = 1.0
[[fault]]
kind = "kill"
from_s = 0.6
to_s = 1.4
one = "n0"
[[fault]]
kind = "end"
from_s = 1.6
to_s = 1.6
one = "n1"
[[fault]]
kind = "stop"
from_s = 3.0
to_s = 3.6
one = "n2"
[[fault]]
kind = "cut"
from_s = 1.0
to_s = 2.0
one = "n2"
other = "workers@z0"
way = "back"
[[fault]]
kind = "reset"
from_s = 2.5
to_s = 2.5
one = "dispatchers"
other = "discovery"
[[fault]]
kind = "slow"
from_s = 2.6
to_s = 3.6
one = "clients"
other = "n0"
size = 50.0
[[fault]]
kind = "clock"
from_s = 0.0
to_s = 6.0
one = "workers"
size = 300.0
"""


def test_run_with_faults_keeps_the_rules_and_is_recorded(tmp_path, capsys, caplog):
    # The scenario has all disturbances of servers and lists, and one dispatcher each is killed, restarted and
    # stopped.
    path, record = tmp_path / "day.toml", tmp_path / "record"
    path.write_text(FAULTS)
    code = main(["load", str(path), "--seeds", "3", "--json", "--record", str(record)])
    (run,) = json.loads(capsys.readouterr().out)
    assert code == 0 and not run["broken"] and run["answers"]["200"] > 100
    assert not caplog.records  # asyncio logs tasks whose exceptions were never retrieved
    events = read(str(record))
    assert [event["at"] for event in events] == sorted([event["at"] for event in events])
    seen = {(event["event"], event.get("what", event.get("kind"))) for event in events}
    assert seen >= {("fault", kind) for kind in ("kill", "end", "stop", "cut", "reset", "slow", "clock")}
    assert seen >= {("worker", what) for what in Simulation.SERVER_CHANGES}
    assert seen >= {("process", what) for what in ("killed", "told to end", "ended", "stopped", "goes on")}
    assert not [event for event in events if event["event"] == "fault of the tool"]
    # The dispatchers that ended serve again, and the terminated one exited with code 0.
    ready = [event["name"] for event in events if event.get("what") == "ready"]
    assert sorted(ready) == ["n0", "n0", "n1", "n1", "n2"]
    assert [event["code"] for event in events if event.get("what") == "ended"] == [0]
    assert main(["load", str(path), "--check", str(record)]) == 0


AGENT_FAULTS = """
seconds = 11.0
dispatchers = 3
workers = 6
zones = 3
regions = 2
load = 0.15
way = "common"
cold_s = 3.0
[[category]]
name = "look"
work_ms = 40.0
due_ms = 1500.0
expiry_ms = 2500.0
[[trouble]]
kind = "zone"
from_s = 3.0
to_s = 10.0
size = 1.0
[[fault]]
kind = "cut"
from_s = 0.5
to_s = 7.0
one = "hz0"
other = "hz2"
way = "there"
[[fault]]
kind = "kill"
from_s = 1.0
to_s = 2.0
one = "hz1"
"""


def test_evacuates_zone_while_one_agent_is_down_and_two_are_disconnected(tmp_path, capsys):
    # The agents still agree on a plan, and all attempts after that go to the remaining zones.
    path, record = tmp_path / "day.toml", tmp_path / "record"
    path.write_text(AGENT_FAULTS)
    assert main(["load", str(path), "--seeds", "2", "--json", "--record", str(record)]) == 0
    (run,) = json.loads(capsys.readouterr().out)
    events = read(str(record))
    begin = next(event["at"] for event in events if event["event"] == "clients begin")
    assert not run["broken"] and run["answers"]["200"] > 100
    assert [event["name"] for event in events if event.get("what") == "killed"] == ["hz1"]
    # The zone is lost 3 s after the clients start and must be evacuated within 6 s; dispatchers try it again
    # 5 s later.
    unanswered = [event["at"] - begin for event in events if event["event"] == "unheard" and event["wi"]]
    assert len(unanswered) > 5 and max(unanswered) < 9000.0


def children_of(process):
    """Return the ids of a process's children."""
    found = Path(f"/proc/{process}/task/{process}/children").read_text().split()
    return [int(child) for child in found]


def is_running(process):
    """Return whether a process still runs; a zombie does not."""
    try:
        return Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except FileNotFoundError:
        return False


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGKILL])
@on_loop
async def test_leaves_no_process_behind_however_the_tool_ends(tmp_path, number):
    scenario = tmp_path / "day.toml"
    scenario.write_text("seconds = 60.0\ndispatchers = 2\nload = 0.05\n")
    command = [sys.executable, "-m", "dunepulley", "load", str(scenario)]
    pipe, environment = asyncio.subprocess.PIPE, os.environ | {"TMPDIR": str(tmp_path)}
    tool = await asyncio.create_subprocess_exec(*command, stderr=pipe, env=environment)
    await until(lambda: len(children_of(tool.pid)) == 2)
    children = children_of(tool.pid)
    tool.send_signal(number)
    error_output = (await tool.stderr.read()).decode()
    await tool.wait()
    await until(lambda: not any([is_running(child) for child in children]))
    if number != signal.SIGKILL:
        assert (
            tool.returncode == 2
            and error_output == "dunepulley: interrupted; all processes that were started have ended\n"
        )
        assert list(tmp_path.iterdir()) == [scenario]


def test_load_tool_runs_the_same_scenario_as_the_simulation(tmp_path, capsys):
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
    (measured,) = json.loads(capsys.readouterr().out)
    simulated = Simulation(runner.scenarios.read(str(path)), 3).run()
    assert measured["items"] == simulated["items"] == sum(measured["answers"].values()) > 100
    assert measured["payoff"] > 0.9 and simulated["payoff"] > 0.95 and not measured["broken"]
