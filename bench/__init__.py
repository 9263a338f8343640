"""Measurements of our own, against stand-ins written here: on loopback, bounded in count and time."""
