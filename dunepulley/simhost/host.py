"""Runs the dispatcher instances of one process: passes events to each and writes its commands.

A batch is the lines up to `end`: `turn` sets the time, `target_instance` selects the instance for the lines
that follow, `power_on` and `stop` start and stop that instance, and all other lines are its events.
"""

from __future__ import annotations

import traceback
from collections.abc import Iterator
from typing import TextIO

from dunepulley.routing.events import EndpointListUpdate, in_order
from dunepulley.routing.router import Router
from dunepulley.simhost import wire

END_OF_BATCH = "end"
END_OF_REPLY = "finished\n"
# The maximum length of a line in an error message.
MAX_QUOTED = 200


class Batch:
    """The state of one batch: the time, the selected instance with its events, and the reply so far."""

    def __init__(self, routers: dict[str, Router]) -> None:
        self.routers = routers
        self.now_ms = 0.0
        self.instance: str | None = None
        self.events: list[object] = []
        self.reply: list[str] = []

    def read(self, lines: list[str]) -> None:
        """Read all lines, and have each instance handle its events; raises WireError on an invalid line."""
        source = iter(lines)
        line = ""
        readers, routers = wire.EVENT_READERS, self.routers
        try:
            for line in source:
                name, *parts = line.split(" ")
                reader = readers.get(name)
                if reader is None or self.instance not in routers:
                    self._read_other(name, parts, source)
                    continue
                event = reader(wire.parse_fields(parts))
                if event is not None:
                    self.events.append(event)
        except (KeyError, ValueError, IndexError, StopIteration, RuntimeError) as error:
            raise wire.WireError(f"cannot read {line[:MAX_QUOTED]!r}: {error!r}") from error
        self.handle_events()

    def _read_other(self, name: str, parts: list[str], source: Iterator[str]) -> None:
        """Read a line that is not a single-line event of a running instance."""
        match name:
            case "turn":
                self.now_ms = wire.milliseconds(wire.parse_fields(parts)["momentUs"])
            case "target_instance":
                self.handle_events()
                self.instance = wire.parse_fields(parts)["dispatcherId"]
            case "power_on":
                self._power_on(wire.parse_fields(parts))
            case "stop":
                self._require_power("stop")
                self.events = []
                del self.routers[self.instance]
            case "roster_change":
                self._require_power(name)
                self.events.append(_read_list(wire.parse_fields(parts), source))
            case _:
                self._require_power(name)
                raise wire.WireError(f"unknown message {name!r}")

    def _power_on(self, fields: wire.Fields) -> None:
        settings = wire.parse_settings(fields)
        if self.instance is None:
            raise wire.WireError("power_on: expected target_instance first")
        self.events = []
        self.routers[self.instance] = Router(int(fields["nonce64"]), settings, self.now_ms)

    def _require_power(self, name: str) -> None:
        if self.instance not in self.routers:
            raise wire.WireError(f"{name} for instance {self.instance}, which was not powered on before")

    def handle_events(self) -> None:
        """Pass the selected instance its events, and append its commands or its exception to the reply."""
        events, self.events = self.events, []
        if not events:
            return
        try:
            commands = self.routers[self.instance].handle(self.now_ms, in_order(events))
        except Exception:
            text = traceback.format_exc(limit=-2).strip().replace("\n", " | ")
            self.reply += [f"for dispatcherId={self.instance}", f"exception reasonText={text}"]
            return
        if commands:
            self.reply.append(f"for dispatcherId={self.instance}")
            writers = wire.COMMAND_WRITERS
            self.reply += [writers[type(command)](command) for command in commands]


def _read_list(fields: wire.Fields, source: Iterator[str]) -> EndpointListUpdate:
    """Return the list update of a `roster_change` line, whose entries are the lines that follow."""
    entries = [wire.parse_list_entry(next(source)) for _ in range(int(fields.get("members", 0)))]
    return EndpointListUpdate(wire.LIST_UPDATE_KINDS[fields["how"]], tuple(entries))


class Host:
    """Owns one `Router` for each running instance; instances share no state."""

    def __init__(self) -> None:
        self.routers: dict[str, Router] = {}

    def answer(self, lines: list[str]) -> list[str]:
        """Return the reply to one batch, passed without its `end` line; raises WireError."""
        batch = Batch(self.routers)
        batch.read(lines)
        return batch.reply


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends; raises WireError on invalid input."""
    host = Host()
    batch: list[str] = []
    for line in source:
        line = line.rstrip("\n")
        if line != END_OF_BATCH:
            if line:
                batch.append(line)
            continue
        reply = host.answer(batch)
        batch = []
        sink.write("\n".join([*reply, END_OF_REPLY]))
        sink.flush()
    if batch:
        raise wire.WireError("input ended inside a batch, expected the line 'end'")
