"""Counts interpreter steps within the routing package: unlike CPU time, the count does not depend on load."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from dunepulley.routing import router

# All modules are counted except those of the message types, whose code is generated.
EXCLUDED_FILES = ("events.py", "commands.py")
COUNTED_FILES = frozenset(
    [str(path) for path in Path(router.__file__).parent.glob("*.py") if path.name not in EXCLUDED_FILES]
)


class CountedDispatcher:
    """Wraps a dispatcher and counts the bytecode steps of each call."""

    def __init__(self, dispatcher: Any) -> None:
        self.dispatcher = dispatcher
        self.calls: list[int] = []

    def handle(self, now: float, events: list[Any]) -> list[Any]:
        """Call `Router.handle` and count its steps."""
        steps = 0

        def trace(frame: Any, event: str, _: Any) -> Any:
            nonlocal steps
            if event == "opcode":
                steps += 1
            elif event == "call":
                if frame.f_code.co_filename not in COUNTED_FILES:
                    return None
                frame.f_trace_lines, frame.f_trace_opcodes = False, True
            return trace

        before = sys.gettrace()
        sys.settrace(trace)
        try:
            return self.dispatcher.handle(now, events)
        finally:
            sys.settrace(before)
            self.calls.append(steps)
