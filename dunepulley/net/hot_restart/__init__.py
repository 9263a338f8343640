"""Hot restart: a child process takes over the clients of the parent process that serves at the same address.

1. The parent listens at a Unix socket in $TMPDIR (`listener`, `paths`).
2. The child connects, and the parent passes its listening socket and its state (`child`, `state`).
3. Once the child has an endpoint to serve with it says so; the parent then accepts no more connections,
   sends what its router has learned, and ends once nothing is open there (`coordinator`).
4. Until then either process forwards callbacks whose requests the other holds (`link`).

Messages are lines of JSON (`messages`). If the child ends before the parent does, the parent serves again.
What a hot restart does to the dispatcher is told to `HotRestart` as a `Dispatcher`.
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
