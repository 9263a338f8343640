"""The start of a child process: ask the parent, if there is one, for its socket and its state.

Nothing else runs in the child yet, so that these calls block.
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

# A parent answers within a turn of its event loop; one that stands still for so long is no help.
PARENT_TIMEOUT_S = 3.0
READ_BYTES = 65536
# More than are ever passed, so that a surplus is seen and closed.
MAX_DESCRIPTORS = 4
NO_HANDOVER = "the process that serves does not hand over"
NO_ANSWER = "the process that serves does not answer"


class HotRestartError(Exception):
    """There is a process that serves, but it does not hand over; the text says why in one line."""


class Inherited(NamedTuple):
    """What the parent passes on: its listening socket, the link to it, and its state in JSON form.

    `state.py` reads the state.
    """

    listening: socket.socket
    link: socket.socket
    state: dict[str, Any]


def request_parent_state(path: str, name: str) -> Inherited | None:
    """Ask the process that listens at a path for what it passes on; None where there is none.

    A socket that nobody listens at is left over from a process that was killed. Raises HandoverError where
    a process listens but refuses, is another user's, or does not answer within `PARENT_TIMEOUT_S`.
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
        raise HotRestartError(NO_ANSWER) from error
    except (OSError, ValueError) as error:
        raise HotRestartError(f"{path}: {error}") from error
    finally:
        if inherited is None:
            link.close()
        for descriptor in descriptors:
            os.close(descriptor)


def _connect(path: str) -> socket.socket | None:
    """Return a connection to the process that serves, or None where none can be found.

    A directory that cannot be searched keeps no process from starting: if another one serves all the same,
    the address is in use, and that is said then. Raises HandoverError where a process listens and accepts no
    connection in time.
    """
    link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    link.settimeout(PARENT_TIMEOUT_S)
    try:
        with short_path(path) as short:
            link.connect(short)
    except TimeoutError as error:
        link.close()
        raise HotRestartError(NO_ANSWER) from error
    except OSError as error:
        link.close()
        if not isinstance(error, FileNotFoundError | ConnectionRefusedError | NotADirectoryError):
            log.write(
                LogEvent.HOT_RESTART, f"it cannot be seen whether another process serves: {path}: {error}"
            )
        return None
    return link


def _exchange(link: socket.socket, path: str, name: str, descriptors: list[int]) -> Inherited:
    """Say hello and return the parent's answer; the caller closes what is left in `descriptors`."""
    if not is_same_user(link):
        raise HotRestartError(f"{path} is another user's")
    link.sendall(orjson.dumps(Hello(PROTOCOL_VERSION, name).to_json()) + b"\n")
    state = orjson.loads(_receive_line(link, descriptors))
    if not isinstance(state, dict):
        raise HotRestartError(NO_HANDOVER)
    if "refused" in state:
        raise HotRestartError(f"{NO_HANDOVER}: {state['refused']}")
    if len(descriptors) != 1:
        raise HotRestartError("the process that serves passed no socket on")
    return Inherited(socket.socket(fileno=descriptors.pop()), link, state)


def _receive_line(link: socket.socket, descriptors: list[int]) -> bytes:
    """Return one line; descriptors that come with it are added to the list."""
    line = b""
    while not line.endswith(b"\n"):
        data, received, _, _ = socket.recv_fds(link, READ_BYTES, MAX_DESCRIPTORS)
        descriptors += received
        line += data
        if not data or len(line) > MAX_MESSAGE_BYTES:
            raise HotRestartError(NO_HANDOVER)
    return line
