"""Calls of accept that fail, for a moment and for seconds: the listener goes on."""

import asyncio
import errno

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.faulty_sockets import LOST_WITH_ACCEPT, FaultySockets
from support.system_call_faults import (
    NO_DESCRIPTOR,
    NO_MEMORY,
    healthy,
    taken,
)


@pytest.mark.parametrize("error", [*LOST_WITH_ACCEPT, *NO_DESCRIPTOR, *NO_MEMORY, "EINTR", "EPERM"])
@on_loop
async def test_an_accept_that_fails_for_a_moment_leaves_the_listener_open(error):
    with FaultySockets() as sockets:
        async with DispatcherRig(taken) as rig:
            fault = sockets.fail("accept", error, rig.service.port, times=3)
            assert await healthy(rig) == "200"
            assert fault.hits == 3 and rig.core.counters["not accepted"] == 3


@pytest.mark.parametrize("error", [*LOST_WITH_ACCEPT, *NO_DESCRIPTOR, *NO_MEMORY, "EINTR", "EPERM"])
@on_loop
async def test_an_accept_that_goes_on_failing_neither_spins_nor_closes_the_listener(error):
    with FaultySockets() as sockets:
        async with DispatcherRig(taken) as rig:
            fault = sockets.fail("accept", error, rig.service.port)
            fault.takes = False  # the worst case: the connection waits, and the socket stays readable
            waiting = asyncio.create_task(healthy(rig))
            await until(lambda: fault.hits >= (10 if error in (*LOST_WITH_ACCEPT, "EINTR") else 1))
            clock = asyncio.get_running_loop().time
            begun, before = clock(), fault.hits
            await until(lambda: fault.hits >= before + 5)
            assert clock() - begun >= 4 * 0.02  # a pause before each
            fault.lift()
            assert await waiting == "200"


@pytest.mark.parametrize("error", [*LOST_WITH_ACCEPT, *NO_DESCRIPTOR, *NO_MEMORY])
@on_loop
async def test_another_client_gives_way_only_where_a_descriptor_lacks(error):
    # Guards against a client that is closed for an error of a connection that was never taken.
    with FaultySockets() as sockets:
        async with DispatcherRig(taken) as rig:
            server = rig.frontend.server
            _, idle = await rig.connect()
            await until(lambda: server.new)
            first = next(iter(server.new))
            sockets.fail("accept", error, rig.service.port, times=3)
            assert await healthy(rig) == "200"
            assert (first in server.accepted) is (error not in NO_DESCRIPTOR)
            idle.close()


@on_loop
async def test_a_listener_goes_on_though_the_loop_cannot_look_at_it_for_a_moment(monkeypatch):
    # epoll_ctl(2) has ENOMEM, too.
    async with DispatcherRig(taken) as rig:
        loop = asyncio.get_running_loop()
        add_reader, failed = loop.add_reader, []

        def add_reader_in_vain(*what):
            if len(failed) < 3:
                failed.append(what)
                raise OSError(errno.ENOMEM, "no memory")
            return add_reader(*what)

        # What waited at the start is accepted without a look.
        await until(lambda: not rig.frontend.listener.queued_since_s)
        rig.frontend.listener.stop_accepting()
        monkeypatch.setattr(loop, "add_reader", add_reader_in_vain)
        rig.frontend.listener.start_accepting()
        assert await healthy(rig) == "200" and len(failed) == 3
