"""Hot restarts with real processes, and the protocol's error cases."""

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


def accept(call):
    return ACCEPTED


async def until_listening(node):
    async with asyncio.timeout(8.0):
        while not await node.call("HEALTH"):
            await asyncio.sleep(0.01)


@on_loop
async def test_a_hot_restart_answers_every_request_and_rejects_no_connection(tmp_path):
    async with DispatcherHost(tmp_path) as site:
        parent = await site.start_healthy()
        in_flight, in_flight_writer = await site.open(request("/look/1", request_id="held"))
        kept_alive, kept_alive_writer = await site.open(HEALTH_REQUEST)
        assert (await read_message(kept_alive)).target == "200"
        await site.seen("held")
        # Connections wait in the accept queue while no process accepts, and throughout the hot restart.
        parent.process.send_signal(signal.SIGSTOP)
        queued = [await site.open(request("/look/1", request_id=f"q{number}")) for number in range(20)]
        parent.process.send_signal(signal.SIGCONT)
        child = await site.start_healthy()
        assert (await parent.call("HEALTH")).startswith("400 handed over")
        assert (await parent.call("JOIN")).startswith("400")
        assert (await site.exchange(HEALTH_REQUEST)).target == "200"
        late, late_writer = await site.open(request("/look/1", request_id="late"))
        # The parent answers one more request on an existing connection, and then closes it.
        kept_alive_writer.write(HEALTH_REQUEST)
        message = await read_message(kept_alive)
        assert (message.target, message.headers.get("connection")) == ("200", "close")
        # All callbacks reach the child; those for requests of the parent are forwarded.
        readers = {"held": in_flight, "late": late} | {
            f"q{n}": reader for n, (reader, _) in enumerate(queued)
        }
        unanswered = set(readers)
        while unanswered:
            for request_id in sorted(unanswered & set(site.received_ids())):
                assert await site.send_callbacks(request_id) == {"204"}
                message = await read_message(readers[request_id])
                assert (message.target, message.body) == ("200", request_id.encode())
                unanswered.discard(request_id)
            await asyncio.sleep(0.005)
        assert len(site.received_ids()) == len(set(site.received_ids())) == 22
        # Without open requests the parent ends by itself, and the child continues alone.
        code, output = await parent.wait_for_exit()
        assert code == 0 and "fault" not in output and "the child process serves" in output
        assert await child.metric("current") == "0|g" and await child.metric("cluster_size") == "4|g"
        assert os.path.exists(site.path)
        for _, writer in (
            *queued,
            (in_flight, in_flight_writer),
            (kept_alive, kept_alive_writer),
            (late, late_writer),
        ):
            writer.close()


@on_loop
async def test_two_hot_restarts_overlap(tmp_path):
    async with DispatcherHost(tmp_path) as site:
        nodes, readers = [], []
        for number in range(3):  # each has one request in flight
            nodes.append(await site.start_healthy())
            readers.append(await site.open(request("/look/1", request_id=f"i{number}")))
            await site.seen(*[f"i{at}" for at in range(number + 1)])
        # Callbacks are forwarded over up to two links to the process with the request, which answers.
        for number, (reader, writer) in enumerate(readers):
            assert await site.send_callbacks(f"i{number}") == {"204"}
            assert (await read_message(reader)).body == f"i{number}".encode()
            writer.close()
        for node in nodes[:2]:
            assert (await node.wait_for_exit())[0] == 0
        assert await nodes[2].metric("sends") == "1|c"


@on_loop
async def test_a_child_that_never_becomes_ready_changes_nothing(tmp_path):
    async with DispatcherHost(tmp_path) as site:
        parent = await site.start_healthy()
        # Requests the state like a starting child, and then sends nothing.
        silent_child = hot_restart.request_parent_state(site.path, "hung")
        assert (
            silent_child.state["known"]["revision"] == 7
            and len(silent_child.state["known"]["members"]) == ENDPOINT_COUNT
        )
        assert (await parent.call("HEALTH")).startswith("200")
        # Meanwhile another child is refused, which it logs on one line.
        code, output = await (await site.start()).wait_for_exit()
        assert code == 2 and "another hot restart is in progress" in output
        assert [line for line in output.splitlines() if "counters" not in line] == [output.splitlines()[0]]
        # The child ends and closes the passed socket: no request is lost, and the next child is accepted.
        silent_child.link.close()
        silent_child.listening.close()
        reader, writer = await site.open(request("/look/1", request_id="a"))
        await site.seen("a")
        assert await site.send_callbacks("a") == {"204"} and (await read_message(reader)).body == b"a"
        await site.start_healthy()
        assert (await parent.wait_for_exit())[0] == 0
        writer.close()


@on_loop
async def test_a_child_without_endpoints_waits_and_can_be_terminated(tmp_path):
    async with DispatcherHost(tmp_path) as site:
        parent = await site.start(known=0)
        await until(lambda: os.path.exists(site.path))
        child = await site.start(known=0)
        await until_listening(child)
        assert (await child.call("HEALTH")).startswith("400")
        child.process.send_signal(signal.SIGTERM)
        code, output = await child.wait_for_exit()
        assert code == 0 and "took over" not in output and parent.process.returncode is None
        # The child's configured list is used if the parent has no list.
        next_child = await site.start_healthy()
        assert await next_child.metric("cluster_size") == "4|g" and (await parent.wait_for_exit())[0] == 0


async def restarted_with_a_request_in_flight(site):
    """Return a parent with a request in flight, its child after a hot restart, and the request's stream."""
    parent = await site.start_healthy()
    in_flight, in_flight_writer = await site.open(request("/look/1", request_id="held"))
    await site.seen("held")
    return parent, await site.start_healthy(), in_flight, in_flight_writer


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM])
@on_loop
async def test_the_parent_serves_again_if_the_child_ends(tmp_path, signal_number):
    async with DispatcherHost(tmp_path) as site:
        parent, child, in_flight, in_flight_writer = await restarted_with_a_request_in_flight(site)
        assert (await parent.call("HEALTH")).startswith("400")
        child.process.send_signal(signal_number)
        await parent.wait_until_healthy()
        assert (await site.exchange(HEALTH_REQUEST)).target == "200"
        reader, writer = await site.open(request("/look/1", request_id="after"))
        await site.seen("held", "after")
        for request_id, stream in (("held", in_flight), ("after", reader)):
            assert await site.send_callbacks(request_id) == {"204"}
            assert (await read_message(stream)).body == request_id.encode()
        # The next hot restart finds the parent.
        next_child = await site.start_healthy()
        assert (await parent.wait_for_exit())[0] == 0 and await next_child.metric("cluster_size") == "4|g"
        in_flight_writer.close()
        writer.close()


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM])
@on_loop
async def test_the_child_serves_if_the_parent_is_ended_early(tmp_path, signal_number):
    async with DispatcherHost(tmp_path) as site:
        parent, child, in_flight, in_flight_writer = await restarted_with_a_request_in_flight(site)
        parent.process.send_signal(signal_number)
        if signal_number == signal.SIGTERM:
            # The parent still finishes its request, with the callback that the child forwards.
            assert await site.send_callbacks("held") == {"204"}
            assert (await read_message(in_flight)).body == b"held"
            assert (await parent.wait_for_exit())[0] == 0
        else:
            await parent.process.wait()
            # The request is lost with the parent; the callback is answered all the same.
            assert await site.send_callbacks("held") == {"204"}
        reader, writer = await site.open(request("/look/1", request_id="after"))
        await site.seen("held", "after")
        await site.send_callbacks("after")
        assert (await read_message(reader)).body == b"after"
        assert (await child.call("HEALTH")).startswith("200")
        in_flight_writer.close()
        writer.close()


@pytest.mark.parametrize("existing", ["socket", "file", "folder", "nothing"])
@on_loop
async def test_starts_whatever_exists_at_the_socket_path(tmp_path, existing):
    async with DispatcherHost(tmp_path) as site:
        if existing == "socket":  # left over from a process that was killed
            stale = socket.socket(socket.AF_UNIX)
            stale.bind(site.path)
            stale.close()
        elif existing == "file":
            with open(site.path, "w") as file:
                file.write("somebody's")
        elif existing == "folder":
            os.mkdir(site.path)
        node = await site.start_healthy()
        if existing in ("socket", "nothing"):
            await until(lambda: os.path.exists(site.path))
            await site.start_healthy()
            assert (await node.wait_for_exit())[0] == 0
        else:
            # A foreign file is not removed: the process serves, and logs that no child will find it.
            node.process.send_signal(signal.SIGTERM)
            code, output = await node.wait_for_exit()
            assert (
                code == 0 and "cannot listen for a child process at" in output and os.path.lexists(site.path)
            )


@on_loop
async def test_without_tmpdir_a_second_process_does_not_start(tmp_path):
    async with DispatcherHost(tmp_path, scratch=False) as site:
        parent = await site.start_healthy()
        code, output = await (await site.start()).wait_for_exit()
        assert code == 2 and "cannot listen at" in output
        assert (await parent.call("HEALTH")).startswith("200")


@pytest.mark.parametrize(
    ("reply", "fragment"),
    [
        (b'{"refused":"busy"}\n', "busy"),
        (b"{}\n", "did not pass exactly one listening socket"),
        (b"[]\n", "does not hand over"),
        (b"nonsense\n", "literal"),
        (b"", "does not hand over"),
        (None, "does not respond"),
    ],
)
def test_an_invalid_reply_of_the_listener_is_reported_on_one_line(tmp_path, monkeypatch, reply, fragment):
    monkeypatch.setattr(hot_restart.child, "PARENT_TIMEOUT_S", 0.2)
    path = hot_restart.socket_path(str(tmp_path), "127.0.0.1", 8080)
    with socket.socket(socket.AF_UNIX) as listener:
        listener.bind(path)
        listener.listen()
        if reply is not None:

            def answer():
                link, _ = listener.accept()
                link.recv(100)
                link.sendall(reply)
                link.close()

            threading.Thread(target=answer, daemon=True).start()
        with pytest.raises(hot_restart.HotRestartError, match=fragment) as error:
            hot_restart.request_parent_state(path, "n0")
        assert "\n" not in str(error.value)


def test_a_long_path_to_the_socket_is_supported(tmp_path):
    folder = tmp_path / ("d" * 100)
    folder.mkdir()
    assert (
        hot_restart.request_parent_state(hot_restart.socket_path(str(folder), "127.0.0.1", 1), "n0") is None
    )
    assert hot_restart.socket_path("", "127.0.0.1", 1) == ""
    assert hot_restart.request_parent_state("", "n0") is None


@on_loop
async def test_a_callback_gets_503_if_the_other_process_does_not_answer(monkeypatch):
    monkeypatch.setattr(hot_restart.link, "ANSWER_TIMEOUT_S", 0.05)
    local_end, remote_end = socket.socketpair()
    async with DispatcherRig(accept) as rig:
        link = rig.service.hot_restart.parent = await hot_restart.Link.over(local_end)
        assert (await rig.callback("w0", "done", "elsewhere", result="x")).target == "503"
        assert json.loads(remote_end.recv(9999))["callback"]
        link.close()
        # After the link was closed, the answer comes at once and is not 503.
        assert await link.forward_callback(b"x") is None
        rig.service.hot_restart.parent = None
        # A callback for a request that is open in no process.
        assert (await rig.callback("w0", "done", "elsewhere", result="x")).target == "204"
    remote_end.close()


def test_a_list_is_unchanged_after_formatting_and_parsing():
    message = members(
        member("w0", "127.0.0.1:1", up_since_ms=5.5),
        member("w1", "127.0.0.1:2", "Terminating", size=0.5),
        {"id": "w2", "phase": "Ready"},
        revision=9,
    )
    endpoint_list = parse_endpoint_list(message)
    parsed = parse_endpoint_list(
        json.loads(json.dumps(format_endpoint_list(endpoint_list.update.entries, endpoint_list.addresses, 9)))
    )
    assert parsed == endpoint_list


def test_only_one_of_two_processes_spends_the_slow_start_budget():
    def sent(rig):
        return len(
            commands_of(StartAttempt, rig.feed(RequestArrived(f"i{rig.now}", "look", 4000.0), after=1.0))
        )

    rig = RouterRig(0, now=100000.0, balancers=1.0)
    rig.feed(EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(0, since=98000.0),)))
    rig.feed(SlowStartBudgetAssigned(False))
    assert sum([sent(rig) for _ in range(5)]) == 0
    # Requests that the other process sent count for one more window.
    rig.feed(SlowStartBudgetAssigned(True))
    assert sent(rig) == 0
    rig.feed(after=1000.0)
    assert sent(rig) == 1
    rig.feed(SlowStartBudgetAssigned(False))
    rig.feed(after=1000.0)
    assert sent(rig) == 0


def test_warm_state_is_imported_and_invalid_parts_are_ignored():
    parent = RouterRig(2, reporting__how="answers")
    report = {"rate": 30.0, "queue": 0.0, "x0": 3.0}
    for number in range(6):
        (sent,) = commands_of(
            StartAttempt, parent.feed(RequestArrived(f"i{number}", "look", 4000.0), after=10.0)
        )
        parent.feed(AttemptStarted(f"i{number}", 0), after=5.0)
        ended = AttemptEnded(f"i{number}", 0, AttemptResult.COMPLETED, sent.endpoint_id, 60.0, True, report)
        parent.feed(ended, after=60.0)
    (sent,) = commands_of(StartAttempt, parent.feed(RequestArrived("out", "look", 4000.0), after=10.0))
    state = json.loads(json.dumps(warm_state.export_state(parent.router)))
    child = RouterRig(2, now=parent.now, reporting__how="answers")
    warm_state.import_state(child.router, state)
    slots = [[endpoint.slots for endpoint in rig.router.endpoints.all] for rig in (child, parent)]
    assert slots[0] == slots[1] == [3.0, 3.0]
    means = [rig.router.classes.by_name["look"].mean_run_ms() for rig in (child, parent)]
    assert means[0] == means[1] < 625.0
    in_child, in_parent = [rig.router.endpoints.find(sent.endpoint_id) for rig in (child, parent)]
    assert in_child.own_slots == 0.0 and in_child.other_slots == in_parent.other_slots + 1.0
    # State of an endpoint that has restarted since, of one that is not listed, and of another version.
    started = RouterRig(0, now=parent.now, reporting__how="answers")
    started.feed(EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(0, since=5.0),)))
    fresh = [endpoint.rate for endpoint in started.router.endpoints.all]
    workers = {"since": {"w0": "x"}, "rate": {"w0": True}, "more": 1}
    invalid = {"workers": workers, "kinds": [], "all": {"credit": ""}}
    for document in (state, invalid, None, [], {"categories": {"look": {"run_sum": 1e400}}}):
        warm_state.import_state(started.router, document)
    assert [endpoint.rate for endpoint in started.router.endpoints.all] == fresh
    assert started.router.retry_budget.balance > 0.0
    commands_of(StartAttempt, started.feed(RequestArrived("a", "look", 4000.0)))
