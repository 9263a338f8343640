"""Gossip messages that cannot be sent, and a gossip socket that cannot be opened."""

import asyncio
import socket

import pytest
from support.event_loop import on_loop, until
from support.faulty_sockets import FaultySockets
from support.system_call_faults import (
    NO_DESCRIPTOR,
    NO_MEMORY,
)

from dunepulley.load.ports import free_port
from dunepulley.net.counters import Counters
from dunepulley.net.peers import Peers
from dunepulley.routing.commands import SendGossip


@pytest.mark.parametrize("times", [1, 50])
@pytest.mark.parametrize("error", [*NO_MEMORY, "ECONNREFUSED", "ENETUNREACH", "EPERM", "EAGAIN", "EINTR"])
@on_loop
async def test_a_message_that_cannot_be_sent_is_lost_or_late_and_later_ones_are_sent(error, times):
    received, counters = [], Counters()
    with FaultySockets() as sockets:
        ports = [free_port(), free_port()]
        addresses = tuple([("127.0.0.1", port) for port in ports])
        local = Peers(0, addresses, received.append, counters)
        remote = Peers(1, addresses, received.append, Counters())
        await local.open(addresses[0])
        await remote.open(addresses[1])
        fault = sockets.fail("sendto", error, ports[1], times)
        for number in range(times):
            local.send(SendGossip(1, False, ((number, 1),)))
        await until(lambda: fault.hits == times)
        local.send(SendGossip(-1, True, ((60000, 2),)))
        await until(lambda: received and received[-1].slots_held == ((60000, 2),))
        is_late = error in ("EAGAIN", "EINTR")
        assert counters["notes unheard"] == (0 if is_late else times)
        assert len(received) == (times + 1 if is_late else 1)
        local.close()
        remote.close()


@pytest.mark.parametrize("error", [*NO_DESCRIPTOR, *NO_MEMORY])
@on_loop
async def test_opening_the_gossip_socket_is_retried_while_this_host_lacks_resources(error):
    # Guards against a dispatcher that serves again after a failed hot restart, but sends no gossip.
    with FaultySockets() as sockets:
        address = ("127.0.0.1", free_port())
        peers = Peers(0, (address,), lambda message: None, Counters())
        fault = sockets.fail("socket", error, times=2)
        await peers.open(address)
        assert fault.hits == 2 and peers.transport is not None
        peers.close()


@on_loop
async def test_close_stops_retrying_to_open_the_gossip_socket():
    # Guards against opening the socket after another process has taken over the address.
    with FaultySockets() as sockets:
        address = ("127.0.0.1", free_port())
        peers = Peers(0, (address,), lambda message: None, Counters())
        fault = sockets.fail("socket", "EMFILE")
        opening = asyncio.create_task(peers.open(address))
        await until(lambda: fault.hits)
        peers.close()
        fault.lift()
        await opening
        assert peers.transport is None


@on_loop
async def test_a_gossip_address_in_use_raises_at_once():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(("127.0.0.1", 0))
        peers = Peers(0, (), lambda message: None, Counters())
        with pytest.raises(OSError, match="in use"):
            await peers.open(other.getsockname())
