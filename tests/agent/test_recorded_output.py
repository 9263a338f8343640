"""Replies of agents and output of `ctl` equal the recorded ones of an earlier version (tests/data/agent)."""

import argparse
import asyncio
import contextlib
import json
import pathlib
import time

import pytest
from support.event_loop import on_loop, until
from support.stepped_time import UNIX, SteppedTime

from dunepulley import VERSION
from dunepulley.agent import agent, config, ctl
from dunepulley.agent.ctl import arguments, calls, rendering
from dunepulley.load.ports import free_port

DATA = pathlib.Path(__file__).parents[1] / "data" / "agent"
REPLIES = json.loads((DATA / "replies.json").read_text())
CTL = json.loads((DATA / "ctl.json").read_text())
RECORDED_VERSION = "0.2.0"


# ---------------------------------------------------------------- an agent


class ScriptedDispatcher:
    """The admin interface of a dispatcher with two endpoints, one of each kind."""

    def __init__(self):
        self.drains = [0.0, 0]
        self.leaving = ""

    async def call(self, reader, writer):
        command, _, argument = (await reader.readline()).decode().strip().partition(" ")
        writer.write(getattr(self, f"_{command.lower()}")(argument).encode())
        writer.close()

    def _who(self, _):
        answer = {"name": "n0", "pid": 4711, "version": "9.9", "leaving": self.leaving, "drains": self.drains}
        return f"200 {json.dumps(answer)}\n"

    def _drains(self, argument):
        drain_set = json.loads(argument)
        self.drains = [drain_set["epoch"], drain_set["revision"]]
        return "200 revision in hand\n"

    def _workers(self, _):
        lines = [json.dumps({"needs": {"look": "", "pay": "big"}})]
        for name, kind in (("w0", "small"), ("w1", "big")):
            answer = {"id": name, "zone": "here", "kind": kind, "listed": "ready", "state": "ready"}
            lines.append(json.dumps(answer | {"slots": 2.0, "out": 1, "drains": []}))
        return "\n".join([f"200 {lines[0]}", *lines[1:], "EOF", ""])

    def _dump(self, _):
        return "200 figures\na.current:3|g\na.cluster_size:2|g\na.cluster_unhealthy:0|g\nEOF\n"

    def _leave(self, _):
        if self.leaving:
            return "400 it is leaving already\n"
        self.leaving = "drained"
        return "200 leaves\n"

    def _join(self, _):
        self.leaving = ""
        return "200 takes clients\n"


@contextlib.asynccontextmanager
async def recorded_agent(folder):
    """An agent like the recorded one, and the placeholders of its addresses in the recording."""
    server = await asyncio.start_server(ScriptedDispatcher().call, "127.0.0.1", 0)
    dispatcher_address, unused_port = f"127.0.0.1:{server.sockets[0].getsockname()[1]}", free_port()
    lines = [f'listen = "127.0.0.1:{unused_port}"', 'state = "drains.json"', "answer_s = 0.3"]
    for name, address in (("n0", dispatcher_address), ("n1", f"127.0.0.1:{unused_port}")):
        lines += ["[[dispatcher]]", f'name = "{name}"', f'console = "{address}"']
    (folder / "agent.toml").write_text("\n".join(lines) + "\n")
    settings = config.read(str(folder / "agent.toml"))._replace(listen=("127.0.0.1", 0))
    running = agent.Agent(settings, clock=SteppedTime().clock())
    await running.start()
    try:
        yield (
            running,
            {dispatcher_address: "GOOD", str(unused_port): "PORT", f'"{VERSION}"': f'"{RECORDED_VERSION}"'},
        )
    finally:
        await running.close()
        server.close()


async def reply_to(port, line):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(line)
    reply = await reader.read()
    writer.close()
    return reply.decode()


@on_loop
async def test_replies_of_an_agent_equal_the_recorded_ones(tmp_path):
    *requests, drains_file = REPLIES
    assert len(requests) > 40
    async with recorded_agent(tmp_path) as (host_agent, placeholders):
        first, second = host_agent.dispatchers.values()
        await until(lambda: first.process and "not polled" not in second.last_error)
        for recorded in requests:
            # The dispatcher that answers has the drains of the previous command.
            await until(lambda: first.process and first.has_drains(host_agent.drains))
            reply = await reply_to(host_agent.port, recorded["request"].encode())
            for value, placeholder in placeholders.items():
                reply = reply.replace(value, placeholder)
            assert reply == recorded["reply"], recorded["request"]
        assert (tmp_path / "drains.json").read_text() == drains_file["reply"]


# ---------------------------------------------------------------- ctl


@pytest.fixture
def recorded_time(monkeypatch):
    """The time and the time zone of the recording."""
    monkeypatch.setenv("TZ", "UTC")
    time.tzset()
    monkeypatch.setattr(time, "time", lambda: UNIX / 1000.0)
    yield
    monkeypatch.undo()
    time.tzset()


@pytest.mark.parametrize("recorded", CTL["commands"], ids=lambda recorded: " ".join(recorded["argv"]))
def test_command_line_builds_the_recorded_request(monkeypatch, capsys, recorded):
    monkeypatch.setenv("SUDO_USER", "root")
    parser = argparse.ArgumentParser(prog="dunepulley")
    ctl.add_to(parser)
    if "exit" in recorded:
        with pytest.raises(SystemExit) as raised:
            parser.parse_args(recorded["argv"])
        assert raised.value.code == recorded["exit"] and capsys.readouterr().err
        return
    request = arguments.build_request(parser.parse_args(recorded["argv"]))
    assert json.dumps(request) == json.dumps(recorded["request"])


def test_answers_are_rendered_as_recorded(recorded_time):
    assert len(CTL["replies"]) > 50
    for recorded in CTL["replies"]:
        answer = calls.AgentAnswer(recorded["reply"])
        assert rendering.render_lines(recorded["do"], answer) == recorded["lines"], recorded
        assert ctl.exit_code_of({"it": answer}) == recorded["code"], recorded


def test_answers_of_several_agents_are_printed_under_their_addresses(monkeypatch, capsys, recorded_time):
    answers = {
        "127.0.0.1:1": {"ok": True, "dispatchers": [{"name": "n0", "state": "done"}], "now": UNIX},
        "127.0.0.1:2": {"ok": False, "unreached": "no agent at 127.0.0.1:2"},
    }

    async def ask_all(agents, request):
        return {address: calls.AgentAnswer(answers[address]) for address in agents}

    monkeypatch.setattr(ctl, "ask_all", ask_all)
    parser = argparse.ArgumentParser()
    ctl.add_to(parser)
    options = [f"--agent={address}" for address in answers]
    assert ctl.run(parser.parse_args([*options, "leave", "n0"])) == ctl.ExitCode.UNREACHED
    printed = capsys.readouterr()
    assert printed.out == "127.0.0.1:1:\n  1 done\n"
    assert printed.err == "127.0.0.1:2:\n  no agent at 127.0.0.1:2\n"
    assert ctl.run(parser.parse_args([*options, "--json", "leave", "n0"])) == ctl.ExitCode.UNREACHED
    printed = capsys.readouterr().out
    assert json.loads(printed) == {"code": 4, "agents": answers}
    assert printed.startswith('{\n  "code": 4,\n  "agents": {\n    "127.0.0.1:1": {\n      "ok": true,\n')
