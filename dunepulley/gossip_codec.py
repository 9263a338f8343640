"""The binary encoding of gossip messages, the same over UDP and in the simulator's protocol.

One byte tells whether the message is an aggregate (1) or not (0). Entries of three bytes each follow: the
short id of an endpoint (big-endian, 16 bits) and the number of slots in use there (8 bits).
"""

from __future__ import annotations

import struct

from dunepulley.routing.commands import MAX_GOSSIP_ENTRIES, SendGossip
from dunepulley.routing.events import GossipReceived

GOSSIP_ENTRY = struct.Struct(">HB")
MAX_GOSSIP_BYTES = 1 + MAX_GOSSIP_ENTRIES * GOSSIP_ENTRY.size


def encode_gossip(message: SendGossip) -> bytes:
    """Encode a gossip message; entries beyond `MAX_GOSSIP_ENTRIES` are omitted."""
    entries = message.slots_held[:MAX_GOSSIP_ENTRIES]
    return bytes((message.is_aggregate,)) + b"".join([GOSSIP_ENTRY.pack(*entry) for entry in entries])


def decode_gossip(sender: int, payload: bytes) -> GossipReceived:
    """Decode a gossip message from another dispatcher.

    Raises ValueError where the payload is empty, too long, truncated or of an unknown kind.
    """
    if not 0 < len(payload) <= MAX_GOSSIP_BYTES or len(payload) % GOSSIP_ENTRY.size != 1 or payload[0] > 1:
        raise ValueError("gossip message: unexpected length or kind")
    return GossipReceived(sender, payload[0] == 1, tuple(GOSSIP_ENTRY.iter_unpack(payload[1:])))
