"""Renders the answers of agents as lines of text."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

from dunepulley.agent.ctl.calls import AgentAnswer

# With a larger difference between the clocks, the times that an agent reports are misleading.
_MAX_SKEW_MS = 2000.0
_DONE = "done"
_LIST_HEAD = "dispatcher state pid version clients current workers avoided drains"
_LIST_KEYS = ("pid", "version", "leaving", "current", "workers", "avoided", "drains", "busy", "detail")
_ENDPOINT_HEAD = "dispatcher worker zone kind list here trial out slots drained"
_ENDPOINT_KEYS = ("id", "zone", "kind", "listed", "state")
_ZONE_HEAD = ("zone", "state", "goes over", "demand", "capacity", "workers", "lost", "why")

Rows = list[list[Any]]


def render_lines(command: str, answer: AgentAnswer) -> list[str]:
    """Return an agent's answer to a command as lines."""
    if answer.failure:
        return [sanitize(answer.failure)]
    message = answer.message
    lines = _warnings(message)
    if command == "list":
        return lines + format_table(_list_rows(answer.results))
    if command in ("show", "worker"):
        return lines + format_table(_endpoint_rows(answer.results))
    if command == "zones":
        return lines + _zones_lines(message)
    if command == "zone":
        lines.append(f"plan {message.get('number')}: the zone is {message.get('state')}")
    if command == "drains":
        lines += _drains_lines(message)
    return lines + _result_lines(command, answer)


def sanitize(value: Any) -> str:
    """Return a value as text without line breaks and terminal control sequences."""
    return "".join([character if character.isprintable() else "?" for character in str(value)])


def format_table(rows: Rows) -> list[str]:
    """Return rows as lines, each column as wide as its widest cell; None is an empty cell."""
    texts = [[sanitize("" if cell is None else cell) for cell in row] for row in rows]
    widths = [max([len(row[column]) for row in texts]) for column in range(len(texts[0]))]
    return ["  ".join([cell.ljust(widths[n]) for n, cell in enumerate(row)]).rstrip() for row in texts]


def _local_time(unix_ms: float | None) -> str:
    """Return a Unix time as local time; None is the expiry of a drain that lasts until it is restored."""
    if unix_ms is None:
        return "restored"
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(unix_ms / 1000.0))


def _warnings(message: dict[str, Any]) -> list[str]:
    """Return warnings about a clock that differs, and about drains that may not survive a crash."""
    lines = []
    skew_ms = message.get("now", 0.0) - time.time() * 1000.0
    if abs(skew_ms) > _MAX_SKEW_MS:
        skew_s = message.get("now", 0.0) / 1000.0 - time.time()
        lines.append(f"its clock is {skew_s:+.1f} s from this one's")
    if "unwritten" in message:
        lines.append(sanitize(f"in force, but {message['unwritten']}; it is written again until it lasts"))
    return lines


def _list_rows(results: list[dict[str, Any]]) -> Rows:
    rows: Rows = [[*_LIST_HEAD.split(), "", ""]]
    for result in results:
        cells = {key: result.get(key, "") for key in _LIST_KEYS}
        state = result["state"]
        if state == _DONE:
            state = "answers"
            cells["leaving"] = result["leaving"] or "taken"
            cells["drains"] = f"{result['drains']}{' behind' if result['behind'] else ''}"
        rows.append([result["name"], state, *cells.values()])
    return rows


def _endpoint_rows(results: list[dict[str, Any]]) -> Rows:
    rows: Rows = [[*_ENDPOINT_HEAD.split()]]
    for result in results:
        views = result.get("workers", [result["worker"]] if "worker" in result else [])
        rows += [[result["name"], *_endpoint_cells(view)] for view in views]
        if not views:
            rows.append([result["name"], f"{result['state']}: {result.get('detail', '')}", *[""] * 8])
    return rows


def _endpoint_cells(view: dict[str, Any]) -> list[Any]:
    """Return the cells of an endpoint's row, without the dispatcher's name."""
    on_trial = "yes" if view.get("on trial") else ""
    drains = "; ".join(view.get("drains", []))
    return [*[view.get(key) for key in _ENDPOINT_KEYS], on_trial, view.get("out"), view.get("slots"), drains]


def _drains_lines(message: dict[str, Any]) -> list[str]:
    """Return lines for the drains in force, and for those that have ended."""
    rows: Rows = [["drain", "revision", "by", "since", "until", "why"]]
    for drain in message.get("drains", []):
        times = [_local_time(drain["since"]), _local_time(drain["until"])]
        target = f"{drain['what']} {drain['name']}"
        rows.append([target, drain["revision"], drain["by"], *times, drain["why"]])
    lines = format_table(rows) if len(rows) > 1 else ["no drain stands"]
    for ended in message.get("ended", []):
        drain, by = ended["drain"], f" by {ended['by']}" if ended["by"] else ""
        ended_drain = f"{drain['what']} {drain['name']}, by {drain['by']}"
        lines.append(sanitize(f"{_local_time(ended['at'])} {ended['how']}{by}: {ended_drain}"))
    return lines


def _result_lines(command: str, answer: AgentAnswer) -> list[str]:
    """Return a line that counts dispatchers by state, and a line for each that needs attention."""
    lines = []
    if answer.results:
        counts = Counter([result["state"] for result in answer.results])
        summary = ", ".join([f"{count} {state}" for state, count in sorted(counts.items())])
        on_drains = command in ("drain", "restore", "drains")
        lines.append(f"revision {answer.message.get('revision')}: {summary}" if on_drains else summary)
    for result in answer.results:
        if result["state"] != _DONE or result.get("detail"):
            text = f"{result['name']}: {result['state']}: {result.get('detail', '')}"
            lines.append(sanitize(text.rstrip(": ")))
    return lines


def _zones_lines(message: dict[str, Any]) -> list[str]:
    """Return lines for the fleet's traffic plan, as one agent reports it."""
    plan, confirmed_ms = message["plan"], message["confirmed"]
    confirmed = "not confirmed by a majority"
    if confirmed_ms is not None:
        confirmed = f"confirmed {confirmed_ms / 1000.0:.1f} s ago"
    origin = f", by {plan['by']} at {_local_time(plan['at'])}" if plan["by"] else ""
    lines = [sanitize(f"plan {plan['number']} of epoch {plan['epoch']}{origin}; {confirmed}")]
    rows: Rows = [list(_ZONE_HEAD), *[_zone_row(zone) for zone in message["zones"]]]
    lines += format_table(rows) if len(rows) > 1 else ["no zone is known"]
    agents: Rows = [["agent", "stands", "votes", ""]]
    for agent in message["agents"]:
        agents.append([agent["name"], agent["stands"], "yes" if agent["votes"] else "no", agent["detail"]])
    followers: Rows = [["dispatcher", "goes by", "plan", ""]]
    followers += [[each["name"], each["how"], each["number"], each["detail"]] for each in message["follows"]]
    return lines + format_table(agents) + format_table(followers)


def _zone_row(zone: dict[str, Any]) -> list[Any]:
    spillover = ", ".join([f"{fraction:.0%} to {name}" for name, fraction, _ in zone["over"]])
    lost = f"{zone['lost']:.0f}/{zone['sent']:.0f}"
    capacity = "unknown" if zone["capacity"] is None else zone["capacity"]
    why = zone["why"] if not zone["word"] else _override_text(zone["word"], zone["by itself"])
    return [zone["name"], zone["state"], spillover, zone["demand"], capacity, zone["workers"], lost, why]


def _override_text(override: dict[str, Any], planned_state: str) -> str:
    """Return an operator override as text, with the state that the plan would have without it."""
    left_ms = override["left"]
    left = "" if left_ms is None else f" for {left_ms / 1000.0:.0f} s more"
    return f"{override['what']} said by {override['by']}{left}: {override['why']} (by itself {planned_state})"
