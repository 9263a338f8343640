"""The admin interface: valid and invalid commands, metrics compared with observed requests, and drains."""

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
from dunepulley.load.ports import free_port
from dunepulley.net import admin, shutdown

HEALTH = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"


def accept(call):
    return ACCEPTED


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("HEALTH\n", "200 ready\n"),
        ("HEALTH\r\n", "200 ready\n"),
        ("HEALTH", "200 ready\n"),  # the end of the stream ends the line
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
async def test_command_lines_and_their_replies(line, expected):
    async with DispatcherRig(accept) as rig:
        assert await rig.admin(line) == expected
        # A rejected command has no effect.
        assert bool(rig.frontend.drain_state) == (line == "LEAVE\n")
        await until(lambda: not rig.service.admin.connections)


@on_loop
async def test_a_command_in_pieces_beside_silent_connections(monkeypatch):
    async with DispatcherRig(accept, sockets=64) as rig:
        assert rig.service.admin.max_connections == 4
        callers = [await asyncio.open_connection("127.0.0.1", rig.service.admin_port) for _ in range(30)]
        callers[29][1].write(b"HEA")
        assert (await rig.admin("HEALTH\n")).startswith("200")
        for _, writer in callers[:3]:
            # The oldest connections were closed, which affects no other connection.
            writer.write(b"DUMP\n")
        callers[29][1].write(b"LTH\n")
        assert await callers[29][0].read() == b"200 ready\n"
        assert len(rig.service.admin.connections) <= 4
        monkeypatch.setattr(admin, "CONNECTION_TIMEOUT_S", 0.05)
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.service.admin_port)
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        # Connections that neither send a line nor read a reply block no other.
        writer.close()
        for _, writer in callers:
            writer.close()


@pytest.mark.parametrize("address", ["nowhere", "127.0.0.1:0", 5, "127.0.0.1:70000", "TAKEN"])
def test_an_unusable_admin_address_ends_the_start_with_one_line(tmp_path, capfd, address):
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        path = tmp_path / "config.json"
        config = {
            "listen": f"127.0.0.1:{occupied.getsockname()[1]}",
            "discovery": "127.0.0.1:1",
            "settings": {},
            "console": f"127.0.0.1:{occupied.getsockname()[1]}" if address == "TAKEN" else address,
        }
        if address == "TAKEN":
            config["listen"] = f"127.0.0.1:{free_port()}"
        path.write_text(json.dumps(config))
        assert main(["serve", "--config", str(path)]) == 2
    lines = capfd.readouterr().err.splitlines()
    assert [line.partition(": ")[0] for line in lines if "counters" not in line] == ["dunepulley"]


# ---------------------------------------------------------------- metrics


@on_loop
async def test_metrics_match_the_observed_requests():
    """Served, rejected and failed requests, aborted attempts, repeated callbacks, and disconnects."""
    ends = {"a": "done", "b": "failed", "c": "done"}

    def script(call):
        return ABORT if call.headers["x-call-id"] == "cut" else ACCEPTED

    async with DispatcherRig(script, categories__2__name="a.b:1|c\nx") as rig:
        for request_id, state in ends.items():
            reader, writer = await rig.connect()
            writer.write(request("/look/1", request_id=request_id))
            await until(
                lambda request_id=request_id: (
                    request_id in [call.headers.get("x-call-id") for call in rig.endpoints[0].seen]
                )
            )
            metrics = await rig.metrics()
            assert metrics["current"] == "1|g"
            for _ in range(2):  # a callback that is repeated counts once
                await rig.callback("w0", state, request_id, result="made")
            assert (await read_message(reader)).target in ("200", "500", "503")
            writer.close()
        # Rejected before the router, for lack of descriptors. A malformed request is not counted.
        rig.frontend.max_requests, usual = 0, rig.frontend.max_requests
        assert (
            await rig.exchange(request("/store/1", b"x", "Idempotency-Key: k", request_id="d"))
        ).target == "503"
        rig.frontend.max_requests = usual
        assert (await rig.exchange(request("/look/1", request_id="a/b"))).target == "400"
        # The client disconnects: the request may be counted either way, but must not stay open.
        _, writer = await rig.connect()
        writer.write(request("/look/1", request_id="gone"))
        await until(lambda: "gone" in rig.frontend.waiting)
        writer.close()
        await until(lambda: "gone" not in rig.frontend.waiting)
        await until(lambda: not rig.core.requests)
        metrics = await rig.metrics()
        rejected = metrics["transactions.look.deferred"]
        assert metrics["transactions.look.answered"] == "2|c" and rejected in ("0|c", "1|c")
        assert metrics["transactions.store.deferred"] == "1|c"
        assert metrics["transactions.a%2eb%3a1%7cc%0ax.errored"] == "0|c"
        assert metrics["current"] == "0|g" and metrics["cluster_size"] == "1|g"
        assert metrics["sends"] == f"{len([c for c in rig.endpoints[0].seen if c.method == 'POST'])}|c"


@on_loop
async def test_avoided_endpoints_are_counted():
    async with DispatcherRig(lambda call: ABORT, accept) as rig:
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
async def test_a_drain_answers_every_request_and_can_be_undone(monkeypatch):
    monkeypatch.setattr(shutdown, "LATE_CONNECTION_WINDOW_S", 0.15)
    async with DispatcherRig(accept, accept) as rig:

        async def until_seen(request_id):
            await until(
                lambda: (
                    request_id
                    in [call.headers.get("x-call-id") for peer in rig.endpoints for call in peer.seen]
                )
            )

        endpoint, endpoint_writer = await rig.connect()  # an endpoint keeps its connection for callbacks

        async def send_callback(request_id):
            for name in ("w0", "w1"):
                body = json.dumps(
                    {"id": request_id, "from": name, "state": "done", "result": request_id}
                ).encode()
                endpoint_writer.write(request("/v1/job-events", body, request_id=None))
                assert (await read_message(endpoint)).target == "204"

        await send_callback("nobody's")
        idle, idle_writer = await rig.connect()
        idle_writer.write(HEALTH)
        assert (await read_message(idle)).target == "200"
        silent, silent_writer = await rig.connect()
        partial, partial_writer = await rig.connect()
        partial_writer.write(request("/look/1", request_id="half")[:30])
        in_flight, in_flight_writer = await rig.connect()
        in_flight_writer.write(request("/look/1", request_id="held"))
        await until_seen("held")
        started_s = time.monotonic()
        assert (await rig.admin("LEAVE\n")).startswith("200")
        assert (await rig.admin("LEAVE\n")).startswith("200")
        assert (await rig.admin("HEALTH\n")).startswith("400 drained")
        assert (await rig.exchange(HEALTH)).target == "503"
        rig.service.reload()
        # The front proxy still opens connections: their requests are served, and the connections closed.
        new, new_writer = await rig.connect()
        new_writer.write(request("/look/1", request_id="new"))
        await until_seen("new")
        assert not await idle.read() and not await silent.read() and time.monotonic() - started_s > 0.14
        assert (await rig.exchange(request("/look/1", request_id="late"))).target == "503"
        # A partly received request may still be completed: it gets a response, not a closed connection.
        partial_writer.write(request("/look/1", request_id="half")[30:])
        assert (await read_message(partial)).target == "503"
        for request_id, reader in (("held", in_flight), ("new", new)):
            await send_callback(request_id)
            reply = await read_message(reader)
            assert (reply.target, reply.body, reply.headers["connection"]) == (
                "200",
                request_id.encode(),
                "close",
            )
            assert not await reader.read()
        # Only the endpoint's connection stays open, and the process keeps running.
        assert [c.is_endpoint for c in rig.frontend.server.accepted] == [True]
        assert (await rig.admin("JOIN\n")).startswith("200") and (await rig.exchange(HEALTH)).target == "200"
        back, back_writer = await rig.connect()
        back_writer.write(request("/look/1", request_id="back"))
        await until_seen("back")
        await send_callback("back")
        reply = await read_message(back)
        assert reply.target == "200" and "connection" not in reply.headers
        for writer in (idle_writer, silent_writer, partial_writer, in_flight_writer, new_writer, back_writer):
            writer.close()
        endpoint_writer.close()


@on_loop
async def test_join_during_a_drain_closes_no_connection(monkeypatch):
    monkeypatch.setattr(shutdown, "LATE_CONNECTION_WINDOW_S", 0.1)
    async with DispatcherRig(accept) as rig:
        reader, writer = await rig.connect()
        assert (await rig.admin("JOIN\n")).startswith("200")
        await rig.admin("LEAVE\n")
        assert (await rig.admin("JOIN\n")).startswith("200")
        assert rig.frontend.timer is None and not rig.frontend.is_rejecting
        writer.write(HEALTH)
        reply = await read_message(reader)
        assert reply.target == "200" and "connection" not in reply.headers
        writer.close()


@pytest.mark.parametrize("closed", [False, True])
@on_loop
async def test_a_shutdown_during_a_drain_continues_it(monkeypatch, closed):
    monkeypatch.setattr(shutdown, "LATE_CONNECTION_WINDOW_S", 0.05)
    monkeypatch.setattr(shutdown, "FINISH_WINDOW_S", 10.0)
    async with DispatcherRig(accept) as rig:
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
