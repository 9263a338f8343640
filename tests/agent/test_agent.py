"""The agent of a host and `ctl`: durable drains, hanging dispatchers, conflicting operators, and restarts."""

import asyncio
import contextlib
import json
import os
import signal
import socket

import pytest
from support.dispatcher_process import DispatcherHost, DispatcherProcess
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.http_messages import ACCEPTED, read_message
from support.router_rig import SETTINGS

from dunepulley.__main__ import main
from dunepulley.agent import admin_call, agent, config, ctl, drain_file, wire
from dunepulley.agent.ctl import calls, rendering
from dunepulley.clocks import Clock
from dunepulley.control import drains
from dunepulley.load.ports import free_port

NOW = 1_000_000.0


def accept_request(call):
    return ACCEPTED


def write_config(folder, dispatchers, **extra_settings):
    """Write an agent's configuration; returns its path."""
    path = folder / "agent.toml"
    settings = {
        "listen": f"127.0.0.1:{free_port()}",
        "state": "drains.json",
        "answer_s": 0.3,
    } | extra_settings
    lines = [f"{name} = {json.dumps(value)}" for name, value in settings.items()]
    for name, admin_addresses in dispatchers.items():
        lines += ["[[dispatcher]]", f'name = "{name}"']
        fields = admin_addresses if isinstance(admin_addresses, dict) else {"console": admin_addresses}
        lines += [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
    path.write_text("\n".join(lines) + "\n")
    return path


def admin_address_of(rig):
    return f"127.0.0.1:{rig.service.admin_port}"


@contextlib.asynccontextmanager
async def running_agent(folder, **dispatchers):
    """A running agent that supervises dispatchers, each given by its admin address or its settings."""
    running = agent.Agent(config.read(str(write_config(folder, dispatchers))))
    await running.start()
    try:
        yield running
    finally:
        await running.close()


async def run_ctl(capsys, agents_to_ask, *arguments):
    """Run a command of `ctl` with one agent or a list of agents; returns the exit code and the output."""
    capsys.readouterr()
    agents = [
        f"--agent=127.0.0.1:{running.port}"
        for running in (agents_to_ask if isinstance(agents_to_ask, list) else [agents_to_ask])
    ]
    code = await asyncio.to_thread(main, ["ctl", *agents, *arguments])
    output = capsys.readouterr()
    return code, output.out + output.err


# ---------------------------------------------------------------- invalid input


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (None, "cannot read"),
        ("listen = ", "is not valid TOML"),
        (
            'state = "x"\n[[dispatcher]]\nname = "n"\nconsole = "127.0.0.1:1"',
            "expected an address host:port, got None",
        ),
        ('listen = "127.0.0.1:1"\nstate = "x"', "expected at least one [[dispatcher]]"),
        ('listen = "127.0.0.1:1"\nstate = 5\n[[dispatcher]]\nname = "n"', "state: expected a path, got 5"),
        (
            'listen = "127.0.0.1:1"\nstate = "x"\nport = 5\n[[dispatcher]]\nname = "n"',
            "the file: unknown key port",
        ),
        (
            'listen = "127.0.0.1:1"\nstate = "x"\nanswer_s = 0\n[[dispatcher]]\nname = "n"',
            "answer_s: expected a time above 0 and up to 60 s, got 0",
        ),
        (
            'listen = "127.0.0.1:1"\nstate = "x"\n[[dispatcher]]\nname = "n"\nconsole = "here"',
            "expected an address host:port, got 'here'",
        ),
        (
            'listen = "127.0.0.1:1"\nstate = "x"\n[[dispatcher]]\nname = ""',
            "dispatcher: name: expected 1 to 64 printable characters, got ''",
        ),
        (
            'listen = "127.0.0.1:1"\nstate = "x"\n[[dispatcher]]\nname = "n"\nconsole = "127.0.0.1:2"\n'
            '[[dispatcher]]\nname = "m"\nconsole = "127.0.0.1:2"',
            "127.0.0.1:2 is listed twice",
        ),
        (
            'listen = "127.0.0.1:1"\nstate = "x"\n[[dispatcher]]\nname = "n"\n'
            'console = ["127.0.0.1:2", "127.0.0.1:3"]',
            "only together with start",
        ),
    ],
)
def test_invalid_configuration_is_reported_in_one_line(tmp_path, capsys, text, message):
    path = tmp_path / "agent.toml"
    if text is not None:
        path.write_text(text)
    assert main(["agent", "--config", str(path)]) == 2
    error = capsys.readouterr().err
    assert message in error and error.count("\n") == 1 and error.startswith("dunepulley: ")


@pytest.mark.parametrize("text", ["{", "[]", '{"epoch": "x"}', '{"epoch":1,"revision":1,"drains":[{}]}'])
def test_unreadable_drains_file_is_not_overwritten(tmp_path, capsys, text):
    path = write_config(tmp_path, {"n0": "127.0.0.1:1"})
    (tmp_path / "drains.json").write_text(text)
    assert main(["agent", "--config", str(path)]) == 2
    assert "cannot use" in capsys.readouterr().err and (tmp_path / "drains.json").read_text() == text


def test_partly_written_change_of_the_drains_is_ignored(tmp_path):
    path = str(tmp_path / "drains.json")
    drain_set = drains.set_drain(
        drains.DrainSet(5.0), drains.Drain("zone", "a", "ana", "", 0.0, drains.INFINITY, 0), NOW
    )
    drain_file.save(path, drain_set)
    # Guards against a crash after any number of bytes of the next file.
    content = (tmp_path / "drains.json").read_bytes()
    for length in range(0, len(content), 7):
        (tmp_path / "drains.json.new").write_bytes(content[:length])
        assert drain_file.load(path, NOW) == drain_set
    with pytest.raises(drain_file.DrainFileError, match="cannot write"):
        drain_file.save(str(tmp_path / "nowhere" / "x"), drain_set)


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["drain", "--zone", "a", "--kind", "b"], 2),
        (["drain"], 2),
        (["drain", "--zone", "a", "--for", "soon"], 2),
        (["drain", "--zone", "a", "--for", "0h"], 2),
        (["restart"], 2),
        (["fly"], 2),
        (["--agent", "nowhere", "list"], 2),
        (["list"], 4),
    ],
)
def test_invalid_ctl_arguments_and_unreachable_agent(capsys, monkeypatch, arguments, code):
    monkeypatch.setenv("DUNEPULLEY_AGENTS", f"127.0.0.1:{free_port()}")
    try:
        assert main(["ctl", *arguments]) == code
    except SystemExit as exit_:  # by argparse
        assert exit_.code == code
    assert capsys.readouterr().err


@pytest.mark.parametrize(
    ("answer", "message"),
    [
        (b"HTTP/1.1 400 Bad Request\r\n\r\n", "sent no JSON"),
        (b'{"v":3}\n', "speaks version 3 of the wire, this is version 2"),
        (b"[]\n", "speaks another wire"),
        (b"", "closed the connection before the end of its answer"),
        (b"x" * 200_000, "sent a line that is too long"),
        (None, "did not answer within"),
    ],
)
@on_loop
async def test_invalid_answer_of_an_agent_is_reported_in_one_line(monkeypatch, answer, message):
    monkeypatch.setattr(wire, "MAX_LINE_BYTES", 100_000)

    async def respond(reader, writer):
        await reader.readline()
        if answer is None:
            await reader.read()
        else:
            writer.write(answer)
            with contextlib.suppress(OSError):
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    answer = await calls.ask(f"127.0.0.1:{port}", {"do": "list"}, 0.2)
    assert message in answer.message["unreached"] and ctl.exit_code_of({"a": answer}) == 4
    assert rendering.render_lines("list", answer) == [answer.message["unreached"]]
    server.close()


@on_loop
async def test_invalid_requests_are_refused_and_change_nothing(tmp_path):
    async with (
        DispatcherRig(accept_request) as rig,
        running_agent(tmp_path, n0=admin_address_of(rig)) as host_agent,
    ):
        await until(lambda: host_agent.dispatchers["n0"].process)
        valid = {"do": "drain", "what": "zone", "name": "here", "by": "ana"}
        invalid = [
            {"do": "fly"},
            {},
            valid | {"by": "a\nb"},
            valid | {"what": "planet"},
            valid | {"name": None},
            valid | {"for_s": -1},
            valid | {"over": "x"},
            valid | {"limit_s": 1e9},
            {"do": "leave", "names": ["n0", "n9"]},
            {"do": "leave", "names": "n0"},
            {"do": "worker"},
        ]
        for request_ in invalid:
            reply = await wire.ask(f"127.0.0.1:{host_agent.port}", request_, 5.0)
            assert reply["ok"] is False and reply["refused"] and "\n" not in reply["refused"], request_
        reply = await wire.ask(f"127.0.0.1:{host_agent.port}", {"v": 7, "do": "list"}, 5.0)
        assert reply["refused"] == "the tool speaks version 7 of the wire, this is version 2"
        # Guards against an internal error: a value of a thousand levels cannot be written as text.
        nested = b"[" * 1010 + b"]" * 1010
        for line, fragment in (
            (b'{"v":2,"do":%s}\n' % nested, "there is no 'a list of too many levels' to do"),
            (b'{"v":%s}\n' % nested, "speaks version a list of too ma"),
        ):
            reader, writer = await asyncio.open_connection("127.0.0.1", host_agent.port)
            writer.write(line)
            assert fragment in json.loads(await reader.readuntil(b"\n"))["refused"]
            writer.close()
        assert host_agent.drains.revision == 0 and not rig.frontend.drain_state
        # Connections without a command, or with a part of one, do not delay other clients.
        partial = [await asyncio.open_connection("127.0.0.1", host_agent.port) for _ in range(10)]
        partial[0][1].write(b'{"v":2,')
        assert (await wire.ask(f"127.0.0.1:{host_agent.port}", {"do": "list"}, 5.0))["ok"]
        for _, writer in partial:
            writer.close()


# ---------------------------------------------------------------- drains


@on_loop
async def test_drain_and_restore_reach_every_dispatcher(tmp_path, capsys):
    async with (
        DispatcherRig(accept_request, accept_request) as first,
        DispatcherRig(accept_request, accept_request) as second,
    ):
        async with running_agent(
            tmp_path, n0=admin_address_of(first), n1=admin_address_of(second)
        ) as host_agent:
            await until(lambda: all([each.process for each in host_agent.dispatchers.values()]))
            code, text = await run_ctl(
                capsys,
                host_agent,
                "drain",
                "--worker",
                "w0",
                "--by",
                "ana",
                "--why",
                "noisy\x1b[2J",
                "--for",
                "2h",
            )
            assert code == 1 and "why is no line" in text
            code, text = await run_ctl(
                capsys, host_agent, "drain", "--worker", "w0", "--by", "ana", "--why", "noisy", "--for", "2h"
            )
            assert code == 0 and text.startswith("revision 1: 2 done\n")
            for rig in (first, second):
                assert rig.core.endpoints.ready_ids == {"w1"}
            code, text = await run_ctl(capsys, host_agent, "worker", "w0")
            assert code == 0 and text.count("worker w0, by ana at revision 1: noisy") == 2
            code, text = await run_ctl(capsys, host_agent, "list")
            assert code == 0 and len(text.splitlines()) == 3 and "answers" in text
            code, text = await run_ctl(capsys, host_agent, "drains")
            assert code == 0 and "noisy" in text and "revision 1: 2 done" in text
            # A second drain by the same operator is no conflict: its duration replaces the first one's.
            assert (await run_ctl(capsys, host_agent, "drain", "--worker", "w0", "--by", "ana"))[0] == 0
            assert (await run_ctl(capsys, host_agent, "restore", "--worker", "w0", "--by", "ana"))[0] == 0
            for rig in (first, second):
                assert rig.core.endpoints.ready_ids == {"w0", "w1"}
            code, text = await run_ctl(capsys, host_agent, "restore", "--worker", "w0", "--by", "ana")
            assert code == 1 and "no drain of worker w0 stands" in text
            code, text = await run_ctl(capsys, host_agent, "drains")
            assert "no drain stands" in text and "restored by ana: worker w0, by ana" in text
            code, text = await run_ctl(capsys, host_agent, "--json", "show", "n1")
            answer = json.loads(text)["agents"][f"127.0.0.1:{host_agent.port}"]
            assert [worker["id"] for worker in answer["dispatchers"][0]["workers"]] == ["w0", "w1"]


@on_loop
async def test_conflicting_drains_of_two_operators_are_reported(tmp_path, capsys):
    async with (
        DispatcherRig(accept_request, accept_request) as rig,
        running_agent(tmp_path, n0=admin_address_of(rig)) as host_agent,
    ):
        await until(lambda: host_agent.dispatchers["n0"].process)
        # Of two concurrent commands, one succeeds; the refusal of the other names the first one's operator.
        replies = await asyncio.gather(
            *[
                wire.ask(f"127.0.0.1:{host_agent.port}", request_, 5.0)
                for request_ in (
                    {"do": "drain", "what": "worker", "name": "w0", "by": "ana", "why": "storm"},
                    {"do": "drain", "what": "worker", "name": "w0", "by": "bo", "why": "fan"},
                )
            ]
        )
        assert sorted([reply["ok"] for reply in replies]) == [False, True]
        first = host_agent.drains.drains[0].operator
        second = {"ana": "bo", "bo": "ana"}[first]
        code, text = await run_ctl(capsys, host_agent, "restore", "--worker", "w0", "--by", second)
        assert code == 1 and f"by {first} at revision 1" in text and "--over 1" in text
        assert rig.core.endpoints.ready_ids == {"w1"}
        code, text = await run_ctl(
            capsys, host_agent, "restore", "--worker", "w0", "--by", second, "--over", "1"
        )
        assert code == 0 and rig.core.endpoints.ready_ids == {"w0", "w1"}
        code, text = await run_ctl(capsys, host_agent, "drains")
        assert f"restored by {second}: worker w0, by {first}" in text


@on_loop
async def test_drain_that_leaves_no_endpoint_is_refused_unless_forced(tmp_path, capsys):
    settings = {"kinds": ("box", "crate"), "familyInfo.classKind": (0.0, 1.0, 1.0)}
    rig_settings = {name.replace(".", "__"): value for name, value in settings.items()}
    async with (
        DispatcherRig(accept_request, accept_request, **rig_settings) as rig,
        running_agent(tmp_path, n0=admin_address_of(rig)) as host_agent,
    ):
        await until(lambda: host_agent.dispatchers["n0"].process)
        addresses = [peer.address for peer in rig.endpoints]
        rig.discovery.announce(
            members(member("w0", addresses[0]), member("w1", addresses[1], flavor="crate"), revision=2)
        )
        await until(lambda: rig.core.endpoints.revision == 2)
        code, text = await run_ctl(capsys, host_agent, "drain", "--kind", "crate")
        assert code == 1 and "n0 would have no worker for store, pay; --force" in text
        code, text = await run_ctl(capsys, host_agent, "drain", "--zone", "here")
        assert code == 1 and "no worker for any work" in text
        code, text = await run_ctl(capsys, host_agent, "drain", "--worker", "w9")
        assert code == 1 and "no dispatcher knows worker w9 (1 of 1 answered)" in text
        assert host_agent.drains.revision == 0
        assert (await run_ctl(capsys, host_agent, "drain", "--kind", "crate", "--force"))[0] == 0
        assert rig.core.endpoints.ready_ids == {"w0"}
        # A class without an endpoint already does not count against the next drain.
        code, text = await run_ctl(capsys, host_agent, "drain", "--worker", "w1")
        assert code == 0
    assert SETTINGS["categories.1.name"] == "store"


@contextlib.asynccontextmanager
async def faulty_admin_interface(reply):
    """A server in place of an admin interface that sends `reply` and closes, or hangs if it is None."""

    async def answer(reader, writer):
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await (reader.read() if reply is None else reader.readline())
            writer.write(reply or b"")
            await writer.drain()
            writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


@pytest.mark.parametrize(
    ("reply", "message"),
    [
        (None, "no answer within 0.3 s"),
        (b"x" * 300_000, "the reply is longer than 100000 bytes"),
        (b"HTTP/1.1 400 Bad Request\r\n\r\n", "invalid reply: not the admin interface of a dispatcher"),
        (b"400 calls are HEALTH DUMP LEAVE JOIN\n", "WHO: invalid reply, not a dispatcher of this version"),
        (b'200 {"pid":"x"}\n', "WHO: invalid reply, not a dispatcher of this version"),
        (b"", "invalid reply: not the admin interface of a dispatcher"),
    ],
)
@on_loop
async def test_faulty_dispatcher_is_unknown_and_delays_no_other(
    tmp_path, capsys, monkeypatch, reply, message
):
    monkeypatch.setattr(admin_call, "MAX_REPLY_BYTES", 100_000)
    async with (
        DispatcherRig(accept_request, accept_request) as rig,
        faulty_admin_interface(reply) as faulty_address,
    ):
        async with running_agent(tmp_path, n0=admin_address_of(rig), n1=faulty_address) as host_agent:
            await until(lambda: host_agent.dispatchers["n0"].process)
            drain_command = asyncio.create_task(
                run_ctl(capsys, host_agent, "--limit", "1s", "drain", "--worker", "w0", "--by", "ana")
            )
            # The working dispatcher applies the drain before the other one's timeout.
            await until(lambda: rig.core.endpoints.ready_ids == {"w1"})
            assert not drain_command.done()
            code, text = await drain_command
            assert code == 3 and "revision 1: 1 done, 1 unknown" in text and f"n1: unknown: {message}" in text
            code, text = await run_ctl(capsys, host_agent, "list")
            assert code == 3 and "n1" in text and message in text


@on_loop
async def test_drains_survive_restarts_of_agent_and_dispatcher(tmp_path, capsys):
    async with DispatcherRig(accept_request, accept_request) as first:
        async with running_agent(tmp_path, n0=admin_address_of(first)) as host_agent:
            await until(lambda: host_agent.dispatchers["n0"].process)
            assert (await run_ctl(capsys, host_agent, "drain", "--worker", "w0", "--by", "ana"))[0] == 0
        # Without an agent the dispatcher keeps its drains.
        assert first.core.endpoints.ready_ids == {"w1"}
        # The agent is killed between writing a drain to its file and sending it to a dispatcher.
        path = str(tmp_path / "drains.json")
        drain = drains.Drain("worker", "w1", "ana", "", 0.0, drains.INFINITY, 0)
        written = drains.set_drain(drain_file.load(path, NOW), drain, Clock().wall_ms())
        drain_file.save(path, written)
        async with DispatcherRig(accept_request, accept_request, accept_request) as second:
            async with running_agent(
                tmp_path, n0=admin_address_of(first), n1=admin_address_of(second)
            ) as host_agent:
                await until(
                    lambda: not first.core.endpoints.ready_ids and second.core.endpoints.ready_ids == {"w2"}
                )
                assert host_agent.drains == written
            # After the file is lost, the set of the new epoch is applied although its revision is lower.
            os.unlink(path)
            async with running_agent(tmp_path, n0=admin_address_of(first), n1=admin_address_of(second)):
                await until(
                    lambda: (
                        len(first.core.endpoints.ready_ids) == 2 and len(second.core.endpoints.ready_ids) == 3
                    )
                )


@on_loop
async def test_all_agents_check_a_command_before_any_executes_it(tmp_path, capsys):
    (tmp_path / "a").mkdir()
    (tmp_path / "b").mkdir()
    async with (
        DispatcherRig(accept_request, accept_request) as first_rig,
        DispatcherRig(accept_request) as second_rig,
        running_agent(tmp_path / "a", n0=admin_address_of(first_rig)) as first,
        running_agent(tmp_path / "b", n1=admin_address_of(second_rig)) as second,
    ):
        await until(lambda: first.dispatchers["n0"].process and second.dispatchers["n1"].process)
        code, text = await run_ctl(capsys, [first, second], "drain", "--worker", "w0")
        assert code == 1 and "n1 would have no worker" in text
        assert first.drains.revision == second.drains.revision == 0
        assert (await run_ctl(capsys, [first, second], "drain", "--worker", "w0", "--force"))[0] == 0
        assert first_rig.core.endpoints.ready_ids == {"w1"} and not second_rig.core.endpoints.ready_ids
        # Each name may belong to any of the agents; if one is unknown to all, nothing is executed.
        code, text = await run_ctl(capsys, [first, second], "leave", "n0", "n9")
        assert code == 1 and "no dispatcher is called n9" in text and not first_rig.frontend.drain_state
        assert (await run_ctl(capsys, [first, second], "leave", "n1"))[0] == 0
        assert second_rig.frontend.drain_state == "drained" and not first_rig.frontend.drain_state
        assert (await run_ctl(capsys, [first, second], "join", "n1", "n0"))[0] == 0
        await second.close()
        code, text = await run_ctl(capsys, [first, second], "drain", "--worker", "w1", "--force")
        assert code == 4 and first.drains.revision == 1


def test_clock_difference_is_reported():
    lines = rendering.render_lines(
        "drains", calls.AgentAnswer({"now": Clock().wall_ms() + 60_000.0, "ok": True, "revision": 0})
    )
    assert lines[0].startswith("its clock is +60.") and lines[1] == "no drain stands"


# ---------------------------------------------------------------- restarts


@on_loop
async def test_hot_restart_and_one_whose_child_does_not_start(tmp_path, capsys, monkeypatch):
    async with DispatcherHost(tmp_path) as host:
        monkeypatch.setenv("TMPDIR", str(host.scratch))
        dispatcher_process = await host.start_healthy()
        second_address = f"127.0.0.1:{free_port()}"
        start_command = dispatcher_process.command()
        dispatcher = {
            "console": [f"127.0.0.1:{dispatcher_process.console}", second_address],
            "start": start_command,
        }
        async with running_agent(tmp_path, n0=dispatcher) as host_agent:
            await until(lambda: host_agent.dispatchers["n0"].process)
            assert (await run_ctl(capsys, host_agent, "drain", "--worker", "w0", "--by", "ana"))[0] == 0
            code, text = await run_ctl(capsys, host_agent, "--limit", "15s", "restart", "n0")
            assert code == 0 and f"in place of {dispatcher_process.process.pid}" in text
            assert (await dispatcher_process.wait_for_exit())[0] == 0
            process = host_agent.dispatchers["n0"].process
            # The child process got the drain from its parent.
            assert process.admin_address == second_address and process.drain_version[1] == 1
            code, text = await run_ctl(capsys, host_agent, "worker", "w0")
            assert code == 0 and "leaving" in text
            # The next process does not start: the old one keeps serving.
            start_command[-1] = str(tmp_path / "missing.json")
            dispatcher_client = host_agent.dispatchers["n0"]
            dispatcher_client.config = dispatcher_client.config._replace(start_command=tuple(start_command))
            code, text = await run_ctl(capsys, host_agent, "--limit", "15s", "restart", "n0")
            assert code == 3 and "the new process exited with code 2; the old one keeps serving" in text
            assert (await admin_call.call(second_address, "HEALTH", 1.0))[0]
            os.kill(process.pid, signal.SIGKILL)


@on_loop
async def test_restart_drains_first_and_stops_at_the_first_failure(tmp_path, capsys, monkeypatch):
    async with DispatcherHost(tmp_path) as host:
        monkeypatch.setenv("TMPDIR", str(host.scratch))
        dispatcher_process = DispatcherProcess(host)
        start_command = dispatcher_process.command()
        dispatcher_process.process = await asyncio.create_subprocess_exec(
            *start_command, env=host.environment
        )
        host.nodes.append(dispatcher_process)
        await dispatcher_process.wait_until_healthy()
        hanging_socket = socket.create_server(("127.0.0.1", 0))
        dispatchers = {
            "n0": {"console": f"127.0.0.1:{dispatcher_process.console}", "start": start_command},
            "n1": f"127.0.0.1:{hanging_socket.getsockname()[1]}",
            "n2": f"127.0.0.1:{free_port()}",
        }
        async with running_agent(tmp_path, **dispatchers) as host_agent:
            await until(lambda: host_agent.dispatchers["n0"].process)
            first_pid = host_agent.dispatchers["n0"].process.pid
            # A request that does not end within the timeout is not aborted, and clients are accepted again.
            reader, writer = await host.open(
                b"POST /look/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: long\r\nX-Budget-Ms: 9000\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            await until(lambda: "long" in host.received_ids())
            code, text = await run_ctl(capsys, host_agent, "--limit", "1s", "restart", "n0", "n1", "n2")
            assert code == 1 and "n0: unknown: the new process does not serve within 1 s" in text
            assert text.count("refused: not begun") == 2
            assert (await dispatcher_process.call("HEALTH")).startswith("200")
            await host.send_callbacks("long")
            assert (await read_message(reader)).target == "200"
            writer.close()
            code, text = await run_ctl(capsys, host_agent, "--limit", "15s", "restart", "n0")
            assert code == 0 and f"in place of {first_pid}" in text
            assert await dispatcher_process.process.wait() == 0
            os.kill(host_agent.dispatchers["n0"].process.pid, signal.SIGKILL)
        hanging_socket.close()
