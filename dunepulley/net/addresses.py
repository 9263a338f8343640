"""Addresses written as `host:port`."""

from __future__ import annotations

MAX_PORT = 65535


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of `host:port`, without the brackets of an IPv6 address.

    Raises ValueError if the text has another form, or if the port is not between 1 and 65535.
    """
    if not isinstance(text, str):
        raise ValueError(f"expected an address host:port, got {text!r:.60}")
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"expected an address host:port, got {text!r:.60}")
    return host.strip("[]"), int(port)
