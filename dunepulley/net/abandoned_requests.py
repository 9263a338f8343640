"""The ids of requests that may have run although their client has gone."""

from __future__ import annotations

from collections.abc import Iterable

# About two megabytes with ids of the maximum length.
MAX_IDS = 8192


class AbandonedRequests:
    """The latest ids of requests that may have run and whose client left before its answer.

    A request that comes with one of them must be rejected: each request has an id of its own, also a client's
    retry, so that it can only be the same request once more, which would run twice.
    """

    def __init__(self) -> None:
        # A dict as an ordered set, the oldest id first.
        self._ids: dict[str, None] = {}

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._ids

    def add(self, ids: Iterable[str]) -> None:
        """Add ids; the oldest ones are forgotten beyond `MAX_IDS`."""
        for request_id in ids:
            self._ids.pop(request_id, None)
            self._ids[request_id] = None
        while len(self._ids) > MAX_IDS:
            del self._ids[next(iter(self._ids))]

    def all_ids(self) -> list[str]:
        """Return all ids, the oldest first."""
        return list(self._ids)
