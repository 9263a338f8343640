"""The Unix socket of hot restarts: its path, and the user of the process at its other end."""

from __future__ import annotations

import contextlib
import os
import socket
import struct
from collections.abc import Iterator

# The address of a Unix socket holds 108 bytes (unix(7)), including a process id suffix and a terminator.
MAX_PATH_BYTES = 100
# struct ucred of SO_PEERCRED: process id, user id and group id.
PEER_CREDENTIALS = struct.Struct("3i")


def socket_path(directory: str, host: str, port: int) -> str:
    """Return the path of the socket for the process that serves an address; empty without a directory."""
    if not directory:
        return ""
    return os.path.join(directory, f"dunepulley-{host.replace(':', '_')}-{port}.sock")


@contextlib.contextmanager
def short_path(path: str) -> Iterator[str]:
    """Yield a name of the path that is short enough for a socket address, however long the path is.

    Raises OSError if the directory of a long path cannot be opened.
    """
    if len(path.encode()) <= MAX_PATH_BYTES:
        yield path
        return
    directory = os.open(os.path.dirname(path), os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{os.path.basename(path)}"
    finally:
        os.close(directory)


def is_same_user(connection: socket.socket) -> bool:
    """Whether the process at the other end of a Unix socket runs as the same user as this process."""
    credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, user_id, _ = PEER_CREDENTIALS.unpack(credentials)
    return user_id == os.geteuid()
