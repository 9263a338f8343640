"""Undocumented behaviour of aiohttp that the code relies on: a version without it fails here."""

import asyncio
import inspect
import re
from importlib.metadata import version
from pathlib import Path

import aiohttp
import pytest
from aiohttp.http_writer import StreamWriter
from aiohttp.web_request import BaseRequest
from support.event_loop import on_loop, until
from support.fake_server import ABORT, SILENT, FakeServer
from support.http_messages import ACCEPTED

from dunepulley.net.counters import Counters
from dunepulley.net.messages import PendingRequest, UpstreamAttempt
from dunepulley.net.upstream.client import UpstreamClient
from dunepulley.net.upstream.request_body import AttemptBody
from dunepulley.routing.events import RequestArrived

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = {"policyLimits.connIdleMs": 10000.0}


class StandaloneClient(UpstreamClient):
    """An `UpstreamClient` without a core, to inspect its aiohttp session."""

    def __init__(self, **settings):
        super().__init__(SETTINGS | settings, 64, lambda message: None, Counters())

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        await self.close()


def new_attempt(address):
    pending = PendingRequest(RequestArrived("a", "look", 3000.0), 0.0, "/look/1", {}, b"x")
    return UpstreamAttempt(pending, 0, "w", address, 3000.0, 0.0)


def test_aiohttp_is_pinned_to_the_installed_version():
    pinned = re.search(r"^aiohttp==(\S+)$", (ROOT / "requirements.txt").read_text(), re.MULTILINE)
    assert pinned, "requirements.txt does not pin aiohttp, whose private attributes are used"
    assert version("aiohttp") == pinned[1], (
        "the installed aiohttp differs from the version in requirements.txt"
    )


@on_loop
async def test_private_attributes_exist():
    assert BaseRequest._read_bytes is None, "aiohttp's requests have no _read_bytes"
    async with aiohttp.ClientSession() as session:
        assert session._retry_connection is True, "aiohttp's session has no _retry_connection, or it is off"
        cleanup = getattr(session.connector, "_cleanup", None)
        assert inspect.ismethod(cleanup), "aiohttp's connector has no _cleanup()"
        assert not inspect.signature(cleanup).parameters, "the connector's _cleanup() requires arguments"
        assert session.connector._limit == session.connector.limit, "aiohttp's connector has no _limit"


@pytest.mark.parametrize("retries", [False, True])
@on_loop
async def test_retry_connection_controls_whether_aiohttp_resends_by_itself(retries):
    # aiohttp resends over a new connection when a reused one breaks: the endpoint would see a second call.
    async with (
        FakeServer(lambda call: ACCEPTED if len(peer.seen) == 1 else ABORT) as peer,
        StandaloneClient() as client,
    ):
        assert client.session._retry_connection is False, "UpstreamClient does not disable it"
        client.session._retry_connection = retries
        url = f"http://{peer.address}/jobs/a"
        async with client.session.delete(url) as response:
            await response.read()
        with pytest.raises(aiohttp.ClientError):
            await client.session.delete(url)
        calls = len(peer.seen)
        assert calls == (3 if retries else 2), f"_retry_connection = {retries}: {calls - 1} calls, not one"


@on_loop
async def test_cleanup_closes_only_connections_idle_for_longer_than_the_keep_alive_timeout():
    async with FakeServer(lambda call: ACCEPTED) as peer, StandaloneClient() as client:
        connector = client.session.connector
        async with client.session.get(f"http://{peer.address}/ping") as response:
            await response.read()
        connector._cleanup()
        await asyncio.sleep(0)
        [[(protocol, _)]] = connector._conns.values()
        assert protocol.is_connected(), "_cleanup() closed a connection before its time"
        connector._keepalive_timeout = -1.0  # every idle connection is older than this
        connector._cleanup()
        assert not protocol.is_connected(), "_cleanup() left a connection that was idle for too long"
        await until(lambda: peer.closed == 1)


@on_loop
async def test_limit_bounds_the_connections_in_use():
    async with FakeServer(lambda call: SILENT) as peer, StandaloneClient() as client:
        connector = client.session.connector
        initial_limit = connector.limit
        client.set_limit_fraction(0.5)
        assert connector.limit < initial_limit, "setting _limit does not change the limit"
        connector._limit = 1
        url = f"http://{peer.address}/ping"
        first = asyncio.create_task(client.session.get(url))
        await until(lambda: peer.seen)
        with pytest.raises(aiohttp.ConnectionTimeoutError):
            await client.session.get(url, timeout=aiohttp.ClientTimeout(connect=0.1))
        assert peer.connections == 1, "setting _limit does not bound the connections in use"
        first.cancel()


@on_loop
async def test_no_byte_is_sent_before_the_body_is_written():
    # `AttemptBody` checks whether an attempt may still start; a head sent before would have started it.
    sent_bytes = []

    class ObservedBody(AttemptBody):
        async def write_with_length(self, writer, content_length):
            sent_bytes.append(writer.transport.get_write_buffer_size() or writer.output_size)
            await super().write_with_length(writer, content_length)

    async with FakeServer(lambda call: ACCEPTED) as peer, StandaloneClient() as client:
        body = ObservedBody(new_attempt(peer.address), Counters(), lambda attempt: True)
        async with client.session.post(f"http://{peer.address}/look/1", data=body) as response:
            assert response.status == 202
    assert sent_bytes == [0], "aiohttp sends the head before the body's write_with_length()"


def test_writer_can_write_without_draining():
    names = inspect.signature(StreamWriter.write).parameters
    assert "drain" in names, "aiohttp's StreamWriter.write() has no parameter drain"
