"""Starts beside an agent that is slow, silent or down: by which list the first requests are sent."""

import asyncio

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members

from dunepulley.net import list_polling


class StartingRig:
    """A dispatcher that is starting with a configured list in which its endpoint is ready."""

    def __init__(self, monkeypatch, startup_timeout_s, response_timeout_s):
        monkeypatch.setattr(list_polling, "STARTUP_TIMEOUT_S", startup_timeout_s)
        monkeypatch.setattr(list_polling, "RESPONSE_TIMEOUT_S", response_timeout_s)
        self.rig = DispatcherRig(None, discovery="pushed")

    async def __aenter__(self):
        self.starting = asyncio.create_task(self.rig.__aenter__())
        return self

    async def __aexit__(self, *_):
        self.starting.cancel()
        await asyncio.gather(self.starting, return_exceptions=True)
        await self.rig.__aexit__()

    def is_accepting(self):
        return hasattr(self.rig, "service") and self.rig.service.frontend.listener.accepting


@on_loop
async def test_a_start_waits_for_the_answer_of_a_slow_agent(monkeypatch):
    # Guards against requests to an endpoint that has been draining for long: after a second the configured
    # list was used, although the agent's answer was on its way.
    async with StartingRig(monkeypatch, startup_timeout_s=0.05, response_timeout_s=5.0) as start:
        rig = start.rig
        await until(lambda: rig.discovery.seen)
        called_s = asyncio.get_running_loop().time()
        await until(lambda: asyncio.get_running_loop().time() > called_s + 4 * 0.05)
        assert not start.is_accepting()
        rig.discovery.announce(
            members(member("w0", rig.endpoints[0].address, phase="Terminating"), revision=9)
        )
        await until(start.is_accepting)
        assert not rig.service.frontend.accepts_clients()


@pytest.mark.parametrize("agent", ["silent", "down"])
@on_loop
async def test_a_start_does_not_wait_longer_than_a_call(monkeypatch, agent):
    response_timeout_s = 0.3 if agent == "silent" else 100.0
    async with StartingRig(monkeypatch, 0.1, response_timeout_s) as start:
        if agent == "down":
            await until(lambda: hasattr(start.rig.discovery, "server"))
            await start.rig.discovery.__aexit__()
        await until(start.is_accepting)
        assert start.rig.service.frontend.accepts_clients()
