"""The messages between parent and child: one JSON object per line.

The first two messages on a link are the child's `Hello` and the parent's answer: `Refused`, or its state
(`state.HotRestartState`) after a single space that carries the listening socket. All others may be sent at
any time. Unknown keys are ignored, so that another version may add some.
"""

from __future__ import annotations

from typing import Any, NamedTuple

PROTOCOL_VERSION = 1
# Enough for a callback of 64 KB with every byte escaped, or a list of several thousand endpoints.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class Hello(NamedTuple):
    """Sent by a child that starts; `protocol` is the version of the protocol that it uses."""

    protocol: Any
    name: str

    def to_json(self) -> dict[str, Any]:
        """Return the message in its JSON form."""
        return {"hello": self.protocol, "name": self.name}


class Refused(NamedTuple):
    """Sent by a parent that does not hand over; the reason is one line for the operator."""

    reason: str

    def to_json(self) -> dict[str, Any]:
        """Return the message in its JSON form."""
        return {"refused": self.reason}


class Ready(NamedTuple):
    """Sent by a child that can serve."""

    def to_json(self) -> dict[str, Any]:
        """Return the message in its JSON form."""
        return {"ready": True}


class HandedOver(NamedTuple):
    """Sent by a parent that has stopped accepting connections; `warm_state` is its router's warm state."""

    warm_state: Any

    def to_json(self) -> dict[str, Any]:
        """Return the message in its JSON form."""
        return {"yours": self.warm_state}


class CallbackForwarded(NamedTuple):
    """An endpoint's callback whose request may be open in the other process; the answer repeats `number`."""

    body: str
    number: int

    def to_json(self) -> dict[str, Any]:
        """Return the message in its JSON form."""
        return {"callback": self.body, "number": self.number}


class CallbackAnswered(NamedTuple):
    """The HTTP status for a forwarded callback; None if its request is not open there."""

    number: int
    status: int | None

    def to_json(self) -> dict[str, Any]:
        """Return the message in its JSON form."""
        return {"to": self.number, "status": self.status}


class Unknown(NamedTuple):
    """A message of another version of the protocol."""


Sent = Hello | Refused | Ready | HandedOver | CallbackForwarded | CallbackAnswered
Received = Hello | Ready | HandedOver | CallbackForwarded | CallbackAnswered | Unknown


def parse(message: dict[str, Any]) -> Received:
    """Return the message in a JSON object; `Unknown` if its kind is not known."""
    if "to" in message:
        return CallbackAnswered(message["to"], message.get("status"))
    if "yours" in message:
        return HandedOver(message["yours"])
    if "ready" in message:
        return Ready()
    if isinstance(message.get("callback"), str) and "number" in message:
        return CallbackForwarded(message["callback"], message["number"])
    if "hello" in message:
        return Hello(message["hello"], str(message.get("name", "")))
    return Unknown()
