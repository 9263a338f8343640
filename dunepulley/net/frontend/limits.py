"""Limits on the size of a request, in bytes."""

MAX_BODY_BYTES = 65536
# A typical head has a few hundred bytes; a head that never ends must not fill the memory.
MAX_HEAD_BYTES = 16384
