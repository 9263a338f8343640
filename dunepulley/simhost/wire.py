"""The simulator's text wire: lines to events, commands to lines, microseconds to milliseconds and back."""

from __future__ import annotations

from dunepulley import interface as face

RESULTS = {
    "completed": face.FINISHED,
    "errored": face.ERRED,
    "saturated": face.FULL,
    "overdue": face.TIMED_OUT,
    "refused_conn": face.NOT_CONNECTED,
    "severed": face.CUT,
    "recalled": face.TAKEN_BACK,
    "superseded": face.NOT_SENT,
}
STATES = {"active": face.READY, "leaving": face.LEAVING, "left": face.LEFT}
LISTS = {"diff": face.CHANGES, "snapshot": face.FULL_LIST, "disk": face.DISK_LIST, "error": face.LIST_ERROR}
REPORT_NAMES = {
    "throughput": "rate",
    "backlog": "queue",
    "recent_ms": "service_ms",
    "errors_per_s": "errors",
    "outstanding": "held",
    "utilization": "busy",
}
SETTING_WORDS = {
    "read_like": face.RERUNNABLE,
    "idempotency_key": face.TICKETED,
    "non_idempotent": face.EXCLUSIVE,
    "subscribe": "asked",
    "automatic": "pushed",
    "true": True,
    "false": False,
    "": (),
}


class WireError(Exception):
    """A line that cannot be read; its text is the plain message for whoever runs the adapter."""


def fields_of(parts: list[str]) -> dict[str, str]:
    """The name=value pairs of a split line."""
    return dict([part.split("=", 1) for part in parts])


def value_of(text: str, micros: bool) -> object:
    """One value of the settings: a word, a number, or text."""
    if text in SETTING_WORDS:
        return SETTING_WORDS[text]
    try:
        number = float(text)
    except ValueError:
        return text
    return number / 1000.0 if micros else number


def settings_of(pairs: dict[str, str]) -> dict[str, object]:
    """The settings as a plain map; names in ...Us become ...Ms, values joined by commas become tuples.

    Names of things (categories, tenants, zones) stay texts, whatever they look like.
    """
    settings: dict[str, object] = {}
    for name, text in pairs.items():
        if name.endswith(".name") or name == "zone":
            settings[name] = text
        elif name == "reporting.fields":
            settings[name] = tuple(REPORT_NAMES.get(word, word) for word in text.split(","))
        elif name in ("areas", "kinds", "stages"):
            settings[name] = tuple(text.split(",")) if text else ()
        else:
            micros = name.endswith("Us")
            key = name[:-2] + "Ms" if micros else name
            if "," in text:
                settings[key] = tuple(value_of(part, micros) for part in text.split(","))
            else:
                settings[key] = value_of(text, micros)
    return settings


def report_of(text: str | None) -> dict[str, float] | None:
    """A load report in our words; names we don't know are skipped."""
    if not text:
        return None
    report = {}
    for pair in text.split(","):
        name, _, figure = pair.partition(":")
        try:
            report[REPORT_NAMES.get(name, name)] = float(figure)
        except ValueError:
            continue
    return report


def entry_of(line: str) -> face.Entry:
    """One `item` line of a worker list."""
    name, *parts = line.split(" ")
    if name != "item":
        raise WireError(f"expected a list entry, got {name!r}")
    field = fields_of(parts)
    return face.Entry(
        field["worker"],
        field.get("az", ""),
        field.get("familyType", ""),
        field.get("bay", ""),
        STATES.get(field.get("state", "active"), face.LEAVING),
        float(field.get("units", 1)),
        int(field.get("sinceUs", 0)) / 1000.0,
    )


def job_in(field: dict[str, str]) -> face.Arrived:
    """A work item."""
    return face.Arrived(
        field["corr"],
        field["cls"],
        int(field["timeBudgetUs"]) / 1000.0,
        float(field.get("width", 1)),
        field.get("billing", ""),
        int(field.get("expectedUs", 0)) / 1000.0,
        field.get("resent") == "1",
    )


def ended(field: dict[str, str]) -> face.Ended:
    """The end of a hand-off."""
    return face.Ended(
        field["corr"],
        int(field["try"]),
        RESULTS[field["result"]],
        field["worker"],
        int(field.get("rttUs", 0)) / 1000.0,
        field.get("last") == "1",
        report_of(field.get("healthInfo")),
    )


def checked(field: dict[str, str]) -> face.Probed:
    """The end of a probe."""
    return face.Probed(
        field["worker"],
        RESULTS.get(field["result"], face.ERRED),
        int(field.get("rttUs", 0)) / 1000.0,
        report_of(field.get("healthInfo")),
    )


READERS = {
    "job_in": job_in,
    "ended": ended,
    "checked": checked,
    "update_of": lambda field: face.Began(field["corr"], int(field["try"]), float(field.get("amount", 0))),
    "streaming": lambda field: face.Streaming(field["corr"], int(field["try"])),
    "withdrawn": lambda field: face.Withdrawn(field["corr"]),
    "fired": lambda field: face.Alarm(int(field["token"])),
    "memo": lambda field: None,  # peers have nothing to tell: dispatchers share nothing
}


WRITERS = {
    face.HandOff: lambda c: f"call_out corr={c.wi} worker={c.worker} timeoutUs={max(1, int(c.limit * 1000))}",
    face.TakeBack: lambda c: f"revoke corr={c.wi} try={c.ho}",
    face.Defer: lambda c: f"push_back corr={c.wi} notBeforeForUs={int(c.wait * 1000)}",
    face.WriteOff: lambda c: f"abort corr={c.wi}",
    face.Probe: lambda c: f"sound_out worker={c.worker}",
    face.Follow: lambda c: "follow enable=1",
    face.SetAlarm: lambda c: f"set_timer spanUs={max(1, int(c.delay * 1000) + 1)} token={c.token}",
    face.Note: lambda c: "write_log reasonText=" + c.text.replace("\n", " "),
}
