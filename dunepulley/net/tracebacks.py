"""Frees the memory that handled exceptions hold.

The HTTP library stores an exception in the connection that it ended. The frames of its traceback refer to
that connection, and to all that the callers had in hand, such as the body of a request: a cycle, which is
freed only when the garbage collector runs over all objects.
"""

from __future__ import annotations


def drop_tracebacks(error: BaseException | None) -> None:
    """Remove the tracebacks of a handled exception and of those that caused it."""
    # Exceptions may name each other as their cause.
    handled: set[int] = set()
    while error is not None and id(error) not in handled:
        handled.add(id(error))
        error.__traceback__ = None
        error = error.__cause__ or error.__context__
