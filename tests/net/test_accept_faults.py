"""The listener keeps accepting connections after accept(2) fails, once or repeatedly."""

import asyncio
import errno

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.faulty_sockets import LOST_WITH_ACCEPT, FaultySockets
from support.system_call_faults import (
    NO_DESCRIPTOR,
    NO_MEMORY,
    accept_all,
    health_status,
)


@pytest.mark.parametrize("error", [*LOST_WITH_ACCEPT, *NO_DESCRIPTOR, *NO_MEMORY, "EINTR", "EPERM"])
@on_loop
async def test_listener_stays_open_after_three_failures_of_accept(error):
    with FaultySockets() as sockets:
        async with DispatcherRig(accept_all) as rig:
            fault = sockets.fail("accept", error, rig.service.port, times=3)
            assert await health_status(rig) == "200"
            assert fault.hits == 3 and rig.core.counters["not accepted"] == 3


@pytest.mark.parametrize("error", [*LOST_WITH_ACCEPT, *NO_DESCRIPTOR, *NO_MEMORY, "EINTR", "EPERM"])
@on_loop
async def test_persistent_failure_of_accept_neither_busy_loops_nor_closes_the_listener(error):
    with FaultySockets() as sockets:
        async with DispatcherRig(accept_all) as rig:
            fault = sockets.fail("accept", error, rig.service.port)
            fault.takes = False  # the worst case: the connection stays queued, so the socket stays readable
            waiting = asyncio.create_task(health_status(rig))
            await until(lambda: fault.hits >= (10 if error in (*LOST_WITH_ACCEPT, "EINTR") else 1))
            clock = asyncio.get_running_loop().time
            started_s, hits_before = clock(), fault.hits
            await until(lambda: fault.hits >= hits_before + 5)
            assert clock() - started_s >= 4 * 0.02  # a pause before each retry
            fault.lift()
            assert await waiting == "200"


@pytest.mark.parametrize("error", [*LOST_WITH_ACCEPT, *NO_DESCRIPTOR, *NO_MEMORY])
@on_loop
async def test_evicts_a_connection_only_when_descriptors_run_out(error):
    # Guards against closing a client's connection because of another connection that was never accepted.
    with FaultySockets() as sockets:
        async with DispatcherRig(accept_all) as rig:
            server = rig.frontend.server
            _, idle = await rig.connect()
            await until(lambda: server.new)
            first = next(iter(server.new))
            sockets.fail("accept", error, rig.service.port, times=3)
            assert await health_status(rig) == "200"
            assert (first in server.accepted) is (error not in NO_DESCRIPTOR)
            idle.close()


@on_loop
async def test_listener_retries_when_the_loop_cannot_register_its_socket(monkeypatch):
    # epoll_ctl(2) may fail with ENOMEM.
    async with DispatcherRig(accept_all) as rig:
        loop = asyncio.get_running_loop()
        add_reader, failed = loop.add_reader, []

        def failing_add_reader(*arguments):
            if len(failed) < 3:
                failed.append(arguments)
                raise OSError(errno.ENOMEM, "no memory")
            return add_reader(*arguments)

        # Connections queued before the start are accepted without add_reader().
        await until(lambda: not rig.frontend.listener.queued_since_s)
        rig.frontend.listener.stop_accepting()
        monkeypatch.setattr(loop, "add_reader", failing_add_reader)
        rig.frontend.listener.start_accepting()
        assert await health_status(rig) == "200" and len(failed) == 3
