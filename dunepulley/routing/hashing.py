"""The hash function shared by all dispatchers, used for endpoint ranks and for short ids in gossip."""

from __future__ import annotations

_FNV_OFFSET, _FNV_PRIME = 0xCBF29CE484222325, 0x100000001B3
_MASK_64 = 0xFFFFFFFFFFFFFFFF


def fnv1a_64(text: str) -> int:
    """The 64-bit FNV-1a hash of the UTF-8 encoding of a text."""
    hash_value = _FNV_OFFSET
    for byte in text.encode():
        hash_value = (hash_value ^ byte) * _FNV_PRIME & _MASK_64
    return hash_value
