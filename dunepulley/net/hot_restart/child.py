"""The start of a child process: request the listening socket and the state of the parent, if there is one.

Nothing else runs in the child yet, so these calls may block.
"""

from __future__ import annotations

import os
import socket
from typing import Any, NamedTuple

import orjson

from dunepulley.net import log
from dunepulley.net.hot_restart.messages import MAX_MESSAGE_BYTES, PROTOCOL_VERSION, Hello
from dunepulley.net.hot_restart.paths import is_same_user, short_path
from dunepulley.net.log_events import LogEvent

# A working parent answers within one iteration of its event loop.
PARENT_TIMEOUT_S = 3.0
READ_BYTES = 65536
# One descriptor is expected; receiving more makes any surplus visible, so that it is closed.
MAX_DESCRIPTORS = 4
REFUSED = "the running process does not hand over"
NO_RESPONSE = "the running process does not respond"


class HotRestartError(Exception):
    """A process serves the address but does not hand over; the message states the reason on one line."""


class Inherited(NamedTuple):
    """What the parent passes to its child: the listening socket, the connection between them, and its state.

    The state is a JSON object; `state.py` reads it.
    """

    listening: socket.socket
    link: socket.socket
    state: dict[str, Any]


def request_parent_state(path: str, name: str) -> Inherited | None:
    """Request the socket and the state of the process that listens at a path; None if there is none.

    A socket file without a listener is left over from a process that was killed. Raises HotRestartError if a
    process listens but refuses, runs as another user, or does not answer within `PARENT_TIMEOUT_S`.
    """
    if not path:
        return None
    link = _connect(path)
    if link is None:
        return None
    descriptors: list[int] = []
    inherited = None
    try:
        inherited = _exchange(link, path, name, descriptors)
        return inherited
    except TimeoutError as error:
        raise HotRestartError(NO_RESPONSE) from error
    except (OSError, ValueError) as error:
        raise HotRestartError(f"{path}: {error}") from error
    finally:
        if inherited is None:
            link.close()
        for descriptor in descriptors:
            os.close(descriptor)


def is_served(path: str) -> bool:
    """Return whether a process waits for its child at a path."""
    try:
        link = _connect(path)
    except HotRestartError:
        return True
    if link is None:
        return False
    link.close()
    return True


def _connect(path: str) -> socket.socket | None:
    """Return a connection to the running process, or None if none can be found.

    A directory that cannot be searched does not prevent the start: if another process serves the address, the
    later attempt to listen fails with an error. Raises HotRestartError if a process listens but accepts no
    connection in time.
    """
    link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    link.settimeout(PARENT_TIMEOUT_S)
    try:
        with short_path(path) as short:
            link.connect(short)
    except TimeoutError as error:
        link.close()
        raise HotRestartError(NO_RESPONSE) from error
    except OSError as error:
        link.close()
        if not isinstance(error, FileNotFoundError | ConnectionRefusedError | NotADirectoryError):
            log.write(LogEvent.HOT_RESTART, f"cannot check for a running process: {path}: {error}")
        return None
    return link


def _exchange(link: socket.socket, path: str, name: str, descriptors: list[int]) -> Inherited:
    """Send `Hello` and return the parent's answer; the caller closes what remains in `descriptors`."""
    if not is_same_user(link):
        raise HotRestartError(f"{path}: the listening process belongs to another user")
    link.sendall(orjson.dumps(Hello(PROTOCOL_VERSION, name).to_json()) + b"\n")
    state = orjson.loads(_receive_line(link, descriptors))
    if not isinstance(state, dict):
        raise HotRestartError(REFUSED)
    if "refused" in state:
        raise HotRestartError(f"{REFUSED}: {state['refused']}")
    if len(descriptors) != 1:
        raise HotRestartError("the running process did not pass exactly one listening socket")
    return Inherited(socket.socket(fileno=descriptors.pop()), link, state)


def _receive_line(link: socket.socket, descriptors: list[int]) -> bytes:
    """Return one line; descriptors that are received with it are appended to `descriptors`."""
    line = b""
    while not line.endswith(b"\n"):
        data, received, _, _ = socket.recv_fds(link, READ_BYTES, MAX_DESCRIPTORS)
        descriptors += received
        line += data
        if not data or len(line) > MAX_MESSAGE_BYTES:
            raise HotRestartError(REFUSED)
    return line
