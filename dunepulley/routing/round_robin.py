"""Smooth weighted round robin: an endpoint's turns are evenly spread and as frequent as its share."""

from __future__ import annotations

from collections.abc import Sequence

from .endpoints import Endpoint

# The minimum share for computing turns.
_MIN_SHARE = 1e-6


class WeightedRoundRobin:
    """The rotation of endpoints: the distance between two turns of an endpoint is 1 / share."""

    def __init__(self) -> None:
        # The latest turn taken so far.
        self.position = 0.0

    def take_turn(self, endpoint: Endpoint, among: Sequence[Endpoint]) -> None:
        """Take an endpoint's turn.

        Endpoints of `among` with an earlier turn were skipped: they lose it, so that their turns stay spread.
        """
        turn = endpoint.next_turn
        for other in among:
            if other.next_turn < turn:
                share = other.share
                other.next_turn += 1.0 / (share if share > _MIN_SHARE else _MIN_SHARE)
        endpoint.next_turn = turn + 1.0 / max(endpoint.share, _MIN_SHARE)
        self.position = max(self.position, turn)

    def join(self, endpoint: Endpoint, share: float, place: float) -> None:
        """Add a new endpoint with its initial share, at a position in [0, 1) of its first round."""
        endpoint.share = share
        endpoint.next_turn = self.position + place / share

    def rescale(self, endpoint: Endpoint, share: float, base: float) -> None:
        """Change an endpoint's share; the distance of its next turn from `base` scales accordingly."""
        left = (endpoint.next_turn - base) * endpoint.share / share
        if left < 0.0:
            left = 0.0
        whole_round = 1.0 / share
        endpoint.next_turn = base + (left if left < whole_round else whole_round)
        endpoint.share = share
