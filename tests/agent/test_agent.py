"""The agent of a host and the tool: drains that last, instances that hang, disagreement, restarts."""

import asyncio
import contextlib
import json
import os
import signal
import socket

import pytest
from support.dispatcher_process import DispatcherHost, DispatcherProcess, free_port
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

NOW = 1_000_000.0


def taken(call):
    return ACCEPTED


def file_of(folder, instances, **more):
    """An agent's file."""
    path = folder / "agent.toml"
    told = {"listen": f"127.0.0.1:{free_port()}", "state": "drains.json", "answer_s": 0.3} | more
    lines = [f"{name} = {json.dumps(value)}" for name, value in told.items()]
    for name, consoles in instances.items():
        lines += ["[[dispatcher]]", f'name = "{name}"']
        extra = consoles if isinstance(consoles, dict) else {"console": consoles}
        lines += [f"{what} = {json.dumps(value)}" for what, value in extra.items()]
    path.write_text("\n".join(lines) + "\n")
    return path


def console_of(rig):
    return f"127.0.0.1:{rig.service.admin_port}"


@contextlib.asynccontextmanager
async def agent_of(folder, **instances):
    """An agent that looks after instances, by their second addresses."""
    here = agent.Agent(config.read(str(file_of(folder, instances))))
    await here.start()
    try:
        yield here
    finally:
        await here.close()


async def type_in(capsys, here, *words):
    """What an operator sees who types a command: the exit code and the text."""
    capsys.readouterr()
    agents = [f"--agent=127.0.0.1:{each.port}" for each in (here if isinstance(here, list) else [here])]
    code = await asyncio.to_thread(main, ["ctl", *agents, *words])
    told = capsys.readouterr()
    return code, told.out + told.err


# ---------------------------------------------------------------- bad input


@pytest.mark.parametrize(
    ("text", "word"),
    [
        (None, "cannot read"),
        ("listen = ", "no TOML"),
        ('state = "x"\n[[dispatcher]]\nname = "n"\nconsole = "127.0.0.1:1"', "None is no host:port"),
        ('listen = "127.0.0.1:1"\nstate = "x"', "no [[dispatcher]]"),
        ('listen = "127.0.0.1:1"\nstate = 5\n[[dispatcher]]\nname = "n"', "state is no path"),
        ('listen = "127.0.0.1:1"\nstate = "x"\nport = 5\n[[dispatcher]]\nname = "n"', "the file has port"),
        ('listen = "127.0.0.1:1"\nstate = "x"\nanswer_s = 0\n[[dispatcher]]\nname = "n"', "answer_s is 0"),
        ('listen = "127.0.0.1:1"\nstate = "x"\n[[dispatcher]]\nname = "n"\nconsole = "here"', "'here' is no"),
        ('listen = "127.0.0.1:1"\nstate = "x"\n[[dispatcher]]\nname = ""', "name is ''"),
        (
            'listen = "127.0.0.1:1"\nstate = "x"\n[[dispatcher]]\nname = "n"\nconsole = "127.0.0.1:2"\n'
            '[[dispatcher]]\nname = "m"\nconsole = "127.0.0.1:2"',
            "127.0.0.1:2 stands there twice",
        ),
        (
            'listen = "127.0.0.1:1"\nstate = "x"\n[[dispatcher]]\nname = "n"\n'
            'console = ["127.0.0.1:2", "127.0.0.1:3"]',
            "only with start",
        ),
    ],
)
def test_a_file_that_cannot_be_used_ends_with_one_line(tmp_path, capsys, text, word):
    path = tmp_path / "agent.toml"
    if text is not None:
        path.write_text(text)
    assert main(["agent", "--config", str(path)]) == 2
    said = capsys.readouterr().err
    assert word in said and said.count("\n") == 1 and said.startswith("dunepulley: ")


@pytest.mark.parametrize("text", ["{", "[]", '{"epoch": "x"}', '{"epoch":1,"revision":1,"drains":[{}]}'])
def test_drains_that_cannot_be_read_are_not_written_over(tmp_path, capsys, text):
    path = file_of(tmp_path, {"n0": "127.0.0.1:1"})
    (tmp_path / "drains.json").write_text(text)
    assert main(["agent", "--config", str(path)]) == 2
    assert "cannot use" in capsys.readouterr().err and (tmp_path / "drains.json").read_text() == text


def test_a_change_that_was_half_written_is_not_there(tmp_path):
    path = str(tmp_path / "drains.json")
    some = drains.set_drain(
        drains.DrainSet(5.0), drains.Drain("zone", "a", "ana", "", 0.0, drains.INFINITY, 0), NOW
    )
    drain_file.save(path, some)
    # The machine stops after any number of bytes of the next one.
    whole = (tmp_path / "drains.json").read_bytes()
    for cut in range(0, len(whole), 7):
        (tmp_path / "drains.json.new").write_bytes(whole[:cut])
        assert drain_file.load(path, NOW) == some
    with pytest.raises(drain_file.DrainFileError, match="cannot write"):
        drain_file.save(str(tmp_path / "nowhere" / "x"), some)


@pytest.mark.parametrize(
    ("words", "code"),
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
def test_words_that_cannot_be_used(capsys, monkeypatch, words, code):
    monkeypatch.setenv("DUNEPULLEY_AGENTS", f"127.0.0.1:{free_port()}")
    try:
        assert main(["ctl", *words]) == code
    except SystemExit as ended:  # by argparse
        assert ended.code == code
    assert capsys.readouterr().err


@pytest.mark.parametrize(
    ("answer", "word"),
    [
        (b"HTTP/1.1 400 Bad Request\r\n\r\n", "sent no JSON"),
        (b'{"v":3}\n', "speaks version 3 of the wire, this is version 2"),
        (b"[]\n", "speaks another wire"),
        (b"", "ended before its answer"),
        (b"x" * 200_000, "answers without end"),
        (None, "did not answer within"),
    ],
)
@on_loop
async def test_a_foreign_agent_is_told_of_in_one_line(monkeypatch, answer, word):
    monkeypatch.setattr(wire, "LIMIT", 100_000)

    async def talk(reader, writer):
        await reader.readline()
        if answer is None:
            await reader.read()
        else:
            writer.write(answer)
            with contextlib.suppress(OSError):
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(talk, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    answer = await calls.ask(f"127.0.0.1:{port}", {"do": "list"}, 0.2)
    assert word in answer.message["unreached"] and ctl.code_of({"a": answer}) == 4
    assert rendering.lines_of("list", answer) == [answer.message["unreached"]]
    server.close()


@on_loop
async def test_odd_requests_are_refused_and_change_nothing(tmp_path):
    async with DispatcherRig(taken) as rig, agent_of(tmp_path, n0=console_of(rig)) as here:
        await until(lambda: here.dispatchers["n0"].process)
        good = {"do": "drain", "what": "zone", "name": "here", "by": "ana"}
        odd = [
            {"do": "fly"},
            {},
            good | {"by": "a\nb"},
            good | {"what": "planet"},
            good | {"name": None},
            good | {"for_s": -1},
            good | {"over": "x"},
            good | {"limit_s": 1e9},
            {"do": "leave", "names": ["n0", "n9"]},
            {"do": "leave", "names": "n0"},
            {"do": "worker"},
        ]
        for what in odd:
            told = await wire.ask(f"127.0.0.1:{here.port}", what, 5.0)
            assert told["ok"] is False and told["refused"] and "\n" not in told["refused"], what
        told = await wire.ask(f"127.0.0.1:{here.port}", {"v": 7, "do": "list"}, 5.0)
        assert told["refused"] == "the tool speaks version 7 of the wire, this is version 2"
        assert here.drains.revision == 0 and not rig.frontend.drain_state
        # Who connects and says nothing, or half, holds up nobody.
        half = [await asyncio.open_connection("127.0.0.1", here.port) for _ in range(10)]
        half[0][1].write(b'{"v":2,')
        assert (await wire.ask(f"127.0.0.1:{here.port}", {"do": "list"}, 5.0))["ok"]
        for _, writer in half:
            writer.close()


# ---------------------------------------------------------------- drains


@on_loop
async def test_a_drain_from_the_terminal_reaches_every_dispatcher_and_goes_again(tmp_path, capsys):
    async with DispatcherRig(taken, taken) as one, DispatcherRig(taken, taken) as two:
        async with agent_of(tmp_path, n0=console_of(one), n1=console_of(two)) as here:
            await until(lambda: all([each.process for each in here.dispatchers.values()]))
            code, text = await type_in(
                capsys, here, "drain", "--worker", "w0", "--by", "ana", "--why", "noisy\x1b[2J", "--for", "2h"
            )
            assert code == 1 and "why is no line" in text
            code, text = await type_in(
                capsys, here, "drain", "--worker", "w0", "--by", "ana", "--why", "noisy", "--for", "2h"
            )
            assert code == 0 and text.startswith("revision 1: 2 done\n")
            for rig in (one, two):
                assert rig.core.endpoints.ready_ids == {"w1"}
            code, text = await type_in(capsys, here, "worker", "w0")
            assert code == 0 and text.count("worker w0, by ana at revision 1: noisy") == 2
            code, text = await type_in(capsys, here, "list")
            assert code == 0 and len(text.splitlines()) == 3 and "answers" in text
            code, text = await type_in(capsys, here, "drains")
            assert code == 0 and "noisy" in text and "revision 1: 2 done" in text
            # Twice by the same is no conflict: the later span holds.
            assert (await type_in(capsys, here, "drain", "--worker", "w0", "--by", "ana"))[0] == 0
            assert (await type_in(capsys, here, "restore", "--worker", "w0", "--by", "ana"))[0] == 0
            for rig in (one, two):
                assert rig.core.endpoints.ready_ids == {"w0", "w1"}
            code, text = await type_in(capsys, here, "restore", "--worker", "w0", "--by", "ana")
            assert code == 1 and "no drain of worker w0 stands" in text
            code, text = await type_in(capsys, here, "drains")
            assert "no drain stands" in text and "restored by ana: worker w0, by ana" in text
            code, text = await type_in(capsys, here, "--json", "show", "n1")
            told = json.loads(text)["agents"][f"127.0.0.1:{here.port}"]
            assert [worker["id"] for worker in told["dispatchers"][0]["workers"]] == ["w0", "w1"]


@on_loop
async def test_two_operators_who_disagree_both_see_it(tmp_path, capsys):
    async with DispatcherRig(taken, taken) as rig, agent_of(tmp_path, n0=console_of(rig)) as here:
        await until(lambda: here.dispatchers["n0"].process)
        # At the same time: one is first, the other is told whose stands there.
        both = await asyncio.gather(
            *[
                wire.ask(f"127.0.0.1:{here.port}", what, 5.0)
                for what in (
                    {"do": "drain", "what": "worker", "name": "w0", "by": "ana", "why": "storm"},
                    {"do": "drain", "what": "worker", "name": "w0", "by": "bo", "why": "fan"},
                )
            ]
        )
        assert sorted([told["ok"] for told in both]) == [False, True]
        first = here.drains.drains[0].operator
        second = {"ana": "bo", "bo": "ana"}[first]
        code, text = await type_in(capsys, here, "restore", "--worker", "w0", "--by", second)
        assert code == 1 and f"by {first} at revision 1" in text and "--over 1" in text
        assert rig.core.endpoints.ready_ids == {"w1"}
        code, text = await type_in(capsys, here, "restore", "--worker", "w0", "--by", second, "--over", "1")
        assert code == 0 and rig.core.endpoints.ready_ids == {"w0", "w1"}
        code, text = await type_in(capsys, here, "drains")
        assert f"restored by {second}: worker w0, by {first}" in text


@on_loop
async def test_a_drain_that_leaves_nothing_is_refused_unless_forced(tmp_path, capsys):
    kinds = {"kinds": ("box", "crate"), "familyInfo.classKind": (0.0, 1.0, 1.0)}
    named = {name.replace(".", "__"): value for name, value in kinds.items()}
    async with DispatcherRig(taken, taken, **named) as rig, agent_of(tmp_path, n0=console_of(rig)) as here:
        await until(lambda: here.dispatchers["n0"].process)
        addresses = [peer.address for peer in rig.endpoints]
        rig.discovery.announce(
            members(member("w0", addresses[0]), member("w1", addresses[1], flavor="crate"), revision=2)
        )
        await until(lambda: rig.core.endpoints.revision == 2)
        code, text = await type_in(capsys, here, "drain", "--kind", "crate")
        assert code == 1 and "n0 would have no worker for store, pay; --force" in text
        code, text = await type_in(capsys, here, "drain", "--zone", "here")
        assert code == 1 and "no worker for any work" in text
        code, text = await type_in(capsys, here, "drain", "--worker", "w9")
        assert code == 1 and "no dispatcher knows worker w9 (1 of 1 answered)" in text
        assert here.drains.revision == 0
        assert (await type_in(capsys, here, "drain", "--kind", "crate", "--force"))[0] == 0
        assert rig.core.endpoints.ready_ids == {"w0"}
        # What has no worker already is not the next drain's doing.
        code, text = await type_in(capsys, here, "drain", "--worker", "w1")
        assert code == 0
    assert SETTINGS["categories.1.name"] == "store"


@contextlib.asynccontextmanager
async def bad_console(says):
    """A second address where something hangs, talks without end, or is no dispatcher."""

    async def talk(reader, writer):
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await (reader.read() if says is None else reader.readline())
            writer.write(says or b"")
            await writer.drain()
            writer.close()

    server = await asyncio.start_server(talk, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


@pytest.mark.parametrize(
    ("says", "word"),
    [
        (None, "no answer within 0.3 s"),
        (b"x" * 300_000, "answers without end"),
        (b"HTTP/1.1 400 Bad Request\r\n\r\n", "what answers is no dispatcher"),
        (b"400 calls are HEALTH DUMP LEAVE JOIN\n", "what answers is no dispatcher of this version"),
        (b'200 {"pid":"x"}\n', "what answers is no dispatcher of this version"),
        (b"", "what answers is no dispatcher"),
    ],
)
@on_loop
async def test_one_that_does_not_answer_is_unknown_and_holds_up_nobody(
    tmp_path, capsys, monkeypatch, says, word
):
    monkeypatch.setattr(admin_call, "MAX_REPLY_BYTES", 100_000)
    async with DispatcherRig(taken, taken) as rig, bad_console(says) as bad:
        async with agent_of(tmp_path, n0=console_of(rig), n1=bad) as here:
            await until(lambda: here.dispatchers["n0"].process)
            work = asyncio.create_task(
                type_in(capsys, here, "--limit", "1s", "drain", "--worker", "w0", "--by", "ana")
            )
            # The one that answers goes by it long before the other's time is up.
            await until(lambda: rig.core.endpoints.ready_ids == {"w1"})
            assert not work.done()
            code, text = await work
            assert code == 3 and "revision 1: 1 done, 1 unknown" in text and f"n1: unknown: {word}" in text
            code, text = await type_in(capsys, here, "list")
            assert code == 3 and "n1" in text and word in text


@on_loop
async def test_drains_outlive_the_agent_and_the_dispatcher(tmp_path, capsys):
    async with DispatcherRig(taken, taken) as one:
        async with agent_of(tmp_path, n0=console_of(one)) as here:
            await until(lambda: here.dispatchers["n0"].process)
            assert (await type_in(capsys, here, "drain", "--worker", "w0", "--by", "ana"))[0] == 0
        # The agent is gone: the dispatcher goes by what it has.
        assert one.core.endpoints.ready_ids == {"w1"}
        # It died half way: written down, told to nobody.
        path = str(tmp_path / "drains.json")
        more = drains.Drain("worker", "w1", "ana", "", 0.0, drains.INFINITY, 0)
        written = drains.set_drain(drain_file.load(path, NOW), more, Clock().wall_ms())
        drain_file.save(path, written)
        async with DispatcherRig(taken, taken, taken) as two:
            async with agent_of(tmp_path, n0=console_of(one), n1=console_of(two)) as here:
                await until(
                    lambda: not one.core.endpoints.ready_ids and two.core.endpoints.ready_ids == {"w2"}
                )
                assert here.drains == written
            # The file is lost: a new epoch, whose set counts although its revision is lower.
            os.unlink(path)
            async with agent_of(tmp_path, n0=console_of(one), n1=console_of(two)):
                await until(
                    lambda: len(one.core.endpoints.ready_ids) == 2 and len(two.core.endpoints.ready_ids) == 3
                )


@on_loop
async def test_several_agents_are_asked_before_any_changes_anything(tmp_path, capsys):
    (tmp_path / "a").mkdir()
    (tmp_path / "b").mkdir()
    async with (
        DispatcherRig(taken, taken) as one,
        DispatcherRig(taken) as two,
        agent_of(tmp_path / "a", n0=console_of(one)) as first,
        agent_of(tmp_path / "b", n1=console_of(two)) as second,
    ):
        await until(lambda: first.dispatchers["n0"].process and second.dispatchers["n1"].process)
        code, text = await type_in(capsys, [first, second], "drain", "--worker", "w0")
        assert code == 1 and "n1 would have no worker" in text
        assert first.drains.revision == second.drains.revision == 0
        assert (await type_in(capsys, [first, second], "drain", "--worker", "w0", "--force"))[0] == 0
        assert one.core.endpoints.ready_ids == {"w1"} and not two.core.endpoints.ready_ids
        # Names may be any agent's; with one that nobody has, nothing is done.
        code, text = await type_in(capsys, [first, second], "leave", "n0", "n9")
        assert code == 1 and "no dispatcher is called n9" in text and not one.frontend.drain_state
        assert (await type_in(capsys, [first, second], "leave", "n1"))[0] == 0
        assert two.frontend.drain_state == "drained" and not one.frontend.drain_state
        assert (await type_in(capsys, [first, second], "join", "n1", "n0"))[0] == 0
        await second.close()
        code, text = await type_in(capsys, [first, second], "drain", "--worker", "w1", "--force")
        assert code == 4 and first.drains.revision == 1


def test_clocks_that_differ_are_told_of():
    lines = rendering.lines_of(
        "drains", calls.AgentAnswer({"now": Clock().wall_ms() + 60_000.0, "ok": True, "revision": 0})
    )
    assert lines[0].startswith("its clock is +60.") and lines[1] == "no drain stands"


# ---------------------------------------------------------------- restarts


@on_loop
async def test_an_upgrade_in_place_and_one_that_does_not_start(tmp_path, capsys, monkeypatch):
    async with DispatcherHost(tmp_path) as site:
        monkeypatch.setenv("TMPDIR", str(site.scratch))
        node = await site.serving()
        other = f"127.0.0.1:{free_port()}"
        start = node.command()
        told = {"console": [f"127.0.0.1:{node.console}", other], "start": start}
        async with agent_of(tmp_path, n0=told) as here:
            await until(lambda: here.dispatchers["n0"].process)
            assert (await type_in(capsys, here, "drain", "--worker", "w0", "--by", "ana"))[0] == 0
            code, text = await type_in(capsys, here, "--limit", "15s", "restart", "n0")
            assert code == 0 and f"in place of {node.process.pid}" in text
            assert (await node.ends())[0] == 0
            who = here.dispatchers["n0"].process
            # The new one knew of the drain from the one before it.
            assert who.admin_address == other and who.drain_version[1] == 1
            code, text = await type_in(capsys, here, "worker", "w0")
            assert code == 0 and "leaving" in text
            # The next version does not start: the old one goes on, and what follows is not begun.
            start[-1] = str(tmp_path / "missing.json")
            restarted = here.dispatchers["n0"]
            restarted.config = restarted.config._replace(start_command=tuple(start))
            code, text = await type_in(capsys, here, "--limit", "15s", "restart", "n0")
            assert code == 3 and "the new process ended with 2; the old one goes on" in text
            assert (await admin_call.call(other, "HEALTH", 1.0))[0]
            os.kill(who.pid, signal.SIGKILL)


@on_loop
async def test_a_restart_drains_first_and_the_first_that_fails_ends_it(tmp_path, capsys, monkeypatch):
    async with DispatcherHost(tmp_path) as site:
        monkeypatch.setenv("TMPDIR", str(site.scratch))
        node = DispatcherProcess(site)
        start = node.command()
        node.process = await asyncio.create_subprocess_exec(*start, env=site.environment)
        site.nodes.append(node)
        await node.serves()
        hung = socket.create_server(("127.0.0.1", 0))
        consoles = {
            "n0": {"console": f"127.0.0.1:{node.console}", "start": start},
            "n1": f"127.0.0.1:{hung.getsockname()[1]}",
            "n2": f"127.0.0.1:{free_port()}",
        }
        async with agent_of(tmp_path, **consoles) as here:
            await until(lambda: here.dispatchers["n0"].process)
            first = here.dispatchers["n0"].process.pid
            # An item that does not end in time: nothing is thrown away, and clients have it back.
            reader, writer = await site.open(
                b"POST /look/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: long\r\nX-Budget-Ms: 9000\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            await until(lambda: "long" in site.given())
            code, text = await type_in(capsys, here, "--limit", "1s", "restart", "n0", "n1", "n2")
            assert code == 1 and "n0: unknown: not there again within 1 s" in text
            assert text.count("refused: not begun") == 2
            assert (await node.call("HEALTH")).startswith("200")
            await site.event("long")
            assert (await read_message(reader)).target == "200"
            writer.close()
            code, text = await type_in(capsys, here, "--limit", "15s", "restart", "n0")
            assert code == 0 and f"in place of {first}" in text
            assert await node.process.wait() == 0
            os.kill(here.dispatchers["n0"].process.pid, signal.SIGKILL)
        hung.close()
