"""Hot restarts in a row: the process in the middle joins its parent to its child until the parent ends."""

import asyncio

import pytest
from support.dispatcher_process import DispatcherHost
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.http_messages import ACCEPTED, read_message, request

from dunepulley.net.frontend.server import HANDED_OVER
from dunepulley.net.handover import FULL_LIMIT_FRACTION, SHARED_LIMIT_FRACTION


class FakeParent:
    """Stands in for the hot restart of a process whose parent has handed over."""

    async def follow(self, inherited):
        pass

    async def take_over(self):
        return None


@pytest.mark.parametrize("has_child", [True, False])
@on_loop
async def test_a_process_that_has_handed_over_ends_only_after_its_parent(has_child):
    # Guards against a parent that serves again beside its child's child, as the process between them ended:
    # neither knows the other's requests, so that results of callbacks are lost.
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        actions = rig.service.hot_restart_actions
        table = rig.frontend.server
        await actions.take_over(FakeParent(), None)
        if has_child:
            await actions.hand_over()
            rig.frontend._start_rejecting()
            await rig.frontend.none_waiting.wait()
        for _ in range(50):
            await asyncio.sleep(0)
        assert not actions.finished.is_set() and table._fraction == SHARED_LIMIT_FRACTION
        actions.parent_ended()
        if has_child:
            await asyncio.wait_for(actions.finished.wait(), 2.0)
            assert rig.frontend.drain_state == HANDED_OVER and table._fraction == SHARED_LIMIT_FRACTION
        else:
            assert table._fraction == FULL_LIMIT_FRACTION and not actions.finished.is_set()


@on_loop
async def test_a_process_whose_child_is_killed_does_not_serve_beside_its_childs_child(tmp_path):
    async with DispatcherHost(tmp_path) as site:
        first = await site.start_healthy()
        reader, writer = await site.open(request("/look/1", request_id="held"))
        await site.seen("held")
        middle = await site.start_healthy()
        last = await site.start_healthy()
        middle.process.kill()
        await middle.process.wait()
        # Its request fails in time, as no callback reaches it, and then it ends.
        assert (await read_message(reader)).target in ("500", "503")
        code, output = await first.wait_for_exit()
        assert code == 0 and "its own child serves" in output and "serves again" not in output
        other, other_writer = await site.open(request("/look/1", request_id="other"))
        await until(lambda: "other" in site.received_ids())
        assert await site.send_callbacks("other") == {"204"}
        assert (await read_message(other)).body == b"other"
        assert (await last.call("HEALTH")).startswith("200")
        for each in (writer, other_writer):
            each.close()


@on_loop
async def test_callbacks_reach_the_first_of_three_processes_after_the_second_has_no_requests(tmp_path):
    async with DispatcherHost(tmp_path) as site:
        first = await site.start_healthy()
        reader, writer = await site.open(request("/look/1", request_id="held"))
        await site.seen("held")
        middle = await site.start_healthy()
        idle, idle_writer = await site.open(b"")
        await site.start_healthy()
        # The second process closes its idle connections once it has nothing left to do.
        assert await idle.read() == b""
        for _ in range(20):
            assert await site.send_callbacks("elsewhere") == {"204"}
        assert await site.send_callbacks("held") == {"204"}
        assert (await read_message(reader)).body == b"held"
        for node in (first, middle):
            code, output = await node.wait_for_exit()
            assert code == 0 and "serves again" not in output
        for each in (writer, idle_writer):
            each.close()
