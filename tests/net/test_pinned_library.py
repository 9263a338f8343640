"""What is relied on of aiohttp beside its documented interface: a newer version that lacks it fails here."""

import asyncio
import inspect
import re
from importlib.metadata import version
from pathlib import Path

import aiohttp
import pytest
from aiohttp.http_writer import StreamWriter
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


class Carrier(UpstreamClient):
    """The endpoints' side alone, on which each private part can be looked at."""

    def __init__(self, **settings):
        super().__init__(SETTINGS | settings, 64, lambda message: None, Counters())

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        await self.close()


def attempt(address):
    job = PendingRequest(RequestArrived("a", "look", 3000.0), 0.0, "/look/1", {}, b"x")
    return UpstreamAttempt(job, 0, "w", address, 3000.0, 0.0)


def test_the_version_is_pinned_and_is_the_one_under_test():
    pinned = re.search(r"^aiohttp==(\S+)$", (ROOT / "requirements.txt").read_text(), re.MULTILINE)
    assert pinned, "requirements.txt does not pin aiohttp, of which private parts are used"
    assert version("aiohttp") == pinned[1], "these tests ran with another aiohttp than the one pinned"


@on_loop
async def test_the_private_parts_are_there():
    async with aiohttp.ClientSession() as session:
        assert session._retry_connection is True, "aiohttp's session has no _retry_connection, or it is off"
        cleanup = getattr(session.connector, "_cleanup", None)
        assert inspect.ismethod(cleanup), "its connector has no _cleanup()"
        assert not inspect.signature(cleanup).parameters, "its connector's _cleanup() wants arguments"
        assert session.connector._limit == session.connector.limit, "its connector has no _limit"


@pytest.mark.parametrize("again", [False, True])
@on_loop
async def test_retry_connection_says_whether_the_library_sends_again_by_itself(again):
    # Over a kept connection that breaks; what it repeats by itself would be a second call unknown to us.
    async with (
        FakeServer(lambda call: ACCEPTED if len(peer.seen) == 1 else ABORT) as peer,
        Carrier() as carrier,
    ):
        assert carrier.session._retry_connection is False, "UpstreamClient does not switch it off"
        carrier.session._retry_connection = again
        url = f"http://{peer.address}/jobs/a"
        async with carrier.session.delete(url) as told:
            await told.read()
        with pytest.raises(aiohttp.ClientError):
            await carrier.session.delete(url)
        calls = len(peer.seen)
        assert calls == (3 if again else 2), f"_retry_connection = {again} led to {calls - 1} calls for one"


@on_loop
async def test_cleanup_closes_the_idle_connections_that_are_due_and_no_others():
    async with FakeServer(lambda call: ACCEPTED) as peer, Carrier() as carrier:
        connector = carrier.session.connector
        async with carrier.session.get(f"http://{peer.address}/ping") as told:
            await told.read()
        connector._cleanup()
        await asyncio.sleep(0)
        [[(protocol, _)]] = connector._conns.values()
        assert protocol.is_connected(), "_cleanup() closed a connection before its time"
        connector._keepalive_timeout = -1.0  # idle for longer than that
        connector._cleanup()
        assert not protocol.is_connected(), "_cleanup() left a connection that was idle for too long"
        await until(lambda: peer.closed == 1)


@on_loop
async def test_limit_bounds_the_connections_that_are_in_use_at_once():
    async with FakeServer(lambda call: SILENT) as peer, Carrier() as carrier:
        connector = carrier.session.connector
        before = connector.limit
        carrier.set_connection_fraction(0.5)
        assert connector.limit < before, "setting _limit does not change the limit"
        connector._limit = 1
        url = f"http://{peer.address}/ping"
        first = asyncio.create_task(carrier.session.get(url))
        await until(lambda: peer.seen)
        with pytest.raises(aiohttp.ConnectionTimeoutError):
            await carrier.session.get(url, timeout=aiohttp.ClientTimeout(connect=0.1))
        assert peer.connections == 1, "setting _limit does not bound the connections in use"
        first.cancel()


@on_loop
async def test_nothing_leaves_before_the_body_is_asked_to_write():
    # `Body` asks whether an attempt may still begin; a head that went out before would have begun it.
    sent = []

    class Watched(AttemptBody):
        async def write_with_length(self, writer, content_length):
            sent.append(writer.transport.get_write_buffer_size() or writer.output_size)
            await super().write_with_length(writer, content_length)

    async with FakeServer(lambda call: ACCEPTED) as peer, Carrier() as carrier:
        body = Watched(attempt(peer.address), Counters(), lambda attempt: True)
        async with carrier.session.post(f"http://{peer.address}/look/1", data=body) as told:
            assert told.status == 202
    assert sent == [0], "aiohttp writes a head before it asks the body to write itself"


def test_a_writer_can_write_without_waiting():
    names = inspect.signature(StreamWriter.write).parameters
    assert "drain" in names, "aiohttp's writer always waits for its buffer"
