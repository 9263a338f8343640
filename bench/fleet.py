"""Counts the actions of a fleet of dispatchers from the event logs that `serve --events` writes.

    python -m bench.fleet FOLDER [--step MS] [--from S] [--to S] [--by worker]

FOLDER holds one log for each dispatcher (`NAME.log`); a line may begin with the time at which a bench
received it. The columns for each step: requests that arrived, client retries among them, attempts, attempts
after the first one of their request, attempts rejected as full, attempts that failed otherwise, requests
rejected with Retry-After, requests failed, attempts cancelled, health checks, calls for the endpoint list,
refused calls, updates of the list. A log that is truncated or has another format is refused with one line on
standard error and exit code 2.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter, defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

LOG_FORMAT = "1"
COLUMNS = (
    *("came", "repeat", "sent", "moved", "full", "bad", "deferred", "written-off", "taken-back"),
    *("probe", "list-call", "refused", "list"),
)
# The number of fields after each event word; words that are not listed may have any number of fields.
FIELD_COUNTS = {
    "events": 2,
    "arrived": 5,
    "sent": 2,
    "ended": 5,
    "deferred": 2,
    "written-off": 1,
    "taken-back": 2,
    "probe": 1,
    "list-call": 1,
    "list-refused": 0,
    "list": 4,
}


class LogError(Exception):
    """A log cannot be counted; the text names the log and the reason in one line."""


class LogEvent(NamedTuple):
    """One line of an event log: its time in ms, the dispatcher, and its words."""

    ms: float
    dispatcher: str
    words: list[str]


def read_events(path: Path) -> Iterator[LogEvent]:
    """Yield the events of one dispatcher's log; raises LogError where it is unusable."""
    text = path.read_text(errors="replace")
    if text and not text.endswith("\n"):
        raise LogError(f"{path.name}: the last line has no newline, the log is truncated")
    has_format_line = False
    for number, line in enumerate(text.splitlines(), 1):
        words = line.split()
        marker = words.index("=") if "=" in words[:2] else -1
        if marker < 0:
            continue
        try:
            event = LogEvent(float(words[marker + 1]), path.stem, words[marker + 2 :])
            expected = FIELD_COUNTS.get(event.words[0], len(event.words) - 1)
        except (ValueError, IndexError):
            raise LogError(f"{path.name}:{number}: expected '= MS WORD ...', got {line[:60]!r}") from None
        if len(event.words) - 1 != expected:
            raise LogError(
                f"{path.name}:{number}: event {event.words[0][:60]!r}: expected {expected} fields, "
                f"got {len(event.words) - 1}"
            )
        if event.words[0] == "events":
            if event.words[1] != LOG_FORMAT:
                raise LogError(f"{path.name}:{number}: log format {event.words[1]}, expected {LOG_FORMAT}")
            has_format_line = True
        elif not has_format_line:
            raise LogError(f"{path.name}:{number}: event before the 'events' line that names the format")
        yield event
    if not has_format_line:
        raise LogError(f"{path.name}: no events; was the dispatcher started with --events?")


def read_logs(folder: Path) -> list[LogEvent]:
    """The events of all dispatchers' logs in a folder, ordered by time."""
    paths = sorted(folder.glob("*.log"))
    if not paths:
        raise LogError(f"{folder}: no *.log files found")
    return sorted([event for path in paths for event in read_events(path)], key=lambda event: event.ms)


def columns_of(event: LogEvent, attempt_counts: Counter) -> tuple[list[str], str]:
    """The columns in which an event is counted, and the endpoint that it names, empty for none.

    `attempt_counts` holds the attempts seen so far of each request at each dispatcher.
    """
    word, *rest = event.words
    if word == "arrived":
        return ["came", "repeat"] if rest[3] == "1" else ["came"], ""
    if word == "sent":
        attempt_counts[event.dispatcher, rest[0]] += 1
        return ["sent", "moved"] if attempt_counts[event.dispatcher, rest[0]] > 1 else ["sent"], rest[1]
    if word == "ended":
        no_failure = rest[2] in ("finished", "taken-back", "not-sent")
        return [] if no_failure else ["full" if rest[2] == "full" else "bad"], rest[1]
    column = {"list-refused": "refused"}.get(word, word)
    return [column] if column in COLUMNS else [], rest[0] if word == "probe" else ""


def table(
    events: list[LogEvent], step_ms: float, begin_s: float, end_s: float, by_endpoint: bool
) -> list[str]:
    """The lines of the table: a header and rows of counts, by time or by endpoint.

    `step_ms` is the time covered by a row; `begin_s` and `end_s` limit the events that are counted.
    """
    first_ms = events[0].ms
    rows: dict[str | int, Counter] = defaultdict(Counter)
    attempt_counts: Counter = Counter()
    for event in events:
        columns, endpoint = columns_of(event, attempt_counts)
        since_ms = event.ms - first_ms
        if begin_s * 1000.0 <= since_ms < end_s * 1000.0 and (endpoint or not by_endpoint):
            rows[endpoint if by_endpoint else int(since_ms // step_ms)].update(columns)
    lines = [" ".join([f"{'worker' if by_endpoint else 's':>12}", *COLUMNS])]
    for key in sorted(rows, key=str if by_endpoint else None):
        name = key if by_endpoint else f"{key * step_ms / 1000.0:.1f}"
        lines.append(f"{name:>12} " + " ".join(f"{rows[key][column]:>{len(column)}}" for column in COLUMNS))
    return lines


def main(arguments: list[str] | None = None) -> int:
    """Print the counts; returns 2, with one line on standard error, if they cannot be computed."""
    parser = argparse.ArgumentParser(prog="python -m bench.fleet", description="Counts a fleet's actions.")
    parser.add_argument("folder", type=Path)
    parser.add_argument("--step", type=float, default=100.0, help="milliseconds covered by each row")
    parser.add_argument("--from", dest="begin", type=float, default=0.0, help="seconds since the first event")
    parser.add_argument("--to", dest="end", type=float, default=float("inf"))
    parser.add_argument("--by", choices=("time", "worker"), default="time")
    options = parser.parse_args(arguments)
    if not options.step > 0.0:
        print(f"fleet: --step: expected a number above 0, got {options.step:g}", file=sys.stderr)
        return 2
    try:
        events = read_logs(options.folder)
    except (LogError, OSError) as error:
        print(f"fleet: {error}", file=sys.stderr)
        return 2
    print("\n".join(table(events, options.step, options.begin, options.end, options.by == "worker")))
    return 0


if __name__ == "__main__":
    sys.exit(main())
