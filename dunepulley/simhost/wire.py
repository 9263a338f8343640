"""The simulator's text protocol: converts lines to events and commands to lines.

A line is a name and `name=value` fields, separated by single spaces, with times in microseconds.
`EVENT_READERS` and `COMMAND_WRITERS` hold a function for each name and each command. Invalid lines raise
WireError, KeyError, ValueError or IndexError.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from dunepulley.gossip_codec import decode_gossip, encode_gossip
from dunepulley.load_reports import parse_report_text
from dunepulley.routing.commands import (
    CancelAttempt,
    CheckHealth,
    Fail,
    Reject,
    SendGossip,
    SetTimer,
    StartAttempt,
    WriteLog,
)
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    ClientDisconnected,
    EndpointEntry,
    EndpointState,
    GossipReceived,
    HealthCheckEnded,
    ListUpdateKind,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from dunepulley.setting_names import NAME_LISTS, is_name_setting, translate_setting

US_PER_MS = 1000.0
REPORT_SEPARATOR = ":"
RESULTS = {
    "completed": AttemptResult.COMPLETED,
    "errored": AttemptResult.ERRORED,
    "saturated": AttemptResult.REJECTED,
    "overdue": AttemptResult.TIMED_OUT,
    "refused_conn": AttemptResult.CONNECT_FAILED,
    "severed": AttemptResult.CONNECTION_LOST,
    "recalled": AttemptResult.CANCELLED,
    "superseded": AttemptResult.NOT_SENT,
}
ENDPOINT_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
LIST_UPDATE_KINDS = {
    "diff": ListUpdateKind.CHANGES,
    "snapshot": ListUpdateKind.FULL,
    "disk": ListUpdateKind.FROM_DISK,
    "error": ListUpdateKind.FAILED,
}

Fields = dict[str, str]


class WireError(Exception):
    """A line or a batch is invalid; the text gives the reason."""


def parse_fields(parts: list[str]) -> Fields:
    """Return the `name=value` pairs of a split line; raises ValueError for a part of another form."""
    return dict([part.split("=", 1) for part in parts])


def milliseconds(microseconds: str) -> float:
    """Convert a number of microseconds to milliseconds; raises ValueError for any other text."""
    return int(microseconds) / US_PER_MS


# ---------------------------------------------------------------- settings


def parse_settings(fields: Fields) -> dict[str, object]:
    """Return the settings by name; comma-separated values become tuples."""
    return dict([translate_setting(name, _setting_value(name, text)) for name, text in fields.items()])


def _setting_value(name: str, text: str) -> object:
    if is_name_setting(name):
        return text
    if name in NAME_LISTS:
        return tuple(text.split(",")) if text else ()
    if "," in text:
        return tuple([_plain_value(part) for part in text.split(",")])
    return _plain_value(text)


def _plain_value(text: str) -> object:
    """Return a boolean, a number, or the text itself."""
    if text in ("true", "false"):
        return text == "true"
    try:
        return float(text)
    except ValueError:
        return text


# ---------------------------------------------------------------- events


def parse_list_entry(line: str) -> EndpointEntry:
    """Return the endpoint of an `item` line; these follow a `roster_change` line."""
    name, *parts = line.split(" ")
    if name != "item":
        raise WireError(f"roster_change: expected an item line, got {name!r}")
    fields = parse_fields(parts)
    return EndpointEntry(
        endpoint_id=fields["worker"],
        zone=fields.get("az", ""),
        kind=fields.get("familyType", ""),
        cell=fields.get("bay", ""),
        state=ENDPOINT_STATES.get(fields.get("state", "active"), EndpointState.DRAINING),
        capacity=float(fields.get("units", 1)),
        started_ms=milliseconds(fields.get("sinceUs", "0")),
    )


def _request_arrived(fields: Fields) -> RequestArrived:
    return RequestArrived(
        fields["corr"],
        fields["cls"],
        milliseconds(fields["timeBudgetUs"]),
        float(fields.get("width", 1)),
        fields.get("billing", ""),
        milliseconds(fields.get("expectedUs", "0")),
        fields.get("resent") == "1",
        fields.get("affinity", ""),
        float(fields.get("mem", 0)),
    )


def _attempt_ended(fields: Fields) -> AttemptEnded:
    return AttemptEnded(
        fields["corr"],
        int(fields["try"]),
        RESULTS[fields["result"]],
        fields["worker"],
        milliseconds(fields.get("rttUs", "0")),
        fields.get("last") == "1",
        _load_report(fields),
    )


def _attempt_started(fields: Fields) -> AttemptStarted:
    return AttemptStarted(fields["corr"], int(fields["try"]), float(fields.get("amount", 0)))


def _response_started(fields: Fields) -> ResponseStarted:
    return ResponseStarted(fields["corr"], int(fields["try"]))


def _health_check_ended(fields: Fields) -> HealthCheckEnded:
    return HealthCheckEnded(
        fields["worker"],
        RESULTS.get(fields["result"], AttemptResult.ERRORED),
        milliseconds(fields.get("rttUs", "0")),
        _load_report(fields),
    )


def _client_disconnected(fields: Fields) -> ClientDisconnected:
    return ClientDisconnected(fields["corr"])


def _timer_fired(fields: Fields) -> TimerFired:
    return TimerFired(int(fields["token"]))


def _gossip_received(fields: Fields) -> GossipReceived | None:
    """Return another dispatcher's message, or None for an invalid one, which is ignored like a lost one."""
    try:
        return decode_gossip(int(fields["neighbour"]), bytes.fromhex(fields["octets"]))
    except ValueError:
        return None


def _load_report(fields: Fields) -> dict[str, float] | None:
    return parse_report_text(fields.get("healthInfo"), REPORT_SEPARATOR)


# Readers by the name of a line; a reader returns None for an event to ignore.
EVENT_READERS: dict[str, Callable[[Fields], Any]] = {
    "job_in": _request_arrived,
    "ended": _attempt_ended,
    "checked": _health_check_ended,
    "update_of": _attempt_started,
    "streaming": _response_started,
    "withdrawn": _client_disconnected,
    "fired": _timer_fired,
    "memo": _gossip_received,
}


# ---------------------------------------------------------------- commands


def _start_attempt(command: StartAttempt) -> str:
    timeout_us = max(1, int(command.timeout_ms * US_PER_MS))
    return f"call_out corr={command.request_id} worker={command.endpoint_id} timeoutUs={timeout_us}"


def _cancel_attempt(command: CancelAttempt) -> str:
    return f"revoke corr={command.request_id} try={command.attempt_number}"


def _reject(command: Reject) -> str:
    return f"push_back corr={command.request_id} notBeforeForUs={int(command.retry_after_ms * US_PER_MS)}"


def _fail(command: Fail) -> str:
    return f"abort corr={command.request_id}"


def _check_health(command: CheckHealth) -> str:
    return f"sound_out worker={command.endpoint_id}"


def _send_gossip(command: SendGossip) -> str:
    recipient = "all" if command.recipient < 0 else command.recipient
    return f"say recipient={recipient} octets={encode_gossip(command).hex()}"


def _set_timer(command: SetTimer) -> str:
    # Rounded up to the next microsecond, so that the timer never fires early.
    return f"set_timer spanUs={max(1, int(command.delay_ms * US_PER_MS) + 1)} token={command.token}"


def _write_log(command: WriteLog) -> str:
    return "write_log reasonText=" + command.message.replace("\n", " ")


COMMAND_WRITERS: dict[type, Callable[[Any], str]] = {
    StartAttempt: _start_attempt,
    CancelAttempt: _cancel_attempt,
    Reject: _reject,
    Fail: _fail,
    CheckHealth: _check_health,
    SendGossip: _send_gossip,
    SetTimer: _set_timer,
    WriteLog: _write_log,
}
