"""Whose fault a failed system call is, by its error number.

An error of this host says nothing of an endpoint, and another endpoint would fare no better: there is no
descriptor, memory, port or route for a connection, or a rule of this host forbids it. All other errors of a
connection are taken for the endpoint's: ECONNREFUSED, ECONNRESET, ETIMEDOUT and EHOSTUNREACH.

ENETUNREACH is taken for this host's: connect(2) has it where this host has no route, as while its own
interface or route is away, and then every endpoint has it at once. A machine that is away in a network that
can be reached shows as EHOSTUNREACH or ETIMEDOUT.
"""

from __future__ import annotations

import errno

OUT_OF_DESCRIPTORS = frozenset((errno.EMFILE, errno.ENFILE))
OUT_OF_MEMORY = frozenset((errno.ENOBUFS, errno.ENOMEM))
NO_ROUTE_OR_PERMISSION = frozenset(
    (errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.ENETUNREACH, errno.ENETDOWN, errno.EPERM, errno.EACCES)
)
LOCAL_ERRORS = OUT_OF_DESCRIPTORS | OUT_OF_MEMORY | NO_ROUTE_OR_PERMISSION
# accept(2): errors that were pending on the connection, which it has taken from the queue.
PENDING_SOCKET_ERRORS = frozenset(
    (
        *(errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN),
        *(errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.EINTR),
    )
)


def is_local_error(error: BaseException) -> bool:
    """Whether an exchange failed by a fault of this host, not of the endpoint."""
    return getattr(error, "errno", None) in LOCAL_ERRORS
