"""Outages of discovery, in simulated time: the endpoint list stays within its staleness bound."""

import asyncio
import errno
import itertools
from random import Random
from types import SimpleNamespace

import aiohttp
import pytest

from dunepulley.net import discovery, list_polling
from dunepulley.net.counters import Counters


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with simulated time, which jumps to the next timer when no events are ready."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.select, self._selector.select = self._selector.select, self._select_without_waiting

    def time(self):
        return self.now

    def _select_without_waiting(self, timeout=None):
        events = self.select(0)
        if not events and timeout:
            self.now += timeout + 1e-6
        return events


ADDRESS = SimpleNamespace(host="agent", port=1, ssl=False)
REFUSING = aiohttp.ClientConnectorError(ADDRESS, ConnectionRefusedError(errno.ECONNREFUSED, "refused"))


class OutageDiscovery(discovery.Discovery):
    """A fake discovery that is down from `down_at` until `up_at`, and stops sending on a watch at `idle_at`.

    `failure` is how calls fail during the outage. `calls` holds the times at which calls began, and
    `received_at` the times at which they brought the list.
    """

    def __init__(self, backoff, failure, down_at, up_at, idle_at):
        super().__init__("", 7, lambda message: None, Counters(), backoff)
        self.failure, self.down_at, self.up_at, self.idle_at = failure, down_at, up_at, idle_at
        self.calls, self.received_at = [], []

    async def _watch(self, session):
        loop = asyncio.get_running_loop()
        self.calls.append(loop.time())
        if self.down_at <= loop.time() < self.up_at:
            if self.failure == "silent":
                await asyncio.sleep(list_polling.RESPONSE_TIMEOUT_S)
                raise TimeoutError
            if self.failure == "refused":
                raise REFUSING
            self.responded = True
            raise discovery.RefusedError("503") if self.failure == "503" else aiohttp.ServerDisconnectedError
        self.responded = True
        ends = [end for end in (self.down_at, self.idle_at) if end > loop.time()]
        while True:
            self.received = True
            self.current_at_s = loop.time()
            self.first_message.set()
            self.received_at.append(loop.time())
            if not ends or loop.time() + 2.0 < ends[0]:
                await asyncio.sleep(2.0)
                continue
            # The watch goes idle, or the connection is interrupted, between two lines.
            await asyncio.sleep(ends[0] - loop.time())
            if ends[0] == self.down_at and self.failure in ("cut", "503"):
                raise aiohttp.ClientPayloadError
            await asyncio.sleep(self.current_at_s + list_polling.IDLE_TIMEOUT_S - loop.time())
            raise aiohttp.SocketTimeoutError


MAX_STALENESS_S = 6.0
OUTAGE_S, STABLE_S = 60.0, 1800.0


@pytest.mark.parametrize("dispatchers", [1.0, 200.0])
@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("failure", ["silent", "refused", "503", "cut"])
def test_the_staleness_bound_holds_after_an_outage_and_after_a_watch_goes_idle(failure, pushed, dispatchers):
    for seed in range(2):
        loop = SimulatedTimeLoop()
        down_at = 1000.0 + STABLE_S + 0.37 * seed
        up_at = down_at + OUTAGE_S + 0.61 * seed
        idle_at = up_at + STABLE_S + 0.23 * seed
        watch = OutageDiscovery(
            list_polling.PollBackoff(Random(seed), dispatchers, pushed), failure, down_at, up_at, idle_at
        )
        task = loop.create_task(watch.run())
        loop.run_until_complete(asyncio.sleep(2.0 * STABLE_S + 120.0))
        task.cancel()
        loop.run_until_complete(asyncio.gather(task, return_exceptions=True))
        loop.close()
        # The list that discovery has after the outage, and changes missed by an idle watch, arrive in time.
        assert min([at for at in watch.received_at if at >= up_at]) <= up_at + MAX_STALENESS_S
        missed = [at for at in watch.received_at if at >= idle_at and at in watch.calls]
        assert min(missed) <= idle_at + MAX_STALENESS_S
        # Calls continue during the outage, with a bounded backoff, and not without a delay.
        retries = [at for at in watch.calls if down_at <= at <= up_at + MAX_STALENESS_S]
        gaps = [later - before for before, later in itertools.pairwise([down_at, *retries])]
        assert max(gaps) <= MAX_STALENESS_S and len(retries) >= OUTAGE_S / MAX_STALENESS_S
        if failure == "503" or not pushed:
            assert len(retries) <= OUTAGE_S / 0.5
