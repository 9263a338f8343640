"""Decodes a body with chunked transfer coding as it arrives, a bounded number of chunks at a time."""

from __future__ import annotations

import re

from dunepulley.net.callbacks import MalformedError
from dunepulley.net.frontend.limits import MAX_BODY_BYTES

# The quantifiers are possessive: what does not match is given up in one pass.
_CHUNK_HEAD = re.compile(rb"([0-9a-fA-F]{1,21}+)[ \t]*+(?:;[^\r\n]{0,256}+)?+\r\n")
_MAX_CHUNK_HEAD_BYTES = 300
_LINE_END = b"\r\n"
# The trailer section behind the last chunk, with the empty line at its end. Its fields are not used.
_TRAILER = re.compile(rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]++:[^\r\n\0]*+\r\n)*+\r\n")
_MAX_TRAILER_BYTES = 2048
# Limit for a body with all that the coding adds to it.
_MAX_ENCODED_BYTES = 2 * MAX_BODY_BYTES
# The chunks that are decoded at once: a client can make each as small as one byte, and while the chunks of
# one client are decoded, all others wait.
MAX_CHUNKS_PER_STEP = 32


class ChunkedBody:
    """The decoded body, and the received bytes that are not decoded yet.

    Chunk extensions and trailers are dropped.
    """

    __slots__ = ("body", "is_complete", "has_more", "encoded_bytes", "_received", "_has_last_chunk")

    def __init__(self) -> None:
        self.body = bytearray()
        # Whether the end of the body was found.
        self.is_complete = False
        # Whether another call of `decode` may get further without more bytes.
        self.has_more = False
        # The number of bytes received so far.
        self.encoded_bytes = 0
        self._received = bytearray()
        # After the last chunk, only trailers may follow.
        self._has_last_chunk = False

    def add(self, data: bytes | bytearray | memoryview) -> None:
        """Append received bytes."""
        self._received += data
        self.encoded_bytes += len(data)

    def size(self) -> int:
        """Return the number of bytes in memory."""
        return len(self.body) + len(self._received)

    def excess(self) -> int:
        """Return the number of bytes received behind the body, once it is complete."""
        return len(self._received)

    def decode(self) -> None:
        """Decode the next chunks, `MAX_CHUNKS_PER_STEP` at most.

        Raises:
            MalformedError: the body is malformed or too large; its arguments are a status and a reason.
        """
        position = 0
        self.has_more = not self._has_last_chunk
        for _ in range(MAX_CHUNKS_PER_STEP):
            end = 0 if self._has_last_chunk else self._read_chunk(position)
            if not end:
                self.has_more = False
                break
            position = end
        del self._received[:position]
        if self._has_last_chunk:
            self._find_trailer_end()
        if not self.is_complete and not self.has_more and self.encoded_bytes > _MAX_ENCODED_BYTES:
            raise MalformedError(413, "the body is too large")

    def _read_chunk(self, position: int) -> int:
        """Decode the chunk at an offset; return the offset behind it, or 0 if it is incomplete."""
        received = self._received
        head = _CHUNK_HEAD.match(received, position, position + _MAX_CHUNK_HEAD_BYTES)
        if head is None:
            if len(received) - position > _MAX_CHUNK_HEAD_BYTES or b"\n" in received[position:]:
                raise MalformedError(400, "a chunk without its length")
            return 0
        size = int(head[1], 16)
        if size == 0:
            self._has_last_chunk = True
            return head.end()
        if len(self.body) + size > MAX_BODY_BYTES:
            raise MalformedError(413, "the body is too large")
        data_end = head.end() + size
        end = data_end + len(_LINE_END)
        if len(received) < end:
            return 0
        if received[data_end:end] != _LINE_END:
            raise MalformedError(400, "a chunk of another length than it says")
        self.body += received[head.end() : data_end]
        return end

    def _find_trailer_end(self) -> None:
        self.has_more = False
        trailer = _TRAILER.match(self._received, 0, _MAX_TRAILER_BYTES)
        if trailer is not None:
            self.is_complete = True
            del self._received[: trailer.end()]
        elif len(self._received) > _MAX_TRAILER_BYTES or b"\r\n\r\n" in self._received:
            raise MalformedError(400, "what comes behind the last chunk is no trailer")
