"""The log for on-call engineers: lines on standard error, rate-limited by event."""

from __future__ import annotations

import logging
import sys
import time
from dataclasses import dataclass

from dunepulley.net.log_events import LogEvent

# An event gets this many lines per period; further lines are only counted, so that the log stays readable
# while faults repeat.
LINES_PER_PERIOD = 5
PERIOD_S = 10.0
# Longer lines are truncated.
MAX_LINE_CHARACTERS = 2000


@dataclass(slots=True)
class Period:
    """The number of lines of one event since `started_s` by the monotonic clock."""

    started_s: float
    written: int = 0
    suppressed: int = 0


_periods: dict[str, Period] = {}


def write(event: str, text: str) -> None:
    """Write one line, or only count it if its event has used up its lines for this period."""
    if _may_write(event):
        _print(event, text)


def _may_write(event: str) -> bool:
    """Count a line; return whether its event has lines left in this period."""
    now = time.monotonic()
    period = _periods.get(event)
    if period is None:
        period = _periods[event] = Period(now)
    elif now - period.started_s >= PERIOD_S:
        if period.suppressed:
            _print(event, f"{period.suppressed} more lines were suppressed")
        period = _periods[event] = Period(now)
    if period.written < LINES_PER_PERIOD:
        period.written += 1
        return True
    period.suppressed += 1
    return False


def _print(event: str, text: str) -> None:
    line = text.replace("\n", " | ")[:MAX_LINE_CHARACTERS]
    try:
        print(f"dunepulley {event}: {line}", file=sys.stderr, flush=True)
    except OSError:
        pass  # the reader of standard error is gone; keep serving


class LibraryLogHandler(logging.Handler):
    """Writes messages that libraries log, under the same rate limit."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a library's message, with its exception if there is one."""
        if not _may_write(LogEvent.LIBRARY):
            return  # before the text is made, which may be much longer than a line
        cause = f": {record.exc_info[1]!r}" if record.exc_info else ""
        _print(LogEvent.LIBRARY, record.getMessage() + cause)
