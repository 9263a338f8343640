"""Kernel statistics of a TCP connection (tcp(7), TCP_INFO)."""

from __future__ import annotations

import socket
import struct

# Offset of `tcpi_last_data_recv` in struct tcp_info, after eight octets and eleven 32-bit numbers.
LAST_DATA_RECEIVED_OFFSET = 52
UINT32 = struct.Struct("=I")


def last_data_age_ms(connection: socket.socket) -> float:
    """Return how many ms ago the kernel last received data on a connection; infinite if that is unknown."""
    size = LAST_DATA_RECEIVED_OFFSET + UINT32.size
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
        (age_ms,) = UINT32.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)
    except (OSError, struct.error):
        return float("inf")
    return float(age_ms)
