"""The messages between parent and child: one JSON object a line.

The first two of a link are a child's `Hello` and the parent's answer: `Refused`, or the state that it passes
on (`state.HotRestartState`), after a single space that carries the listening socket. All others may come at
any time. Keys that are not known are passed over, so that another version may add some.
"""

from __future__ import annotations

from typing import Any, NamedTuple

PROTOCOL_VERSION = 1
# A callback of 64 KB with each of its bytes escaped, or a list of some thousand endpoints.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class Hello(NamedTuple):
    """A child starts; `protocol` is the version that it speaks."""

    protocol: Any
    name: str

    def to_json(self) -> dict[str, Any]:
        """The message as it goes over the link."""
        return {"hello": self.protocol, "name": self.name}


class Refused(NamedTuple):
    """The parent does not hand over; the reason is one line for an operator."""

    reason: str

    def to_json(self) -> dict[str, Any]:
        """The message as it goes over the link."""
        return {"refused": self.reason}


class Ready(NamedTuple):
    """The child can serve."""

    def to_json(self) -> dict[str, Any]:
        """The message as it goes over the link."""
        return {"ready": True}


class HandedOver(NamedTuple):
    """The parent accepts no more connections; `warm_state` is what its router has learned."""

    warm_state: Any

    def to_json(self) -> dict[str, Any]:
        """The message as it goes over the link."""
        return {"yours": self.warm_state}


class CallbackForwarded(NamedTuple):
    """An endpoint's callback whose request may be held at the other end; `number` goes with its answer."""

    body: str
    number: int

    def to_json(self) -> dict[str, Any]:
        """The message as it goes over the link."""
        return {"callback": self.body, "number": self.number}


class CallbackAnswered(NamedTuple):
    """The HTTP status for a callback that was forwarded; None where its request is not held there."""

    number: int
    status: int | None

    def to_json(self) -> dict[str, Any]:
        """The message as it goes over the link."""
        return {"to": self.number, "status": self.status}


class Unknown(NamedTuple):
    """A message of another version."""


Sent = Hello | Refused | Ready | HandedOver | CallbackForwarded | CallbackAnswered
Received = Hello | Ready | HandedOver | CallbackForwarded | CallbackAnswered | Unknown


def parse(message: dict[str, Any]) -> Received:
    """Return the message that a JSON object holds; `Unknown` where it is none of these."""
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
