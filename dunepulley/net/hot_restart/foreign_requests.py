"""The ids of requests that the other processes of a hot restart have taken.

While parent and child both run they are one dispatcher: an id that one of them has in progress must be
rejected by the other. Each process sends the ids that it takes; they are kept until the link they came over
is closed, which is as long as the sender may have them in progress.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TypeVar

from dunepulley.net.hot_restart.link import Link
from dunepulley.net.hot_restart.messages import RequestsAbandoned, RequestsTaken

# A message of this many ids, of 128 characters at most, stays far below the limit of a line.
MAX_IDS_PER_MESSAGE = 1000


class ForeignRequests:
    """The ids that were received, by the link that they came over."""

    def __init__(self) -> None:
        self._ids_by_link: dict[Link, set[str]] = {}

    def __contains__(self, request_id: object) -> bool:
        return any(request_id in ids for ids in self._ids_by_link.values())

    def add(self, link: Link, ids: Iterable[str]) -> None:
        """Add ids that were received over a link."""
        self._ids_by_link.setdefault(link, set()).update(ids)

    def forget(self, link: Link) -> None:
        """Remove the ids that were received over a link, because it was closed."""
        self._ids_by_link.pop(link, None)

    def all_ids(self) -> list[str]:
        """Return all ids, of all links."""
        return [request_id for ids in self._ids_by_link.values() for request_id in ids]


IdMessage = TypeVar("IdMessage", RequestsTaken, RequestsAbandoned)


def messages_with(ids: list[str], kind: type[IdMessage]) -> Iterator[IdMessage]:
    """Yield the messages of a kind that carry these ids."""
    for start in range(0, len(ids), MAX_IDS_PER_MESSAGE):
        yield kind(ids[start : start + MAX_IDS_PER_MESSAGE])
