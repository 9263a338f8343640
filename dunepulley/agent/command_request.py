"""Typed access to the message of an operator's command."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from dunepulley.control import drain_json
from dunepulley.control.drains import INFINITY, Drain
from dunepulley.errors import RefusedError
from dunepulley.json_values import is_number

_Named = TypeVar("_Named")
_MAX_DRAIN_S = 1e9
_MAX_SHOWN_NAME = 64


class RequestError(RefusedError):
    """A command is invalid or cannot be carried out; the text gives the reason in one line."""


class CommandRequest:
    """One command. Each method reads one option, and raises `RequestError` or `ProtocolError` if invalid."""

    def __init__(self, message: dict[str, Any]) -> None:
        """Wrap the message of `ctl`."""
        self._message = message

    def flag(self, key: str) -> bool:
        """Return whether an option was given."""
        return bool(self._message.get(key))

    def seconds(self, key: str, default: float, maximum: float) -> float:
        """Return a duration in seconds, above 0 and at most `maximum`."""
        value = self._message.get(key, default)
        if not is_number(value) or not 0.0 < value <= maximum:
            raise RequestError(f"{key} is no time of at most {maximum:g} s")
        return float(value)

    def drain_seconds(self) -> float:
        """Return the duration of a drain in seconds, `INFINITY` for a drain that does not expire."""
        return self.seconds("for_s", _MAX_DRAIN_S, _MAX_DRAIN_S) if "for_s" in self._message else INFINITY

    def endpoint_id(self) -> str:
        """Return the id of the endpoint to show."""
        return drain_json.parse_text(self._message.get("worker"), "name")

    def drain(self) -> Drain:
        """Return the drain to set, without its start and expiry."""
        return drain_json.decode_drain(self._target() | {"why": self._message.get("why", "")})

    def drain_to_restore(self) -> Drain:
        """Return the target and the operator of the drain to remove."""
        return drain_json.decode_drain(self._target())

    def over_revision(self) -> int:
        """Return the revision of another operator's drain that may be replaced, 0 for none."""
        revision = self._message.get("over", 0)
        if isinstance(revision, bool) or not isinstance(revision, int) or revision < 0:
            raise RequestError("over is no revision")
        return revision

    def select(self, dispatchers: Mapping[str, _Named]) -> list[_Named]:
        """Return the dispatchers that the command names, or all. Raises `RequestError` if one is unknown."""
        names = self._message.get("names") or list(dispatchers)
        if not isinstance(names, list):
            raise RequestError("names is no list")
        unknown = [str(name)[:_MAX_SHOWN_NAME] for name in names if name not in dispatchers]
        if unknown:
            raise RequestError(f"no dispatcher is called {', '.join(unknown)}")
        return [dispatchers[name] for name in names]

    def _target(self) -> dict[str, Any]:
        return {key: self._message.get(key) for key in ("what", "name", "by")}
