"""Gossip between dispatchers: small UDP datagrams on the address that clients use; losing some is harmless.

`Peers` owns the socket. The router decides which messages are sent to which dispatcher.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from dunepulley.gossip_codec import decode_gossip, encode_gossip
from dunepulley.net.counters import Counters
from dunepulley.net.system_errors import is_exhaustion
from dunepulley.routing.commands import SendGossip
from dunepulley.routing.events import GossipReceived

# If this host has no descriptor or memory for the socket, opening is retried at this interval, up to a limit.
RETRY_INTERVAL_S = 0.1
MAX_RETRY_S = 5.0


class Peers(asyncio.DatagramProtocol):
    """Sends gossip to the listed dispatchers, by number, and accepts gossip only from them."""

    def __init__(
        self,
        number: int,
        addresses: tuple[tuple[str, int], ...],
        put: Callable[[GossipReceived], None],
        counters: Counters,
    ) -> None:
        """`addresses` are those of all dispatchers; `number` is the index of this one."""
        self.number = number
        self.addresses = addresses
        self.number_by_address = {address: number for number, address in enumerate(addresses)}
        self.put = put
        self.counters = counters
        self.transport: asyncio.DatagramTransport | None = None
        self._is_open = False  # true from `open` until `close`

    async def open(self, address: tuple[str, int]) -> None:
        """Open the socket at this dispatcher's own address, for sending and receiving.

        Raises OSError if the socket cannot be opened within `MAX_RETRY_S`.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + MAX_RETRY_S
        self._is_open = True
        while self._is_open:
            try:
                await loop.create_datagram_endpoint(lambda: self, local_addr=address)
                return
            except OSError as error:
                if not is_exhaustion(error) or loop.time() > deadline:
                    raise
            await asyncio.sleep(RETRY_INTERVAL_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the socket."""
        self.transport = transport

    def send(self, message: SendGossip) -> None:
        """Send a message to one other dispatcher, or to all if its recipient is negative."""
        if self.transport is None:
            return
        payload = encode_gossip(message)
        to_all = message.recipient < 0
        for number in range(len(self.addresses)) if to_all else (message.recipient,):
            if number != self.number and number < len(self.addresses):
                self.counters["notes sent"] += 1
                self.transport.sendto(payload, self.addresses[number])

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Queue a received message; malformed ones and those of unlisted senders are dropped and counted."""
        sender = self.number_by_address.get(addr[:2])
        try:
            if sender is None:
                raise ValueError("the sender is not a listed dispatcher")
            message = decode_gossip(sender, data)
        except ValueError:
            self.counters["notes dropped"] += 1
            return
        self.counters["notes taken"] += 1
        self.put(message)

    def error_received(self, exc: OSError) -> None:
        """Count a message that could not be delivered: its recipient is restarting or has ended."""
        self.counters["notes unheard"] += 1

    def close(self) -> None:
        """Close the socket, and stop retrying to open it."""
        self._is_open = False
        if self.transport is not None:
            self.transport.close()
            self.transport = None
