"""An upgrade with two real processes, and the handover's hard cases beside it."""

import asyncio
import json
import os
import signal
import socket
import threading

import pytest
from support.dispatcher_process import ENDPOINT_COUNT, DispatcherHost
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.http_messages import ACCEPTED, HEALTH_REQUEST, read_message, request
from support.router_rig import RouterRig, commands_of, endpoint_entry

from dunepulley.net import hot_restart
from dunepulley.net.endpoint_list import format_endpoint_list, parse_endpoint_list
from dunepulley.routing import warm_state
from dunepulley.routing.commands import StartAttempt
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    EndpointListUpdate,
    ListUpdateKind,
    RequestArrived,
    SlowStartBudgetAssigned,
)


def taken(call):
    return ACCEPTED


async def until_listening(node):
    async with asyncio.timeout(8.0):
        while not await node.call("HEALTH"):
            await asyncio.sleep(0.01)


@on_loop
async def test_an_upgrade_loses_nothing_and_turns_nobody_back(tmp_path):
    async with DispatcherHost(tmp_path) as site:
        old = await site.serving()
        held, held_writer = await site.open(request("/look/1", wi="held"))
        again, again_writer = await site.open(HEALTH_REQUEST)
        assert (await read_message(again)).target == "200"
        await site.seen("held")
        # Connections wait to be accepted while nobody takes them, and all through the handover.
        old.process.send_signal(signal.SIGSTOP)
        queued = [await site.open(request("/look/1", wi=f"q{number}")) for number in range(20)]
        old.process.send_signal(signal.SIGCONT)
        new = await site.serving()
        assert (await old.call("HEALTH")).startswith("400 handed over")
        assert (await old.call("JOIN")).startswith("400")
        assert (await site.say(HEALTH_REQUEST)).target == "200"
        late, late_writer = await site.open(request("/look/1", wi="late"))
        # An old connection goes on for one more, and is told to end.
        again_writer.write(HEALTH_REQUEST)
        told = await read_message(again)
        assert (told.target, told.headers.get("connection")) == ("200", "close")
        # All callbacks come to the new process; those for what the old one holds are passed on.
        waiting = {"held": held, "late": late} | {f"q{n}": reader for n, (reader, _) in enumerate(queued)}
        open_now = set(waiting)
        while open_now:
            for wi in sorted(open_now & set(site.given())):
                assert await site.event(wi) == {"204"}
                told = await read_message(waiting[wi])
                assert (told.target, told.body) == ("200", wi.encode())
                open_now.discard(wi)
            await asyncio.sleep(0.005)
        assert len(site.given()) == len(set(site.given())) == 22
        # Nothing of its own is left: the old one ends by itself, and the new one goes on alone.
        code, said = await old.ends()
        assert code == 0 and "fault" not in said and "the successor serves" in said
        assert await new.figure("current") == "0|g" and await new.figure("cluster_size") == "4|g"
        assert os.path.exists(site.path)
        for _, writer in (*queued, (held, held_writer), (again, again_writer), (late, late_writer)):
            writer.close()


@on_loop
async def test_a_second_upgrade_while_the_first_one_ends_and_the_way_back(tmp_path):
    async with DispatcherHost(tmp_path) as site:
        nodes, waiting = [], []
        for number in range(3):  # each holds one item; the last is the way back to the first version
            nodes.append(await site.serving())
            waiting.append(await site.open(request("/look/1", wi=f"i{number}")))
            await site.seen(*[f"i{at}" for at in range(number + 1)])
        # Over two hops where it must, and the answer is the holder's.
        for number, (reader, writer) in enumerate(waiting):
            assert await site.event(f"i{number}") == {"204"}
            assert (await read_message(reader)).body == f"i{number}".encode()
            writer.close()
        for node in nodes[:2]:
            assert (await node.ends())[0] == 0
        assert await nodes[2].figure("sends") == "1|c"


@on_loop
async def test_a_successor_that_never_gets_ready_changes_nothing(tmp_path):
    async with DispatcherHost(tmp_path) as site:
        old = await site.serving()
        # Pretends to start, and then says nothing.
        hung = hot_restart.request_parent_state(site.path, "hung")
        assert hung.state["known"]["revision"] == 7 and len(hung.state["known"]["members"]) == ENDPOINT_COUNT
        assert (await old.call("HEALTH")).startswith("200")
        # Meanwhile another one is not let in, and says so in one line.
        code, said = await (await site.start()).ends()
        assert code == 2 and "an upgrade is under way" in said
        assert [line for line in said.splitlines() if "counters" not in line] == [said.splitlines()[0]]
        # It dies, and what it was passed with it: nothing is lost, and the next one is let in.
        hung.link.close()
        hung.listening.close()
        reader, writer = await site.open(request("/look/1", wi="a"))
        await site.seen("a")
        assert await site.event("a") == {"204"} and (await read_message(reader)).body == b"a"
        await site.serving()
        assert (await old.ends())[0] == 0
        writer.close()


@on_loop
async def test_a_successor_with_nothing_to_serve_with_waits_and_may_be_ended(tmp_path):
    async with DispatcherHost(tmp_path) as site:
        old = await site.start(known=0)
        await until(lambda: os.path.exists(site.path))
        new = await site.start(known=0)
        await until_listening(new)
        assert (await new.call("HEALTH")).startswith("400")
        new.process.send_signal(signal.SIGTERM)
        code, said = await new.ends()
        assert code == 0 and "took over" not in said and old.process.returncode is None
        # What the new one's own configuration knows holds where there is nothing to pass on.
        third = await site.serving()
        assert await third.figure("cluster_size") == "4|g" and (await old.ends())[0] == 0


async def upgraded_with_a_held_request(site):
    """A process with a request in hand, the one that took over from it, and the request's stream."""
    old = await site.serving()
    held, held_writer = await site.open(request("/look/1", wi="held"))
    await site.seen("held")
    return old, await site.serving(), held, held_writer


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
@on_loop
async def test_the_old_process_serves_again_if_the_new_one_ends(tmp_path, number):
    async with DispatcherHost(tmp_path) as site:
        old, new, held, held_writer = await upgraded_with_a_held_request(site)
        assert (await old.call("HEALTH")).startswith("400")
        new.process.send_signal(number)
        await old.serves()
        assert (await site.say(HEALTH_REQUEST)).target == "200"
        reader, writer = await site.open(request("/look/1", wi="after"))
        await site.seen("held", "after")
        for wi, stream in (("held", held), ("after", reader)):
            assert await site.event(wi) == {"204"}
            assert (await read_message(stream)).body == wi.encode()
        # And the next upgrade finds it.
        third = await site.serving()
        assert (await old.ends())[0] == 0 and await third.figure("cluster_size") == "4|g"
        held_writer.close()
        writer.close()


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
@on_loop
async def test_the_old_process_is_ended_in_the_middle(tmp_path, number):
    async with DispatcherHost(tmp_path) as site:
        old, new, held, held_writer = await upgraded_with_a_held_request(site)
        old.process.send_signal(number)
        if number == signal.SIGTERM:
            # It still finishes what it has, whoever hears of it.
            assert await site.event("held") == {"204"}
            assert (await read_message(held)).body == b"held"
            assert (await old.ends())[0] == 0
        else:
            await old.process.wait()
            # Nobody holds the item any more: the worker is answered all the same.
            assert await site.event("held") == {"204"}
        reader, writer = await site.open(request("/look/1", wi="after"))
        await site.seen("held", "after")
        await site.event("after")
        assert (await read_message(reader)).body == b"after"
        assert (await new.call("HEALTH")).startswith("200")
        held_writer.close()
        writer.close()


@pytest.mark.parametrize("left", ["socket", "file", "folder", "nothing"])
@on_loop
async def test_what_lies_in_tmpdir(tmp_path, left):
    async with DispatcherHost(tmp_path) as site:
        if left == "socket":  # of a process that was killed
            stale = socket.socket(socket.AF_UNIX)
            stale.bind(site.path)
            stale.close()
        elif left == "file":
            with open(site.path, "w") as file:
                file.write("somebody's")
        elif left == "folder":
            os.mkdir(site.path)
        node = await site.serving()
        if left in ("socket", "nothing"):
            await until(lambda: os.path.exists(site.path))
            await site.serving()
            assert (await node.ends())[0] == 0
        else:
            # It is not ours to take away: the process serves, and says that no upgrade will find it.
            node.process.send_signal(signal.SIGTERM)
            code, said = await node.ends()
            assert code == 0 and "no upgrade will find this process" in said and os.path.lexists(site.path)


@on_loop
async def test_without_tmpdir_a_second_process_is_turned_away(tmp_path):
    async with DispatcherHost(tmp_path, scratch=False) as site:
        old = await site.serving()
        code, said = await (await site.start()).ends()
        assert code == 2 and "cannot listen at" in said
        assert (await old.call("HEALTH")).startswith("200")


@pytest.mark.parametrize(
    ("says", "word"),
    [
        (b'{"refused":"busy"}\n', "busy"),
        (b"{}\n", "passed no socket on"),
        (b"[]\n", "does not hand over"),
        (b"nonsense\n", "literal"),
        (b"", "does not hand over"),
        (None, "does not answer"),
    ],
)
def test_a_foreign_listener_is_told_of_in_one_line(tmp_path, monkeypatch, says, word):
    monkeypatch.setattr(hot_restart.child, "PARENT_TIMEOUT_S", 0.2)
    path = hot_restart.socket_path(str(tmp_path), "127.0.0.1", 8080)
    with socket.socket(socket.AF_UNIX) as foreign:
        foreign.bind(path)
        foreign.listen()
        if says is not None:

            def answer():
                link, _ = foreign.accept()
                link.recv(100)
                link.sendall(says)
                link.close()

            threading.Thread(target=answer, daemon=True).start()
        with pytest.raises(hot_restart.HotRestartError, match=word) as problem:
            hot_restart.request_parent_state(path, "n0")
        assert "\n" not in str(problem.value)


def test_a_deep_folder_is_no_hindrance(tmp_path):
    folder = tmp_path / ("d" * 100)
    folder.mkdir()
    assert (
        hot_restart.request_parent_state(hot_restart.socket_path(str(folder), "127.0.0.1", 1), "n0") is None
    )
    assert hot_restart.socket_path("", "127.0.0.1", 1) == ""
    assert hot_restart.request_parent_state("", "n0") is None


@on_loop
async def test_a_holder_that_does_not_answer_has_the_worker_call_again(monkeypatch):
    monkeypatch.setattr(hot_restart.link, "CALLBACK_TIMEOUT_S", 0.05)
    one, other = socket.socketpair()
    async with DispatcherRig(taken) as rig:
        link = rig.service.hot_restart.parent = await hot_restart.Link.over(one)
        assert (await rig.callback("w0", "done", "elsewhere", result="x")).target == "503"
        assert json.loads(other.recv(9999))["callback"]
        link.close()
        # Asked after its end, as by who still has it in hand: at once, and not as of a holder that is silent.
        assert await link.forward_callback(b"x") is None
        rig.service.hot_restart.parent = None
        # Nobody's: late, or of a process that has gone.
        assert (await rig.callback("w0", "done", "elsewhere", result="x")).target == "204"
    other.close()


def test_a_list_goes_over_as_it_is():
    told = members(
        member("w0", "127.0.0.1:1", up_since_ms=5.5),
        member("w1", "127.0.0.1:2", "Terminating", size=0.5),
        {"id": "w2", "phase": "Ready"},
        revision=9,
    )
    known = parse_endpoint_list(told)
    again = parse_endpoint_list(
        json.loads(json.dumps(format_endpoint_list(known.update.entries, known.addresses, 9)))
    )
    assert again == known


def test_of_two_processes_one_spends_the_cold_budget():
    def sent(rig):
        return len(
            commands_of(StartAttempt, rig.feed(RequestArrived(f"i{rig.now}", "look", 4000.0), after=1.0))
        )

    rig = RouterRig(0, now=100000.0, balancers=1.0)
    rig.feed(EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(0, since=98000.0),)))
    rig.feed(SlowStartBudgetAssigned(False))
    assert sum([sent(rig) for _ in range(5)]) == 0
    # What the other sent counts for one span more.
    rig.feed(SlowStartBudgetAssigned(True))
    assert sent(rig) == 0
    rig.feed(after=1000.0)
    assert sent(rig) == 1
    rig.feed(SlowStartBudgetAssigned(False))
    rig.feed(after=1000.0)
    assert sent(rig) == 0


def test_what_was_learned_goes_on_and_what_cannot_be_read_does_not():
    old = RouterRig(2, reporting__how="answers")
    report = {"rate": 30.0, "queue": 0.0, "x0": 3.0}
    for number in range(6):
        (sent,) = commands_of(
            StartAttempt, old.feed(RequestArrived(f"i{number}", "look", 4000.0), after=10.0)
        )
        old.feed(AttemptStarted(f"i{number}", 0), after=5.0)
        ended = AttemptEnded(f"i{number}", 0, AttemptResult.COMPLETED, sent.endpoint_id, 60.0, True, report)
        old.feed(ended, after=60.0)
    (sent,) = commands_of(StartAttempt, old.feed(RequestArrived("out", "look", 4000.0), after=10.0))
    told = json.loads(json.dumps(warm_state.export_state(old.router)))
    new = RouterRig(2, now=old.now, reporting__how="answers")
    warm_state.import_state(new.router, told)
    slots = [[endpoint.slots for endpoint in one.router.endpoints.all] for one in (new, old)]
    assert slots[0] == slots[1] == [3.0, 3.0]
    means = [one.router.classes.by_name["look"].mean_run_ms() for one in (new, old)]
    assert means[0] == means[1] < 625.0
    here, there = [one.router.endpoints.find(sent.endpoint_id) for one in (new, old)]
    assert here.own_slots == 0.0 and here.other_slots == there.other_slots + 1.0
    # A worker that has started again since, one that is not listed, and figures of another version.
    started = RouterRig(0, now=old.now, reporting__how="answers")
    started.feed(EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(0, since=5.0),)))
    fresh = [endpoint.rate for endpoint in started.router.endpoints.all]
    workers = {"since": {"w0": "x"}, "rate": {"w0": True}, "more": 1}
    odd = {"workers": workers, "kinds": [], "all": {"credit": ""}}
    for each in (told, odd, None, [], {"categories": {"look": {"run_sum": 1e400}}}):
        warm_state.import_state(started.router, each)
    assert [endpoint.rate for endpoint in started.router.endpoints.all] == fresh
    assert started.router.retry_budget.balance > 0.0
    commands_of(StartAttempt, started.feed(RequestArrived("a", "look", 4000.0)))
