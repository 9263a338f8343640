"""The second address: calls good and bad, the figures against what peers saw, and drains."""

import asyncio
import contextlib
import json
import socket
import time

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.fake_server import ABORT
from support.http_messages import ACCEPTED, read_message, request

from dunepulley.__main__ import main
from dunepulley.net import admin, shutdown

HEALTH = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"


def taken(call):
    return ACCEPTED


@pytest.mark.parametrize(
    ("line", "said"),
    [
        ("HEALTH\n", "200 ready\n"),
        ("HEALTH\r\n", "200 ready\n"),
        ("HEALTH", "200 ready\n"),  # the caller's end ends the line, too
        ("LEAVE\n", "200 drained\n"),
        ("JOIN\n", "200 joined\n"),
        ("health\n", "400 calls are HEALTH DUMP LEAVE JOIN WHO WORKERS DRAINS\n"),
        ("\n", "400 calls are HEALTH DUMP LEAVE JOIN WHO WORKERS DRAINS\n"),
        ("\0\x7fLEAVE\n", "400 calls are HEALTH DUMP LEAVE JOIN WHO WORKERS DRAINS\n"),
        ("LEAVE now\n", "400 calls are HEALTH DUMP LEAVE JOIN WHO WORKERS DRAINS\n"),
        ("HEALTH\nLEAVE\n", "400 one line a connection\n"),
        ("LEAVE" * 14000, "400 the line is too long\n"),
        ("", ""),
    ],
)
@on_loop
async def test_calls(line, said):
    async with DispatcherRig(taken) as rig:
        assert await rig.admin(line) == said
        # Nothing of a call that is turned away is done.
        assert bool(rig.frontend.drain_state) == (line == "LEAVE\n")
        await until(lambda: not rig.service.admin.connections)


@on_loop
async def test_a_call_in_pieces_beside_callers_that_say_nothing(monkeypatch):
    async with DispatcherRig(taken, sockets=64) as rig:
        assert rig.service.admin.max_connections == 4
        callers = [await asyncio.open_connection("127.0.0.1", rig.service.admin_port) for _ in range(30)]
        callers[29][1].write(b"HEA")
        assert (await rig.admin("HEALTH\n")).startswith("200")
        for _, writer in callers[:3]:
            # The oldest went, and their going takes no answer from anybody.
            writer.write(b"DUMP\n")
        callers[29][1].write(b"LTH\n")
        assert await callers[29][0].read() == b"200 ready\n"
        assert len(rig.service.admin.connections) <= 4
        monkeypatch.setattr(admin, "CONNECTION_TIMEOUT_S", 0.05)
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.service.admin_port)
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        # One that sends without end and reads nothing holds up nobody.
        writer.close()
        for _, writer in callers:
            writer.close()


@pytest.mark.parametrize("told", ["nowhere", "127.0.0.1:0", 5, "127.0.0.1:70000", "TAKEN"])
def test_a_console_that_cannot_be_ends_with_one_line(tmp_path, capfd, told):
    with socket.create_server(("127.0.0.1", 0)) as held:
        path = tmp_path / "config.json"
        config = {
            "listen": f"127.0.0.1:{held.getsockname()[1]}",
            "discovery": "127.0.0.1:1",
            "settings": {},
            "console": f"127.0.0.1:{held.getsockname()[1]}" if told == "TAKEN" else told,
        }
        if told == "TAKEN":
            with socket.create_server(("127.0.0.1", 0)) as free:
                config["listen"] = f"127.0.0.1:{free.getsockname()[1]}"
        path.write_text(json.dumps(config))
        assert main(["serve", "--config", str(path)]) == 2
    said = capfd.readouterr().err.splitlines()
    assert [line.partition(": ")[0] for line in said if "counters" not in line] == ["dunepulley"]


# ---------------------------------------------------------------- figures


@on_loop
async def test_figures_are_what_peers_saw():
    """Served, refused and failed, cut hand-offs, repeated callbacks, and clients that go."""
    ends = {"a": "done", "b": "failed", "c": "done"}

    def script(call):
        return ABORT if call.headers["x-call-id"] == "cut" else ACCEPTED

    async with DispatcherRig(script, categories__2__name="a.b:1|c\nx") as rig:
        for wi, state in ends.items():
            reader, writer = await rig.connect()
            writer.write(request("/look/1", wi=wi))
            await until(lambda wi=wi: wi in [call.headers.get("x-call-id") for call in rig.endpoints[0].seen])
            told = await rig.metrics()
            assert told["current"] == "1|g"
            for _ in range(2):  # a callback that is repeated counts once
                await rig.callback("w0", state, wi, result="made")
            assert (await read_message(reader)).target in ("200", "500", "503")
            writer.close()
        # Turned away before the module: no descriptor left for it. What cannot be read counts nowhere.
        rig.frontend.max_requests, usual = 0, rig.frontend.max_requests
        assert (await rig.exchange(request("/store/1", b"x", "Idempotency-Key: k", wi="d"))).target == "503"
        rig.frontend.max_requests = usual
        assert (await rig.exchange(request("/look/1", wi="a/b"))).target == "400"
        # The client goes: any count will do, but nothing of it stays open.
        _, writer = await rig.connect()
        writer.write(request("/look/1", wi="gone"))
        await until(lambda: "gone" in rig.frontend.waiting)
        writer.close()
        await until(lambda: "gone" not in rig.frontend.waiting)
        await until(lambda: not rig.core.requests)
        told = await rig.metrics()
        refused = told["transactions.look.deferred"]
        assert told["transactions.look.answered"] == "2|c" and refused in ("0|c", "1|c")
        assert told["transactions.store.deferred"] == "1|c"
        assert told["transactions.a%2eb%3a1%7cc%0ax.errored"] == "0|c"
        assert told["current"] == "0|g" and told["cluster_size"] == "1|g"
        assert told["sends"] == f"{len([c for c in rig.endpoints[0].seen if c.method == 'POST'])}|c"


@on_loop
async def test_avoided_workers_are_told():
    async with DispatcherRig(lambda call: ABORT, taken) as rig:
        assert (await rig.metrics())["cluster_unhealthy"] == "0|g"
        peers = [peer.address for peer in rig.endpoints]
        rig.discovery.announce(members(member("w1", peers[1], "Terminating"), revision=2, complete=False))
        while (await rig.metrics())["cluster_unhealthy"] != "1|g":
            pass
        _, writer = await rig.connect()
        writer.write(request("/look/1"))
        while (await rig.metrics())["cluster_unhealthy"] != "2|g":
            pass
        rig.discovery.announce(members(member("w1", peers[1], "Gone"), revision=3, complete=False))
        while (await rig.metrics())["cluster_size"] != "1|g":
            pass
        assert (await rig.metrics())["cluster_unhealthy"] == "1|g"
        writer.close()


# ---------------------------------------------------------------- drain


@on_loop
async def test_a_drain_loses_nothing_leaves_no_client_and_is_undone(monkeypatch):
    monkeypatch.setattr(shutdown, "LATE_CONNECTIONS_S", 0.15)
    async with DispatcherRig(taken, taken) as rig:

        async def seen(wi):
            await until(
                lambda: wi in [call.headers.get("x-call-id") for peer in rig.endpoints for call in peer.seen]
            )

        worker, worker_writer = await rig.connect()  # a worker keeps its connection for callbacks

        async def event(wi):
            for name in ("w0", "w1"):
                body = json.dumps({"id": wi, "from": name, "state": "done", "result": wi}).encode()
                worker_writer.write(request("/v1/job-events", body, wi=None))
                assert (await read_message(worker)).target == "204"

        await event("nobody's")
        idle, idle_writer = await rig.connect()
        idle_writer.write(HEALTH)
        assert (await read_message(idle)).target == "200"
        silent, silent_writer = await rig.connect()
        half, half_writer = await rig.connect()
        half_writer.write(request("/look/1", wi="half")[:30])
        held, held_writer = await rig.connect()
        held_writer.write(request("/look/1", wi="held"))
        await seen("held")
        begun = time.monotonic()
        assert (await rig.admin("LEAVE\n")).startswith("200")
        assert (await rig.admin("LEAVE\n")).startswith("200")
        assert (await rig.admin("HEALTH\n")).startswith("400 drained")
        assert (await rig.exchange(HEALTH)).target == "503"
        rig.service.reload()
        # The front still sends: what comes is served, and its connection ends.
        new, new_writer = await rig.connect()
        new_writer.write(request("/look/1", wi="new"))
        await seen("new")
        assert not await idle.read() and not await silent.read() and time.monotonic() - begun > 0.14
        assert (await rig.exchange(request("/look/1", wi="late"))).target == "503"
        # Half of a work item may be on its way: it is answered, not cut off.
        half_writer.write(request("/look/1", wi="half")[30:])
        assert (await read_message(half)).target == "503"
        for wi, reader in (("held", held), ("new", new)):
            await event(wi)
            told = await read_message(reader)
            assert (told.target, told.body, told.headers["connection"]) == ("200", wi.encode(), "close")
            assert not await reader.read()
        # Only the worker's connection is left, and the process runs on.
        assert [c.is_endpoint for c in rig.frontend.server.accepted] == [True]
        assert (await rig.admin("JOIN\n")).startswith("200") and (await rig.exchange(HEALTH)).target == "200"
        back, back_writer = await rig.connect()
        back_writer.write(request("/look/1", wi="back"))
        await seen("back")
        await event("back")
        told = await read_message(back)
        assert told.target == "200" and "connection" not in told.headers
        for writer in (idle_writer, silent_writer, half_writer, held_writer, new_writer, back_writer):
            writer.close()
        worker_writer.close()


@on_loop
async def test_join_in_the_middle_of_a_drain_closes_nobody(monkeypatch):
    monkeypatch.setattr(shutdown, "LATE_CONNECTIONS_S", 0.1)
    async with DispatcherRig(taken) as rig:
        reader, writer = await rig.connect()
        assert (await rig.admin("JOIN\n")).startswith("200")
        await rig.admin("LEAVE\n")
        assert (await rig.admin("JOIN\n")).startswith("200")
        assert rig.frontend.timer is None and not rig.frontend.is_rejecting
        writer.write(HEALTH)
        told = await read_message(reader)
        assert told.target == "200" and "connection" not in told.headers
        writer.close()


@pytest.mark.parametrize("closed", [False, True])
@on_loop
async def test_an_end_during_a_drain_goes_on_from_where_the_drain_is(monkeypatch, closed):
    monkeypatch.setattr(shutdown, "LATE_CONNECTIONS_S", 0.05)
    monkeypatch.setattr(shutdown, "LAST_REQUESTS_S", 10.0)
    async with DispatcherRig(taken) as rig:
        reader, writer = await rig.connect()
        writer.write(request("/look/1"))
        await until(lambda: rig.endpoints[0].seen)
        await rig.admin("LEAVE\n")
        if closed:
            await until(lambda: rig.frontend.is_rejecting)
        finish = asyncio.create_task(rig.service.finish())
        await until(lambda: rig.frontend.drain_state == "ending")
        assert (await rig.admin("LEAVE\n")).startswith("200 ending")
        assert (await rig.admin("JOIN\n")).startswith("400 ending")
        await until(lambda: rig.frontend.is_rejecting)
        assert not finish.done()
        await rig.callback("w0", "done", result="made")
        assert (await read_message(reader)).body == b"made"
        await finish
        writer.close()
