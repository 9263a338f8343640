"""The hash function that dispatchers of all versions share."""

import pytest

from dunepulley.routing.hashing import fnv1a_64


@pytest.mark.parametrize(
    ("text", "expected"),
    # From the test vectors of the authors of FNV.
    [("", 0xCBF29CE484222325), ("a", 0xAF63DC4C8601EC8C), ("foobar", 0x85944171F73967E8)],
)
def test_fnv1a_64_matches_published_values(text, expected):
    assert fnv1a_64(text) == expected


def test_text_is_hashed_as_utf_8():
    assert fnv1a_64("\u00e9") == 0x0AC21707B7181E01
