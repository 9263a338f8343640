"""Failing calls to discovery: which errors restart the staleness bound of the endpoint list."""

import asyncio
import contextlib
import json
import random

import pytest
from support.event_loop import on_loop, until
from support.fake_discovery import members
from support.fake_server import FakeServer
from support.faulty_sockets import FaultySockets
from support.http_messages import (
    CHUNKED_HEAD,
    chunk,
    response,
)
from support.system_call_faults import (
    OF_THE_ENDPOINT,
    SAMPLE_OF_THIS_HOST,
)

from dunepulley.net import list_polling
from dunepulley.net.counters import Counters
from dunepulley.net.discovery import Discovery


class RecordingBackoff(list_polling.PollBackoff):
    """Records, for each call, the time from which the age of the list is counted."""

    def __init__(self):
        super().__init__(random.Random(1))
        self.current_since_s = []

    def next_delay_s(self, end, received, age_s=0.0):
        self.current_since_s.append(asyncio.get_running_loop().time() - age_s)
        return 0.01


async def one_line():
    yield CHUNKED_HEAD + chunk(json.dumps(members(revision=5)).encode() + b"\n")


@contextlib.asynccontextmanager
async def open_watch(address):
    """Open a watch on discovery; yields the received lists, the counters and the backoff."""
    received, counters, backoff = [], Counters(), RecordingBackoff()
    watch = Discovery(address, 3, received.append, counters, backoff)
    task = asyncio.create_task(watch.run())
    yield received, counters, backoff
    assert not task.done()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@pytest.mark.parametrize(("call", "error"), SAMPLE_OF_THIS_HOST)
@on_loop
async def test_a_local_error_does_not_restart_the_staleness_bound(call, error):
    # Guards against counting the bound of 6 s from the last of several calls that never left this host.
    clock = asyncio.get_running_loop().time
    with FaultySockets() as sockets:
        async with (
            FakeServer(lambda call: response(503) if peer.seen[1:] else one_line()) as peer,
            open_watch(peer.address) as (_, counters, backoff),
        ):
            await until(lambda: backoff.current_since_s and clock() > backoff.current_since_s[0] + 0.1)
            fault = sockets.fail(call, error, 0 if call == "socket" else peer.port, times=2)
            await until(lambda: fault.hits == 2)
            calls = len(backoff.current_since_s)
            await until(lambda: len(backoff.current_since_s) >= calls + 3)
            # The age is counted from the one received line, also in the refused calls.
            assert max(backoff.current_since_s) - min(backoff.current_since_s) < 0.08
            assert counters["discovery calls failed here"] == 2


@pytest.mark.parametrize("error", ["EMFILE", "EADDRNOTAVAIL"])
@on_loop
async def test_lasting_local_errors_neither_spin_nor_end_the_watch(error):
    with FaultySockets() as sockets:
        async with FakeServer(lambda call: one_line()) as peer:
            fault = sockets.fail("connect", error, peer.port)
            async with open_watch(peer.address) as (received, counters, backoff):
                clock = asyncio.get_running_loop().time
                started_s = clock()
                await until(lambda: fault.hits == 4)
                assert clock() - started_s >= 3 * 0.09 and not backoff.current_since_s
                fault.lift()
                await until(lambda: received)


@pytest.mark.parametrize("error", OF_THE_ENDPOINT)
@on_loop
async def test_an_unreachable_discovery_restarts_the_staleness_bound(error):
    with FaultySockets() as sockets:
        async with FakeServer(lambda call: one_line()) as peer:
            fault = sockets.fail("connect", error, peer.port, times=4)
            async with open_watch(peer.address) as (received, _, backoff):
                await until(lambda: received)
                assert fault.hits == 4 and backoff.current_since_s[0] < backoff.current_since_s[3]
