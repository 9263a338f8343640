"""Hot restart: a child process takes over the clients of the parent process that serves the same address.

1. The parent listens on a Unix socket in $TMPDIR (`listener`, `paths`).
2. The child connects, and the parent passes its listening socket and its state (`child`, `state`).
3. Once the child has a ready endpoint, it notifies the parent. The parent then stops accepting connections,
   sends its router's warm state, and ends once it has no open requests (`coordinator`).
4. Until then, each process forwards callbacks for requests that are open in the other (`link`).

Messages are lines of JSON (`messages`). If the child ends before the parent, the parent serves again.
`HotRestart` acts on the dispatcher through the protocol `Dispatcher`.
"""

from dunepulley.net.hot_restart.child import HotRestartError, Inherited, request_parent_state
from dunepulley.net.hot_restart.coordinator import Dispatcher, HotRestart
from dunepulley.net.hot_restart.link import Link
from dunepulley.net.hot_restart.paths import socket_path

__all__ = [
    "Dispatcher",
    "HotRestartError",
    "HotRestart",
    "Inherited",
    "Link",
    "request_parent_state",
    "socket_path",
]
