"""Weighted rendezvous hashing over many endpoints: the head of a key's order, kept up to date by change.

Each endpoint has a weight for a key, -log(u) / units with u in (0, 1) from the hash of both; the order is by
ascending weight, so that more units mean a higher rank, and a change moves only the endpoint that changed.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Mapping, Sequence
from math import exp, inf, log

from .hashing import fnv1a_64

_MASK = 0xFFFFFFFFFFFFFFFF
_MULTIPLIER, _INCREMENT = 6364136223846793005, 1442695040888963407
# FNV-1a leaves the high bits poor: two rounds of a linear congruential generator (Knuth's MMIX constants) on
# 2 * hash + 1 mix them, here folded into one step.
_FOLDED_MULTIPLIER = 2 * _MULTIPLIER * _MULTIPLIER & _MASK
_FOLDED_INCREMENT = (_MULTIPLIER * _MULTIPLIER + _MULTIPLIER * _INCREMENT + _INCREMENT) & _MASK
_RANGE = 4294967296.0
# Of an endpoint that is weighed against a limit, its hash's rounding may be off by so much.
_ROUNDING = 2


def mixed_bits(hashed: int) -> int:
    """32 well mixed bits of a hash."""
    return (hashed * _FOLDED_MULTIPLIER + _FOLDED_INCREMENT & _MASK) >> 32


def unit_fraction(hashed: int) -> float:
    """A number in [0, 1) for a hash."""
    return mixed_bits(hashed) / _RANGE


def rank_of(dispatcher: str, endpoint_id: str) -> float:
    """Where a dispatcher ranks an endpoint, in [0, 1): the lower, the higher it ranks."""
    return unit_fraction(fnv1a_64(f"{dispatcher}/{endpoint_id}"))


class KeyOrder:
    """The head of the order of endpoints for one key: all whose weight is at most `bound`."""

    def __init__(self, key: str) -> None:
        self.key_hash = fnv1a_64(key)
        self.entries: list[tuple[float, int]] = []
        self.bound = 0.0
        # How far the caller's journal of changes has been taken in, and in which of its epochs.
        self.journal_position, self.epoch = 0, -1

    def weight(self, endpoint_hash: int, units: float) -> float:
        """The endpoint's weight for the key: the lower, the higher it ranks."""
        return -log(unit_fraction(self.key_hash ^ endpoint_hash) + 1e-12) / units

    def build(
        self, least: int, endpoints: Sequence[int], hashes: Sequence[int], units: Sequence[float]
    ) -> None:
        """Weigh the endpoints (indexes into `hashes` and `units`) anew; keep at least so many of them."""
        own = self.key_hash
        # Of all, also those that are not asked about: a guess, and a limit, are enough.
        total, largest = sum(units), max(units, default=1.0)
        # Among many, the weights below w number about w times the sum of units.
        self.bound = 1.25 * least / total if least < len(endpoints) else inf
        while True:
            # Few come near the bound: the logarithm is taken of these only. Without the low 32 bits.
            floor = max(0, int(exp(-self.bound * largest) * _RANGE) - _ROUNDING) << 32
            near = [
                (bits, i)
                for i in endpoints
                if (bits := (own ^ hashes[i]) * _FOLDED_MULTIPLIER + _FOLDED_INCREMENT & _MASK) >= floor
            ]
            weighed = [(-log((bits >> 32) / _RANGE + 1e-12) / units[i], i) for bits, i in near]
            self.entries = sorted([place for place in weighed if place[0] <= self.bound])
            if len(self.entries) >= least or self.bound == inf:
                return
            self.bound *= 2.0

    def trim(self, count: int) -> None:
        """Forget all but the first so many."""
        if count < len(self.entries):
            self.bound = self.entries[count - 1][0]
            del self.entries[bisect_right(self.entries, (self.bound, inf)) :]

    def change(self, i: int, endpoint_hash: int, old_units: float, new_units: float) -> None:
        """Take in that an endpoint has other units, has come (`old_units` 0) or gone (`new_units` 0)."""
        if old_units > 0.0:
            place = (self.weight(endpoint_hash, old_units), i)
            at = bisect_left(self.entries, place)
            if at < len(self.entries) and self.entries[at] == place:
                del self.entries[at]
        if new_units > 0.0:
            weight = self.weight(endpoint_hash, new_units)
            if weight <= self.bound:
                insort(self.entries, (weight, i))

    def apply_changes(
        self,
        changed: Mapping[int, float],
        hashes: Sequence[int],
        units: Sequence[float],
        is_ready: Mapping[int, bool],
    ) -> None:
        """Take in changes: the endpoints that changed, with the units that each had before."""
        for i, old in changed.items():
            self.change(i, hashes[i], old, units[i] if is_ready[i] else 0.0)
