"""The event log: router events and commands as lines on standard error, for statistics over a fleet.

Disabled unless `serve --events` was given. A line is `= <Unix ms> <word> <fields>`, separated by single
spaces; the first line of a process is `= <Unix ms> events <format version> <name>`. `bench/fleet.py` reads
the lines and documents each word.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Iterable
from typing import Any

from dunepulley.routing.commands import CancelAttempt, CheckHealth, Fail, Reject, StartAttempt
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptStarted,
    ClientDisconnected,
    EndpointListUpdate,
    EndpointState,
    HealthCheckEnded,
    RequestArrived,
)

FORMAT_VERSION = 1
COUNTED_STATES = (EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED)


def _hyphenated(text: str) -> str:
    return text.replace(" ", "-")


def _request_arrived(event: RequestArrived) -> str:
    return (
        f"arrived {event.request_id} {event.request_class} {event.timeout_ms:.0f} {int(event.is_retry)}"
        f" {event.expected_ms:.0f}"
    )


def _attempt_ended(event: AttemptEnded) -> str:
    return (
        f"ended {event.request_id} {event.endpoint_id} {_hyphenated(event.result)}"
        f" {event.duration_ms:.0f} {event.attempt_number}"
    )


def _health_check_ended(event: HealthCheckEnded) -> str:
    return (
        f"probed {event.endpoint_id} {_hyphenated(event.result)} {event.duration_ms:.1f} {event.load_report}"
    )


def _endpoint_list_update(event: EndpointListUpdate) -> str:
    states = [entry.state for entry in event.entries]
    counts = " ".join([str(states.count(state)) for state in COUNTED_STATES])
    return f"list {_hyphenated(event.kind)} {counts}"


FORMATTERS: dict[type, Callable[[Any], str]] = {
    RequestArrived: _request_arrived,
    AttemptStarted: lambda event: f"began {event.request_id} {event.attempt_number}",
    AttemptEnded: _attempt_ended,
    ClientDisconnected: lambda event: f"withdrawn {event.request_id}",
    HealthCheckEnded: _health_check_ended,
    EndpointListUpdate: _endpoint_list_update,
    StartAttempt: lambda command: f"sent {command.request_id} {command.endpoint_id}",
    CancelAttempt: lambda command: f"taken-back {command.request_id} {command.attempt_number}",
    Reject: lambda command: f"deferred {command.request_id} {command.retry_after_ms:.0f}",
    Fail: lambda command: f"written-off {command.request_id}",
    CheckHealth: lambda command: f"probe {command.endpoint_id}",
}


class EventLog:
    """Writes the lines of a batch with one call, so that no line is incomplete if the process is killed.

    Args:
        name: the name of the dispatcher.
        now: Unix time in ms.
    """

    def __init__(self, name: str, now: float) -> None:
        self._write([f"= {now:.1f} events {FORMAT_VERSION} {name}"])

    def write_batch(self, now: float, entries: Iterable[Any]) -> None:
        """Write the events or the commands of one batch; types without a formatter are omitted."""
        formatted = [FORMATTERS[type(entry)](entry) for entry in entries if type(entry) in FORMATTERS]
        self._write([f"= {now:.1f} {text}" for text in formatted])

    def write_line(self, now: float, text: str) -> None:
        """Write an entry for something that is no router event: discovery calls, and rejected requests."""
        self._write([f"= {now:.1f} {text}"])

    @staticmethod
    def _write(lines: list[str]) -> None:
        if not lines:
            return
        try:
            os.write(sys.stderr.fileno(), ("\n".join(lines) + "\n").encode("utf-8", "replace"))
        except OSError:
            pass  # the reader of standard error is gone; keep serving
