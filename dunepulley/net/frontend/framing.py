"""Finds the end of an HTTP/1.1 request, before any other code parses it.

If two parsers could disagree about the length of a request, the bytes behind it might be taken for another
request (request smuggling, RFC 9112, 6.3 and 11.2): such a request is rejected here. Every function raises
`MalformedError` with a status and a reason.
"""

from __future__ import annotations

import re

from dunepulley.net.callbacks import MalformedError
from dunepulley.net.frontend.chunked_body import ChunkedBody
from dunepulley.net.frontend.limits import MAX_BODY_BYTES, MAX_HEAD_BYTES
from dunepulley.net.frontend.request_head import check_head

# Header lines of a head, between its first line and the empty line at its end, each with its value. The
# blanks around a value are removed separately: a pattern that removes them takes quadratic time.
_BLANKS = b" \t"
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length[ \t]*:([^\r\n]*)", re.I)
_TRANSFER_ENCODING = re.compile(rb"\r\ntransfer-encoding[ \t]*:([^\r\n]*)", re.I)
_EMPTY_LINES = re.compile(rb"(?:\r\n)*")
_EXPECT_CONTINUE = re.compile(rb"\r\nexpect:[ \t]*100-continue", re.I)
# More than any accepted length has; int() of many thousands of digits would be slow.
_MAX_LENGTH_DIGITS = 18
# Returned by `body_length` for a body with chunked transfer coding.
CHUNKED = -1


def body_length(head: bytes) -> int:
    """Return the length in bytes of the body that a checked head declares, or `CHUNKED`."""
    lengths = _field_values(_CONTENT_LENGTH, head)
    codings = _field_values(_TRANSFER_ENCODING, head)
    if codings:
        if lengths or len(codings) > 1 or codings[0].lower() != b"chunked":
            raise MalformedError(400, "Transfer-Encoding beside a length, or not chunked")
        return CHUNKED
    if not lengths:
        return 0
    if len(lengths) > 1 or not lengths[0].isdigit():
        raise MalformedError(400, "Content-Length is doubled or no whole number")
    if len(lengths[0]) > _MAX_LENGTH_DIGITS or int(lengths[0]) > MAX_BODY_BYTES:
        raise MalformedError(413, "the body is too large")
    return int(lengths[0])


def _field_values(pattern: re.Pattern[bytes], head: bytes) -> list[bytes]:
    """Return the values of all fields that a pattern finds, without the blanks around them."""
    return [value.strip(_BLANKS) for value in pattern.findall(head)]


def expects_continue(head: bytes) -> bool:
    """Return whether the client waits for `100 Continue` before it sends the body."""
    return _EXPECT_CONTINUE.search(head) is not None


class RequestBuffer:
    """Buffers the received bytes of one request until it is complete."""

    __slots__ = ("received", "_skipped_bytes", "_head_length", "_length", "_chunks")

    def __init__(self) -> None:
        self.received = bytearray()
        # The length of the empty lines that were skipped before the request.
        self._skipped_bytes = 0
        # The lengths of the head, with the empty line at its end, and of the whole request; 0 until known.
        self._head_length = self._length = 0
        self._chunks: ChunkedBody | None = None

    def add(self, data: bytes | memoryview) -> None:
        """Append received bytes."""
        if self._chunks is not None:
            self._chunks.add(data)
            return
        self.received += data
        if not self._head_length:
            # Some clients send an extra CRLF after a body: RFC 9112, 2.2 allows a server to skip it.
            end = _EMPTY_LINES.match(self.received).end()
            del self.received[:end]
            self._skipped_bytes += end

    def is_complete(self, added: int) -> bool:
        """Return whether the request is complete; `added` is the number of bytes that were just appended."""
        if not self._head_length and not self._read_head(added):
            return False
        if self._chunks is not None:
            self._chunks.decode()
            return self._chunks.is_complete
        return 0 < self._length <= len(self.received)

    def has_undecoded(self) -> bool:
        """Return whether `is_complete` has to be called again, as it has not decoded all that it could."""
        return self._chunks is not None and self._chunks.has_more

    def size(self) -> int:
        """Return the number of bytes in memory."""
        return len(self.received) + (self._chunks.size() if self._chunks is not None else 0)

    def head_bytes(self) -> int:
        """Return the length of the head; 0 until it is complete."""
        return self._head_length

    def awaits_continue(self) -> bool:
        """Return whether exactly the head was received and the client waits for `100 Continue`."""
        head_length = self._head_length
        if not 0 < head_length == len(self.received) or self._length == head_length:
            return False
        if self._chunks is not None and self._chunks.encoded_bytes:
            return False
        return expects_continue(bytes(self.received))

    def take_request(self) -> tuple[bytes, int]:
        """Return the complete request, with Content-Length, and the number of bytes behind it."""
        if self._chunks is None:
            return bytes(self.received[: self._length]), len(self.received) - self._length
        # The next parser need not decode the chunks again.
        length = b"\r\nContent-Length: %d" % len(self._chunks.body)
        head = _TRANSFER_ENCODING.sub(length, bytes(self.received))
        return head + bytes(self._chunks.body), self._chunks.excess()

    def _read_head(self, added: int) -> bool:
        """Look for the end of the head; return whether the head is complete."""
        end = self.received.find(b"\r\n\r\n", max(0, len(self.received) - added - 3))
        if self._skipped_bytes + (end if end >= 0 else len(self.received)) > MAX_HEAD_BYTES:
            raise MalformedError(431, "the head is too long")
        if end < 0:
            return False
        self._head_length = end + 4
        head = bytes(self.received[: end + 2])
        check_head(head)
        length = body_length(head)
        if length == CHUNKED:
            self._chunks = ChunkedBody()
            self._chunks.add(self.received[self._head_length :])
            del self.received[self._head_length :]
        else:
            self._length = self._head_length + length
        return True
