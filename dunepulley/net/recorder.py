"""Writes down what comes in, when the configuration asks for it: a bounded trace."""

from __future__ import annotations

import contextlib
import errno
import os
from typing import BinaryIO

from dunepulley import trace_format
from dunepulley.net import log
from dunepulley.net.log_events import LogEvent

# A process that starts leaves those before it, or beside it in an upgrade, theirs.
MAX_FILES = 100
# After a failure the file is tried again this often, by the clock that items come with.
TRY_AGAIN_MS = 10_000.0
# What a disk or a limit does for a while; anything else at the start is a setting that cannot be used.
PASSING = frozenset(
    {errno.ENOSPC, errno.EDQUOT, errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EFBIG}
)


def _new(path: str) -> tuple[str, BinaryIO]:
    """A file that was not there: the name itself, or with a number behind it."""
    for number in range(MAX_FILES):
        name = f"{path}.{number}" if number else path
        try:
            return name, open(name, "xb", buffering=65536)
        except FileExistsError as problem:
            taken = problem
    raise taken


def _cut(file: BinaryIO) -> None:
    """Take away a line that was written in part, and go to the end of what is left."""
    size = file.seek(0, os.SEEK_END)
    start = max(0, size - trace_format.MAX_LINE_BYTES)
    file.seek(start)
    whole = start + file.read().rfind(b"\n") + 1
    if whole < size:
        file.truncate(whole)
    file.seek(whole)


class Recorder:
    """Owns the file; it is given back when it is full, and at the end.

    A write that fails costs the lines that were not yet in the file, and those that come until it can be
    written again; it is told once when that begins and once when it is over.
    """

    def __init__(self, path: str, most: int, name: str) -> None:
        """Raises `OSError` where the path cannot be used at all, not where only the disk is in trouble."""
        self.left = most
        self.name = name
        self.path = path
        self.first: float | None = None
        self.file: BinaryIO | None = None
        # When the file is tried again, where it is not open though there is more to write.
        self.try_at = 0.0
        try:
            self._begin()
        except FileExistsError:
            self.left = 0
            log.write(
                LogEvent.RECORDER,
                f"nothing is written: {path} and {MAX_FILES - 1} names beside it are taken",
            )
        except OSError as problem:
            if problem.errno not in PASSING:
                raise
            self._stop(problem)

    def record_request(self, now: float, category: str, budget: float, hint: float, size: int) -> None:
        """A work item was taken, at `now` in ms of a steady clock."""
        if not self.left:
            return
        if self.first is None:
            self.first = now
        item = trace_format.RecordedRequest(round(now - self.first, 3), category, budget, hint, size)
        again = self.file is None or self.file.closed
        try:
            if again and not self._open_again(now):
                return
            self.file.write(trace_format.encode_request(item))
            if again:
                self.file.flush()
                log.write(LogEvent.RECORDER, "written again; what came in between is missing")
            self.left -= 1
            if not self.left:
                self.close()
        except OSError as problem:
            self._stop(problem, now, quiet=again)

    def close(self) -> None:
        """Write out what is left and give the file back."""
        self.left = 0
        if self.file is None or self.file.closed:
            return
        try:
            self.file.close()
        except OSError as problem:
            log.write(LogEvent.RECORDER, f"its end is lost: {problem}")
            self._cut_by_name()

    def _begin(self) -> None:
        """Make a file with its head; of one whose head cannot be written nothing is left."""
        name, file = _new(self.path)
        try:
            file.write(trace_format.encode_header(self.name))
            file.flush()
        except OSError:
            _drop(file)
            _remove(name)
            raise
        self.path, self.file = name, file

    def _open_again(self, now: float) -> bool:
        """Open the file after a failure, if it is time to; raises `OSError`."""
        if now < self.try_at:
            return False
        if self.file is None or not os.path.exists(self.path):
            self._begin()
            return True
        file = open(self.path, "r+b", buffering=65536)
        try:
            _cut(file)
            if not file.tell():
                file.write(trace_format.encode_header(self.name))
        except OSError:
            _drop(file)
            raise
        self.file = file
        return True

    def _stop(self, problem: OSError, now: float | None = None, quiet: bool = False) -> None:
        """Give the file back for a while, with whole lines in it."""
        if not quiet:
            log.write(LogEvent.RECORDER, f"no more is written until the file can be written again: {problem}")
        self.try_at = (0.0 if now is None else now) + TRY_AGAIN_MS
        if self.file is not None and not self.file.closed:
            _drop(self.file)
            self._cut_by_name()

    def _cut_by_name(self) -> None:
        """Have the file end with a whole line, as far as the disk lets it; a later opening tries again."""
        with contextlib.suppress(OSError), open(self.path, "r+b") as file:
            _cut(file)


def _drop(file: BinaryIO) -> None:
    """Close a file whose buffer cannot be written; its descriptor is given back in any case."""
    with contextlib.suppress(OSError):
        file.close()


def _remove(path: str) -> None:
    with contextlib.suppress(OSError):
        os.unlink(path)
