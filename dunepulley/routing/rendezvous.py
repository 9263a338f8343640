"""Weighted rendezvous hashing over many endpoints: the head of a key's order, updated incrementally.

Each endpoint has a weight for a key, -log(u) / units, with u in (0, 1) from the hash of both; the units are
its capacity. The order is by ascending weight, so that more units mean a higher rank, and a change moves only
the endpoint that changed.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Mapping, Sequence
from math import exp, inf, log

from .hashing import fnv1a_64

_MASK = 0xFFFFFFFFFFFFFFFF
_MULTIPLIER, _INCREMENT = 6364136223846793005, 1442695040888963407
# FNV-1a mixes the high bits poorly. Two rounds of a linear congruential generator (Knuth's MMIX constants) on
# 2 * hash + 1 mix them; both rounds are folded into one step here.
_FOLDED_MULTIPLIER = 2 * _MULTIPLIER * _MULTIPLIER & _MASK
_FOLDED_INCREMENT = (_MULTIPLIER * _MULTIPLIER + _MULTIPLIER * _INCREMENT + _INCREMENT) & _MASK
_RANGE = 4294967296.0
# The limit on hashes is lowered by the rounding error, in units of the 32-bit hash.
_ROUNDING_ERROR = 2


def mixed_bits(hash_value: int) -> int:
    """32 well-mixed bits of a hash."""
    return (hash_value * _FOLDED_MULTIPLIER + _FOLDED_INCREMENT & _MASK) >> 32


def unit_fraction(hash_value: int) -> float:
    """A hash as a number in [0, 1)."""
    return mixed_bits(hash_value) / _RANGE


def rank_of(dispatcher: str, endpoint_id: str) -> float:
    """The rank of an endpoint for a dispatcher, in [0, 1); lower values rank higher."""
    return unit_fraction(fnv1a_64(f"{dispatcher}/{endpoint_id}"))


class KeyOrder:
    """The head of the order of endpoints for one key: the entries with a weight of at most `bound`."""

    def __init__(self, key: str) -> None:
        self.key_hash = fnv1a_64(key)
        self.entries: list[tuple[float, int]] = []
        self.bound = 0.0
        # The position in the caller's journal up to which changes are applied, and the caller's epoch then.
        self.journal_position, self.epoch = 0, -1

    def weight(self, endpoint_hash: int, units: float) -> float:
        """The endpoint's weight for the key; lower weights rank higher."""
        return -log(unit_fraction(self.key_hash ^ endpoint_hash) + 1e-12) / units

    def build(
        self, min_count: int, endpoints: Sequence[int], hashes: Sequence[int], units: Sequence[float]
    ) -> None:
        """Compute the head anew, with at least `min_count` entries.

        `endpoints` holds indexes into `hashes` and `units`.
        """
        key_hash = self.key_hash
        # Over all endpoints, not only those in `endpoints`: an estimate and an upper limit are enough here.
        total, largest = sum(units), max(units, default=1.0)
        # About w times the sum of units of many endpoints have a weight below w.
        self.bound = 1.25 * min_count / total if min_count < len(endpoints) else inf
        while True:
            # Only few endpoints are near the bound, and the logarithm is computed for these only. The floor
            # compares hashes without their low 32 bits.
            floor = max(0, int(exp(-self.bound * largest) * _RANGE) - _ROUNDING_ERROR) << 32
            near = [
                (bits, i)
                for i in endpoints
                if (bits := (key_hash ^ hashes[i]) * _FOLDED_MULTIPLIER + _FOLDED_INCREMENT & _MASK) >= floor
            ]
            weighed = [(-log((bits >> 32) / _RANGE + 1e-12) / units[i], i) for bits, i in near]
            self.entries = sorted([entry for entry in weighed if entry[0] <= self.bound])
            if len(self.entries) >= min_count or self.bound == inf:
                return
            self.bound *= 2.0

    def trim(self, count: int) -> None:
        """Drop all entries after the first `count`."""
        if count < len(self.entries):
            self.bound = self.entries[count - 1][0]
            del self.entries[bisect_right(self.entries, (self.bound, inf)) :]

    def change(self, i: int, endpoint_hash: int, old_units: float, new_units: float) -> None:
        """Update the entry of endpoint `i`; `old_units` is 0 if it is new, `new_units` if it was removed."""
        if old_units > 0.0:
            entry = (self.weight(endpoint_hash, old_units), i)
            position = bisect_left(self.entries, entry)
            if position < len(self.entries) and self.entries[position] == entry:
                del self.entries[position]
        if new_units > 0.0:
            weight = self.weight(endpoint_hash, new_units)
            if weight <= self.bound:
                insort(self.entries, (weight, i))

    def apply_changes(
        self,
        old_units: Mapping[int, float],
        hashes: Sequence[int],
        units: Sequence[float],
        is_ready: Mapping[int, bool],
    ) -> None:
        """Apply changes; `old_units` holds the previous units of each endpoint that changed, by index."""
        for i, old in old_units.items():
            self.change(i, hashes[i], old, units[i] if is_ready[i] else 0.0)
