"""A small seeded random number generator, so that randomized decisions are reproducible from the seed."""

from __future__ import annotations

_MULTIPLIER, _INCREMENT = 6364136223846793005, 1442695040888963407
_MASK_64 = 0xFFFFFFFFFFFFFFFF
_RANGE = 4294967296.0


class RandomGenerator:
    """A linear congruential generator with Knuth's MMIX constants; only the high 32 bits are used."""

    def __init__(self, seed: int) -> None:
        self._state = (seed * 2 + 1) & _MASK_64

    def random(self) -> float:
        """The next number, in [0, 1)."""
        self._state = (self._state * _MULTIPLIER + _INCREMENT) & _MASK_64
        return (self._state >> 32) / _RANGE
