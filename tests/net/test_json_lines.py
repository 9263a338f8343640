"""Parsing JSON documents from a stream: chunks to lines, lines to documents."""

import json
import time

import pytest

from dunepulley.net import json_lines
from dunepulley.net.json_lines import JsonLines, LineKind

DOCUMENTS = [{"members": [], "text": 'a "{" b'}, {"members": [{"id": "]"}], "revision": 2}, [1, [2]]]


def documents_of(chunks):
    lines = JsonLines()
    parsed = [lines.parse(line) for chunk in chunks for line in lines.split(chunk)]
    return [document for document in parsed if not isinstance(document, LineKind)]


@pytest.mark.parametrize("size", [1, 2, 7, 1000])
@pytest.mark.parametrize("indent", [None, 1])
def test_documents_are_parsed_from_chunks_of_any_size(size, indent):
    raw = b"".join([json.dumps(document, indent=indent).encode() + b"\n\n" for document in DOCUMENTS])
    assert documents_of([raw[at : at + size] for at in range(0, len(raw), size)]) == DOCUMENTS


def test_reports_the_kind_of_each_line():
    lines = JsonLines()
    kinds = [lines.parse(line) for line in (b"", b"  ", b"{", b'"a": 1', b"}", b"[]")]
    empty, incomplete = LineKind.EMPTY, LineKind.INCOMPLETE
    assert kinds == [empty, empty, incomplete, incomplete, {"a": 1}, []]


@pytest.mark.parametrize("raw", [b"{\n\n", b"nonsense\n", b"{\n}}\n", b"}\n"])
def test_an_invalid_document_raises_value_error(raw):
    with pytest.raises(ValueError, match=".+"):
        documents_of([raw])


@pytest.mark.parametrize("chunks", [[b"x" * 11], [b"{\n", b"1" * 10]])
def test_a_line_or_document_that_is_too_long_raises_value_error(monkeypatch, chunks):
    monkeypatch.setattr(json_lines, "MAX_LINE_BYTES", 10)
    with pytest.raises(ValueError, match="at most 10 bytes"):
        documents_of(chunks)


@pytest.mark.parametrize(
    "chunks",
    [
        pytest.param([b'"' + b"x" * 60] * 20_000 + [b"\n"], id="one line in many pieces"),
        pytest.param([b'{"a": "' + b'\\"' * 50_000 + b"\n"], id="a string that does not end"),
    ],
)
def test_a_line_is_read_in_time_proportional_to_its_length(chunks):
    # Guards against holding the event loop up: with time that grows with the square of a line's length, one
    # damaged or slowly received line took seconds.
    lines, before_s = JsonLines(), time.process_time()
    for chunk in chunks:
        for line in lines.split(chunk):
            assert json_lines.bracket_depth(line) in (0, 1)
    assert time.process_time() - before_s < 0.15
