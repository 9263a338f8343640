"""Checks a request's head before the HTTP library parses it.

The library raises an error that holds the head, and logs it, for each head that it cannot parse: too
expensive for thousands of unsound heads a second. What passes here is, but for a few rules on single fields,
what the library can parse.
"""

from __future__ import annotations

import re

from dunepulley.net.callbacks import MalformedError

# Limits below those of the library, which are 128 fields and lines of 8,190 bytes.
MAX_FIELDS = 100
MAX_LINE_BYTES = 8000
# The quantifiers are possessive: a head that does not match is given up in one pass.
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]++"
_REQUEST_LINE = re.compile(rb"(%s) ([!-~\x80-\xff]++) HTTP/1\.[01]\r\n" % _TOKEN)
_FIELD_LINES = re.compile(rb"(?:%s:[\t -~\x80-\xff]*+\r\n)*+" % _TOKEN)
# Folded lines; bare CR or LF and NUL bytes outside of line ends. Parsers interpret them differently.
_FOLDS = (b"\r\n ", b"\r\n\t")
_AMBIGUOUS_BYTES = (b"\r", b"\n", b"\0")
# The methods that the library passes on like any other; it rejects some, and CONNECT ends the framing.
_METHODS = frozenset((b"GET", b"HEAD", b"POST", b"PUT", b"DELETE", b"PATCH", b"OPTIONS"))


def check_head(head: bytes) -> None:
    """Check the lines of a head, each with its line end, without the empty line behind them.

    Raises:
        MalformedError: the library could not parse it; its arguments are a status and a reason.
    """
    request_line = _REQUEST_LINE.match(head)
    if request_line is None or _FIELD_LINES.match(head, request_line.end()).end() < len(head):
        raise MalformedError(400, _reason(head))
    lines = head.split(b"\r\n")
    if len(lines) - 2 > MAX_FIELDS or max(map(len, lines)) > MAX_LINE_BYTES:
        raise MalformedError(431, "the head has too many fields or too long a line")
    if request_line[1] not in _METHODS:
        raise MalformedError(405, "work items come by POST")
    if not request_line[2].startswith(b"/"):
        raise MalformedError(400, "the target is no path")


def _reason(head: bytes) -> str:
    """Return why a head cannot be parsed."""
    text = head.replace(b"\r\n", b"")
    if any([fold in head for fold in _FOLDS]) or any([byte in text for byte in _AMBIGUOUS_BYTES]):
        return "lines that end oddly or are folded"
    return "the request line or a header field is malformed"
