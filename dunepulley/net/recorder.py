"""Writes down what comes in, when the configuration asks for it: a bounded trace."""

from __future__ import annotations

from typing import BinaryIO

from dunepulley.load import trace
from dunepulley.net import log

# A process that starts leaves those before it, or beside it in an upgrade, theirs.
MOST_FILES = 100


def _new(path: str) -> BinaryIO:
    """A file that was not there: the name itself, or with a number behind it."""
    for number in range(MOST_FILES):
        try:
            return open(f"{path}.{number}" if number else path, "xb", buffering=65536)
        except FileExistsError as problem:
            taken = problem
    raise taken


class Recorder:
    """Owns the file; it is given back when it is full, at the first write that fails, or at the end."""

    def __init__(self, path: str, most: int, name: str) -> None:
        self.left = most
        self.first: float | None = None
        # Lines are short and many: they go out by the buffer, and the rest at the end.
        self.file = _new(path)
        self.file.write(trace.head(name))

    def came(self, now: float, category: str, budget: float, hint: float, size: int) -> None:
        """A work item was taken."""
        if self.file.closed:
            return
        if self.first is None:
            self.first = now
        try:
            self.file.write(trace.line(trace.Came(round(now - self.first, 3), category, budget, hint, size)))
            self.left -= 1
            if not self.left:
                self.close()
        except OSError as problem:
            log.say("trace", f"no more is written: {problem}")
            self.left = 0
            self.close()

    def close(self) -> None:
        """Write out what is left and give the file back."""
        try:
            self.file.close()
        except OSError as problem:
            log.say("trace", f"its end is lost: {problem}")
