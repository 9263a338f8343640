"""JSON documents in a byte stream: each on one line, or indented over several lines."""

from __future__ import annotations

import re
from enum import Enum
from typing import Any

import orjson

# Limit on the length of a line or document. A list of thousands of endpoints on one line is well below it.
MAX_LINE_BYTES = 64 * 1024 * 1024

# An unterminated string extends to the end of the line: the search must not start again in its middle.
STRING = re.compile(rb'"(?:[^"\\]|\\.)*+"?')
BRACKET = re.compile(rb"[][{}]")


class LineKind(Enum):
    """The kind of a line that does not end a document."""

    EMPTY = "empty"
    INCOMPLETE = "incomplete"  # the document continues on the next line


def bracket_depth(line: bytes) -> int:
    """Return how many more brackets a line of JSON opens than it closes."""
    if not BRACKET.search(line):
        return 0
    without_strings = STRING.sub(b"", line)
    opened = without_strings.count(b"{") + without_strings.count(b"[")
    return opened - without_strings.count(b"}") - without_strings.count(b"]")


def parse_whole_line(line: bytes) -> Any:
    """Return the document on a line; None if the line is empty or part of an indented document."""
    try:
        return orjson.loads(line)
    except orjson.JSONDecodeError:
        return None


class JsonLines:
    """Assembles the chunks of a stream into lines, and lines into documents."""

    def __init__(self) -> None:
        self._partial_line = bytearray()
        self._document = bytearray()  # the lines received so far of an indented document
        self._depth = 0

    def split(self, chunk: bytes) -> list[bytes]:
        """Return the lines that end in a chunk; raises ValueError if a line or document is too long."""
        line_end, *others = chunk.split(b"\n")
        self._partial_line += line_end
        lines = []
        if others:
            *whole_lines, line_start = others
            lines = [bytes(self._partial_line), *whole_lines]
            self._partial_line = bytearray(line_start)
        if len(self._partial_line) + len(self._document) > MAX_LINE_BYTES:
            raise ValueError(f"expected a line of at most {MAX_LINE_BYTES} bytes, got a longer one")
        return lines

    def parse(self, line: bytes) -> Any:
        """Return the document that ends with a line, or a `LineKind` if no document ends there.

        Raises ValueError if a document is incomplete or is not valid JSON.
        """
        if not self._document:
            document = parse_whole_line(line)
            if document is not None:
                return document
        elif not line.strip():
            raise ValueError("incomplete JSON document before an empty line")
        self._document += line
        self._depth += bracket_depth(line)
        if self._depth > 0:
            return LineKind.INCOMPLETE
        raw, self._document, self._depth = self._document, bytearray(), 0
        return orjson.loads(raw) if raw.strip() else LineKind.EMPTY
