"""The file format of traces: which requests arrived at a dispatcher, and when.

A trace is lines of JSON: a header with the format's version and the dispatcher's name, then one line for each
request in order of arrival. It holds neither request ids nor bodies. Dispatchers write traces, and the load
tool replays them.
"""

from __future__ import annotations

from pathlib import Path
from typing import IO, Any, NamedTuple

import orjson

from dunepulley.json_values import is_number

VERSION = 1
MAX_REQUESTS = 1_000_000
MAX_LINE_BYTES = 1000
MAX_NAME_LENGTH = 128
MAX_DURATION_MS = 24 * 3600 * 1000.0
MAX_BODY_BYTES = 65536.0


class TraceError(Exception):
    """A trace cannot be replayed; the text names the file or line at fault."""


class RecordedRequest(NamedTuple):
    """One request; the fields' names are the keys of its line.

    `at` is in ms since the first request, `category` names the request class, `budget` is the timeout and
    `hint` the expected run time, both in ms, and `size` is the body's length in bytes.
    """

    at: float
    category: str
    budget: float
    hint: float = 0.0
    size: int = 0


def encode_header(dispatcher_name: str) -> bytes:
    """Return the first line of a trace."""
    return orjson.dumps({"trace": VERSION, "dispatcher": dispatcher_name}) + b"\n"


def encode_request(request: RecordedRequest) -> bytes:
    """Return the line of one request."""
    return orjson.dumps(request._asdict()) + b"\n"


def read_trace(path: str) -> list[RecordedRequest]:
    """Return all requests of a trace.

    Raises `TraceError` where the file cannot be read, any line is malformed, or it holds no request.
    """
    try:
        with Path(path).open("rb") as file:
            return _decode_requests(file)
    except OSError as problem:
        raise TraceError(f"cannot read {path}: {problem.strerror}") from problem
    except ValueError as problem:
        raise TraceError(f"{path}: {problem}") from problem


def _decode_requests(file: IO[bytes]) -> list[RecordedRequest]:
    """Return the requests of an open trace; raises ValueError with the line at fault."""
    requests: list[RecordedRequest] = []
    number = 0
    while line := file.readline(MAX_LINE_BYTES + 1):
        number += 1
        document = _decode_line(line, number)
        if number == 1:
            if not isinstance(document, dict) or document.get("trace") != VERSION:
                raise ValueError(f"line 1: expected the header of a trace of version {VERSION}")
            continue
        request = _decode_request(document, number)
        if requests and request.at < requests[-1].at:
            raise ValueError(f"line {number}: at is earlier than in the line before")
        requests.append(request)
        if len(requests) > MAX_REQUESTS:
            raise ValueError(f"more than {MAX_REQUESTS} requests")
    if not requests:
        raise ValueError("expected at least one request")
    return requests


def _decode_line(line: bytes, number: int) -> Any:
    """Return the JSON document of a line; raises ValueError with the line's number."""
    if not line.endswith(b"\n"):
        raise ValueError(f"line {number} is {'too long' if len(line) > MAX_LINE_BYTES else 'cut off'}")
    try:
        return orjson.loads(line)
    except orjson.JSONDecodeError as problem:
        raise ValueError(f"line {number}: expected a JSON document") from problem


def _decode_request(document: Any, number: int) -> RecordedRequest:
    """Return the request of a line's document; raises ValueError with the line's number and the field."""
    if not isinstance(document, dict) or set(document) != set(RecordedRequest._fields):
        raise ValueError(f"line {number}: expected a request with the keys of a trace")
    category = document["category"]
    if not isinstance(category, str) or not category or len(category) > MAX_NAME_LENGTH:
        raise ValueError(f"line {number}: category: expected a non-empty short name")
    durations = dict.fromkeys(("at", "budget", "hint"), MAX_DURATION_MS)
    for name, maximum in {**durations, "size": MAX_BODY_BYTES}.items():
        value = document[name]
        if not is_number(value) or not 0.0 <= value <= maximum:
            raise ValueError(f"line {number}: {name}: expected a number in range, got {value!r}")
    return RecordedRequest(
        float(document["at"]),
        category,
        float(document["budget"]),
        float(document["hint"]),
        int(document["size"]),
    )
