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


class DrainsForwarded(NamedTuple):
    """Operators' drains in their JSON form, which the other process applies; the answer repeats `number`."""

    drains: dict[str, Any]
    number: int

    def to_json(self) -> dict[str, Any]:
        """Return the message in its JSON form."""
        return {"drains": self.drains, "number": self.number}


class Answered(NamedTuple):
    """The answer to a message with this number.

    `status` is the HTTP status for a callback, None if its request is not open there; 200 for applied drains.
    """

    number: int
    status: int | None

    def to_json(self) -> dict[str, Any]:
        """Return the message in its JSON form."""
        return {"to": self.number, "status": self.status}


class RequestsTaken(NamedTuple):
    """Ids of requests that a process has taken: the other one must reject them."""

    ids: list[str]

    def to_json(self) -> dict[str, Any]:
        """Return the message in its JSON form."""
        return {"taken": self.ids}


class RequestsAbandoned(NamedTuple):
    """Ids of requests that may have run and whose client has gone: they must be rejected from now on."""

    ids: list[str]

    def to_json(self) -> dict[str, Any]:
        """Return the message in its JSON form."""
        return {"abandoned": self.ids}


class Unknown(NamedTuple):
    """A message of another version of the protocol."""


AboutRequests = CallbackForwarded | Answered | RequestsTaken | RequestsAbandoned
Sent = Hello | Refused | Ready | HandedOver | DrainsForwarded | AboutRequests
Received = Hello | Ready | HandedOver | DrainsForwarded | AboutRequests | Unknown


def parse(message: dict[str, Any]) -> Received:
    """Return the message in a JSON object; `Unknown` if its kind is not known."""
    about_requests = _parse_about_requests(message)
    if about_requests is not None:
        return about_requests
    if isinstance(message.get("drains"), dict) and "number" in message:
        return DrainsForwarded(message["drains"], message["number"])
    if "yours" in message:
        return HandedOver(message["yours"])
    if "ready" in message:
        return Ready()
    if "hello" in message:
        return Hello(message["hello"], str(message.get("name", "")))
    return Unknown()


def _parse_about_requests(message: dict[str, Any]) -> AboutRequests | None:
    """Return the message in a JSON object, if it is one about requests or their callbacks."""
    if "to" in message:
        return Answered(message["to"], message.get("status"))
    if isinstance(message.get("callback"), str) and "number" in message:
        return CallbackForwarded(message["callback"], message["number"])
    if isinstance(message.get("taken"), list):
        return RequestsTaken(_texts(message["taken"]))
    if isinstance(message.get("abandoned"), list):
        return RequestsAbandoned(_texts(message["abandoned"]))
    return None


def _texts(values: list[Any]) -> list[str]:
    return [value for value in values if isinstance(value, str)]
