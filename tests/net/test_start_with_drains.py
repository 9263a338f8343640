"""Starts with drains in force: no request is sent to a drained endpoint, from the first request on."""

import asyncio
import contextlib
import json

import pytest
from support.dispatcher_process import ENDPOINT_COUNT, DispatcherHost, DispatcherProcess
from support.drain_sets import operators_drain
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.fake_server import SILENT, FakeServer
from support.http_messages import ACCEPTED, CHUNKED_HEAD, chunk, read_message, request


class DrainsProcess(DispatcherProcess):
    """A dispatcher process with one endpoint per name, and with drains in its configuration."""

    def config(self, known=ENDPOINT_COUNT):
        path = super().config(known)
        configuration = json.loads(path.read_text())
        # The list from before any drain; newer states come from the agents or the parent process.
        configuration["known"] = members(*self.site.entries("Ready"), revision=1)
        configuration["settings"]["discovery"] = "automatic"
        configuration |= {"drains": str(self.site.drains)} if self.site.drains else {}
        path.write_text(json.dumps(configuration))
        return path


class DrainsSite(DispatcherHost):
    """Endpoints w0 (drained by operators), w1 (drained in the list) and w2 (ready)."""

    drains = None

    async def __aenter__(self):
        self.endpoints = [await FakeServer(lambda call: ACCEPTED).__aenter__() for _ in range(3)]
        self.worker = self.endpoints[2]
        line = json.dumps(members(*self.entries("Terminating"), revision=9)).encode() + b"\n"

        async def send_list():
            yield CHUNKED_HEAD
            await asyncio.sleep(0.2)  # the agent responds with a delay
            yield chunk(line)
            await asyncio.Event().wait()

        # Only the first watch is answered: the child of a hot restart gets no list from discovery.
        self.watch = await FakeServer(
            lambda call: send_list() if len(self.watch.seen) == 1 else SILENT
        ).__aenter__()
        return self

    async def __aexit__(self, *exception):
        await super().__aexit__(*exception)
        for endpoint in self.endpoints[:2]:
            await endpoint.__aexit__()

    def entries(self, phase):
        phases = ("Ready", phase, "Ready")
        return [member(f"w{i}", self.endpoints[i].address, phases[i]) for i in range(3)]

    async def start_process(self):
        node = DrainsProcess(self)
        self.nodes.append(node)
        await node.start(ENDPOINT_COUNT)
        return node

    async def send_early(self, request_id):
        """Send a request over a connection that is opened as soon as a process listens."""
        async with asyncio.timeout(8.0):
            while True:
                with contextlib.suppress(OSError):
                    return await self.open(request("/look/1", request_id=request_id))
                await asyncio.sleep(0.005)

    async def serve(self, reader, writer, request_id):
        await until(
            lambda: (
                request_id in self.received_ids() or any([endpoint.seen for endpoint in self.endpoints[:2]])
            )
        )
        await self.send_callbacks(request_id)
        assert (await read_message(reader)).target == "200"
        writer.close()


@pytest.mark.parametrize("hot", [False, True])
@on_loop
async def test_no_request_goes_to_a_drained_endpoint_from_the_start_on(tmp_path, hot):
    async with DrainsSite(tmp_path) as site:
        if not hot:
            site.drains = tmp_path / "drains.json"
            site.drains.write_text(json.dumps(operators_drain()))
        node = await site.start_process()
        if hot:
            await node.wait_until_healthy()
            await until(lambda: site.watch.seen)
            assert (await node.call("DRAINS " + json.dumps(operators_drain()))).startswith("200")
            # The child has an old list and no drains in its configuration, and no response from discovery.
            node = await site.start_process()
        for number in range(6):
            await site.serve(*await site.send_early(f"e{number}"), f"e{number}")
        await node.wait_until_healthy()
        for number in range(6):
            await site.serve(*await site.send_early(f"r{number}"), f"r{number}")
        assert [len(endpoint.seen) for endpoint in site.endpoints] == [0, 0, 12]
