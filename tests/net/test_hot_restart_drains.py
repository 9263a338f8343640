"""Drains that operators set during a hot restart: both processes apply them before the agent is told so."""

import asyncio
import json

import pytest
from support.dispatcher_process import DispatcherHost
from support.drain_sets import operators_drain
from support.event_loop import on_loop, until
from support.http_messages import request

from dunepulley.net import hot_restart
from dunepulley.net.hot_restart import link as links
from dunepulley.net.hot_restart import messages

OPERATORS_DRAIN = operators_drain()
DRAINS_COMMAND = f"DRAINS {json.dumps(OPERATORS_DRAIN)}"
NO_DRAINS = [0.0, 0]


async def drained(node):
    """The names of the endpoints that a process drains."""
    _, _, text = (await node.call("DRAINS")).partition(" ")
    return [drain["name"] for drain in json.loads(text)["drains"]]


async def reported_version(node):
    """The version of the drains that a process reports to the agent."""
    _, _, text = (await node.call("WHO")).partition(" ")
    return json.loads(text)["drains"]


class StandInChild:
    """Starts like a child of the serving process, and takes over on command; it serves nobody."""

    def __init__(self, site):
        self.site = site

    async def __aenter__(self):
        self.inherited = hot_restart.request_parent_state(self.site.path, "child")
        self.link = await hot_restart.Link.over(self.inherited.link)
        return self

    async def __aexit__(self, *_):
        self.link.close()
        self.inherited.listening.close()

    async def take_over(self):
        """Report that this process can serve; return the parent's messages up to the hand-over."""
        self.link.send(messages.Ready())
        received = []
        while not received or not isinstance(received[-1], messages.HandedOver):
            received.append(await self.link.receive())
        return received


@on_loop
async def test_a_drain_told_to_the_parent_while_the_child_starts_is_passed_on_before_it_serves(tmp_path):
    # Guards against an agent that says "done" while the child, which has the parent's earlier state, sends
    # requests to the drained endpoint.
    async with DispatcherHost(tmp_path) as site:
        parent = await site.start_healthy()
        async with StandInChild(site) as child:
            assert child.inherited.state["drains"]["drains"] == []
            assert (await parent.call(DRAINS_COMMAND)).startswith("200")
            received = await child.take_over()
            [forwarded] = [each for each in received if isinstance(each, messages.DrainsForwarded)]
            assert [drain["name"] for drain in forwarded.drains["drains"]] == ["w0"]
            assert await reported_version(parent) == [1.0, 1]


@on_loop
async def test_a_drain_that_the_other_process_has_not_confirmed_is_not_reported_as_applied(tmp_path):
    async with DispatcherHost(tmp_path) as site:
        parent = await site.start_healthy()
        in_flight, writer = await site.open(request("/look/1", request_id="held"))  # keeps the parent
        await site.seen("held")
        async with StandInChild(site) as child:
            await child.take_over()
            assert "has not confirmed" in await parent.call(DRAINS_COMMAND)
            assert await drained(parent) == ["w0"] and await reported_version(parent) == NO_DRAINS
            forwarded = await child.link.receive()
            telling = asyncio.create_task(parent.call(DRAINS_COMMAND))
            again = await child.link.receive()
            assert forwarded.drains["revision"] == again.drains["revision"]
            child.link.send(messages.Answered(again.number, links.DRAINS_APPLIED))
            assert (await telling).startswith("200")
            assert await reported_version(parent) == [1.0, 1]
            await parent.call(DRAINS_COMMAND)
            assert await reported_version(parent) == NO_DRAINS
        # The child has ended: the parent alone serves.
        await parent.wait_until_healthy()
        assert await reported_version(parent) == [1.0, 1]
        writer.close()


@pytest.mark.parametrize("restarts", [1, 2])
@pytest.mark.parametrize("told", ["first", "last"])
@on_loop
async def test_a_drain_told_to_one_process_is_applied_by_all_that_still_run(tmp_path, restarts, told):
    async with DispatcherHost(tmp_path) as site:
        await site.start_healthy()
        writers = []
        for number in range(restarts):
            # Each process but the last is kept alive by a request.
            _, writer = await site.open(request("/look/1", request_id=f"held{number}"))
            writers.append(writer)
            await until(lambda number=number: f"held{number}" in site.received_ids())
            await site.start_healthy()
        node = site.nodes[0 if told == "first" else -1]
        assert (await node.call(DRAINS_COMMAND)).startswith("200")
        assert [await drained(each) for each in site.nodes] == [["w0"]] * (restarts + 1)
        assert [await reported_version(each) for each in site.nodes] == [[1.0, 1]] * (restarts + 1)
        for writer in writers:
            writer.close()


@on_loop
async def test_malformed_drains_of_another_process_are_not_confirmed(tmp_path):
    async with DispatcherHost(tmp_path) as site:
        parent = await site.start_healthy()
        async with StandInChild(site) as child:
            await child.take_over()
            child.link.send(messages.DrainsForwarded({"drains": 1}, 1))
            child.link.send(messages.DrainsForwarded(OPERATORS_DRAIN, 2))
            confirmations = []
            child.link._resolve = confirmations.append
            receiving = asyncio.create_task(child.link.receive())
            await until(lambda: confirmations)
            assert confirmations == [messages.Answered(2, links.DRAINS_APPLIED)]
            assert await drained(parent) == ["w0"]
            receiving.cancel()


def test_message_with_drains_is_unchanged_after_formatting_and_parsing():
    message = messages.DrainsForwarded(OPERATORS_DRAIN, 3)
    assert messages.parse(message.to_json()) == message
    assert messages.parse({"drains": [], "number": 1}) == messages.Unknown()
    assert messages.parse({"drains": {}}) == messages.Unknown()
