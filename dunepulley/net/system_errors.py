"""Classifies errors of system calls by their error number: caused by this host, or by the endpoint.

A local error says nothing about an endpoint, and another endpoint would fail in the same way: this host has
no descriptor, memory, port or route for a connection, or one of its rules forbids it. All other connection
errors are attributed to the endpoint: ECONNREFUSED, ECONNRESET, ETIMEDOUT and EHOSTUNREACH.

ENETUNREACH counts as local: connect(2) returns it if this host has no route, for example while its own
interface or route is down, and then for every endpoint at once. An unreachable machine in a reachable network
causes EHOSTUNREACH or ETIMEDOUT.
"""

from __future__ import annotations

import errno

OUT_OF_DESCRIPTORS = frozenset((errno.EMFILE, errno.ENFILE))
OUT_OF_MEMORY = frozenset((errno.ENOBUFS, errno.ENOMEM))
NO_ROUTE_OR_PERMISSION = frozenset(
    (errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.ENETUNREACH, errno.ENETDOWN, errno.EPERM, errno.EACCES)
)
EXHAUSTED_RESOURCES = OUT_OF_DESCRIPTORS | OUT_OF_MEMORY
LOCAL_ERRORS = EXHAUSTED_RESOURCES | NO_ROUTE_OR_PERMISSION
# accept(2): errors that were pending on the new connection, which accept has removed from the queue.
PENDING_SOCKET_ERRORS = frozenset(
    (
        *(errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN),
        *(errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.EINTR),
    )
)


def is_local_error(error: BaseException) -> bool:
    """Whether an exchange failed because of this host, not because of the endpoint."""
    return getattr(error, "errno", None) in LOCAL_ERRORS


def is_exhaustion(error: BaseException) -> bool:
    """Whether a system call failed because this host had no descriptor or memory for it."""
    return getattr(error, "errno", None) in EXHAUSTED_RESOURCES
