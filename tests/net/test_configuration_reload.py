"""Reloads in quick succession: only the discovery of the last configuration is watched."""

import asyncio
import json
import signal

import pytest
from support.client_sockets import ClientSocket
from support.delayed_attempts import attempts
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.fake_server import FakeServer
from support.http_messages import ACCEPTED, CHUNKED_HEAD, chunk, read_message, request
from test_service import Process

NAMES = [f"w{number}" for number in range(4)]


class ListServer(FakeServer):
    """A discovery that sends a list with one endpoint under four names, and keeps its watches open."""

    def __init__(self, endpoint: FakeServer) -> None:
        super().__init__(lambda call: None)
        message = members(*[member(name, endpoint.address) for name in NAMES])
        self.response = CHUNKED_HEAD + chunk(json.dumps(message).encode() + b"\n")

    async def _respond(self, reply, reader, writer):
        writer.write(self.response)
        await reader.read()
        return False


def open_watches(*discoveries):
    return [peer.connections - peer.closed for peer in discoveries]


@pytest.mark.parametrize("pause_s", [None, 0.0, 0.003])
@on_loop
async def test_after_quick_reloads_only_the_last_discovery_is_watched(tmp_path, pause_s):
    path = tmp_path / "config.json"

    async with (
        FakeServer(lambda call: ACCEPTED) as wrong,
        FakeServer(lambda call: ACCEPTED) as right,
        ListServer(wrong) as first,
        ListServer(wrong) as second,
        ListServer(right) as last,
        DispatcherRig(lambda call: ACCEPTED, familyInfo__tellsStart=False) as rig,
        ClientSocket(rig.service.port) as before,
        ClientSocket(rig.service.port) as after,
    ):
        await before.send(request("/look/1", request_id="before"))
        await until(lambda: attempts(rig, "before"))
        listen = ("127.0.0.1", rig.service.port)
        rig.service.config = rig.service.config._replace(path=str(path), listen=listen)

        def file_text(discovery):
            content = {"name": "n0", "listen": "127.0.0.1:1", "discovery": discovery.address, "settings": {}}
            return json.dumps(content)

        file_texts = [
            file_text(first),
            file_text(second)[:-20],
            file_text(second),
            file_text(first),
            file_text(last),
            file_text(first)[:30],
        ]
        for number, content in enumerate(file_texts):
            path.write_text(content)
            rig.service.reload()
            # An incomplete file is ignored: the previous configuration stays in force.
            assert rig.service.watch.address == [first, first, second, first, last, last][number].address
            if pause_s is not None:
                await asyncio.sleep(pause_s)
        await until(lambda: set(rig.core.endpoints.addresses.values()) == {right.address})
        servers = (first, second, last)
        await until(lambda: open_watches(*servers) == [0, 0, 1])
        assert last.connections == 1 and rig.core.counters["reloads"] == len(file_texts)
        await after.send(request("/look/1", request_id="after"))
        await until(lambda: right.seen)
        for request_id, client in (("before", before), ("after", after)):
            for name in NAMES:
                await rig.callback(name, "done", request_id, result="made")
            assert (await client.read_outcome()).status == "200"
        assert not wrong.seen and not rig.core.counters["faults"]


@on_loop
async def test_after_many_sighups_within_milliseconds_the_last_discovery_is_watched(tmp_path):
    async with (
        FakeServer(lambda call: ACCEPTED) as wrong,
        FakeServer(lambda call: ACCEPTED) as right,
        ListServer(wrong) as first,
        ListServer(wrong) as second,
        ListServer(right) as last,
        Process(tmp_path, wrong, first) as node,
    ):
        before = await node.open(request("/look/1", request_id="before"))
        await until(lambda: wrong.seen)
        file_text = node.path.read_text()
        for discovery in (second, first, second, first, last):
            for content in (file_text[:200], file_text.replace(first.address, discovery.address)):
                node.path.write_text(content)
                node.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.003)
        await until(lambda: open_watches(first, second, last) == [0, 0, 1])
        assert last.connections == 1 and len(wrong.seen) == 1

        after = await node.open(request("/look/1", request_id="after"))
        await until(lambda: right.seen)
        for request_id, (reader, writer) in (("before", before), ("after", after)):
            await node.send_callbacks(request_id, "done")
            assert (await read_message(reader)).target == "200"
            writer.close()
        assert node.process.returncode is None
