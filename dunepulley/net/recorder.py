"""Records received requests in a trace file of bounded size, if the configuration asks for it."""

from __future__ import annotations

import contextlib
import errno
import os
from typing import BinaryIO

from dunepulley import trace_format
from dunepulley.net import log
from dunepulley.net.log_events import LogEvent

# Maximum number of trace files with the same base name. A process never overwrites the trace of an earlier
# process, or of the other process of a hot restart.
MAX_FILES = 100
# Interval at which a failed file is opened again, by the clock that requests are recorded with.
RETRY_INTERVAL_MS = 10_000.0
# Errors of a disk or a limit that may pass; any other error at the start means that the path is unusable.
TRANSIENT_ERRORS = frozenset(
    {errno.ENOSPC, errno.EDQUOT, errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EFBIG}
)


def _open_new_file(path: str) -> tuple[str, BinaryIO]:
    """Create a file that does not exist yet: at the path itself, or with a number appended to it.

    Returns the name and the file. Raises FileExistsError if all names are taken.
    """
    for number in range(MAX_FILES):
        name = f"{path}.{number}" if number else path
        try:
            return name, open(name, "xb", buffering=65536)
        except FileExistsError as error:
            taken = error
    raise taken


def _truncate_partial_line(file: BinaryIO) -> None:
    """Truncate an incomplete last line, and seek to the end of the file."""
    size = file.seek(0, os.SEEK_END)
    start = max(0, size - trace_format.MAX_LINE_BYTES)
    file.seek(start)
    complete = start + file.read().rfind(b"\n") + 1
    if complete < size:
        file.truncate(complete)
    file.seek(complete)


class Recorder:
    """Owns the trace file, which is closed once it is full, and at the end of the process.

    If a write fails, the buffered lines are lost, and so are later ones until the file can be written again.
    One line is logged when recording stops, and one when it resumes.
    """

    def __init__(self, path: str, max_requests: int, name: str) -> None:
        """Open the trace file at `path` for at most `max_requests` requests; `name` is the dispatcher's.

        Raises OSError if the path is unusable, but not for errors of the disk that may pass.
        """
        self.remaining = max_requests
        self.name = name
        self.path = path
        self.start_ms: float | None = None
        self.file: BinaryIO | None = None
        # While the file is closed after a failure: when it is opened again.
        self.retry_at_ms = 0.0
        try:
            self._create()
        except FileExistsError:
            self.remaining = 0
            log.write(
                LogEvent.RECORDER,
                f"no trace is recorded: {path} and its {MAX_FILES - 1} numbered alternatives are taken",
            )
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise
            self._suspend(error)

    def record_request(
        self, now: float, request_class: str, timeout_ms: float, expected_ms: float, body_bytes: int
    ) -> None:
        """Record a request that was received at `now`, in ms of a clock that never steps."""
        if not self.remaining:
            return
        if self.start_ms is None:
            self.start_ms = now
        request = trace_format.RecordedRequest(
            round(now - self.start_ms, 3), request_class, timeout_ms, expected_ms, body_bytes
        )
        was_closed = self.file is None or self.file.closed
        try:
            if was_closed and not self._reopen(now):
                return
            self.file.write(trace_format.encode_request(request))
            if was_closed:
                self.file.flush()
                log.write(
                    LogEvent.RECORDER, "the trace is written again; requests received in between are missing"
                )
            self.remaining -= 1
            if not self.remaining:
                self.close()
        except OSError as error:
            self._suspend(error, now, quiet=was_closed)

    def close(self) -> None:
        """Write the buffered lines and close the file."""
        self.remaining = 0
        if self.file is None or self.file.closed:
            return
        try:
            self.file.close()
        except OSError as error:
            log.write(LogEvent.RECORDER, f"the trace is incomplete, its end is lost: {error}")
            self._truncate_closed_file()

    def _create(self) -> None:
        """Create the file and write its header; the file is removed if the header cannot be written."""
        name, file = _open_new_file(self.path)
        try:
            file.write(trace_format.encode_header(self.name))
            file.flush()
        except OSError:
            _close_quietly(file)
            _unlink_quietly(name)
            raise
        self.path, self.file = name, file

    def _reopen(self, now: float) -> bool:
        """Open the file after a failure; return False if the retry time has not come. Raises OSError."""
        if now < self.retry_at_ms:
            return False
        if self.file is None or not os.path.exists(self.path):
            self._create()
            return True
        file = open(self.path, "r+b", buffering=65536)
        try:
            _truncate_partial_line(file)
            if not file.tell():
                file.write(trace_format.encode_header(self.name))
        except OSError:
            _close_quietly(file)
            raise
        self.file = file
        return True

    def _suspend(self, error: OSError, now: float | None = None, quiet: bool = False) -> None:
        """Close the file until the next retry, and truncate an incomplete last line."""
        if not quiet:
            log.write(LogEvent.RECORDER, f"the trace is suspended until its file can be written: {error}")
        self.retry_at_ms = (0.0 if now is None else now) + RETRY_INTERVAL_MS
        if self.file is not None and not self.file.closed:
            _close_quietly(self.file)
            self._truncate_closed_file()

    def _truncate_closed_file(self) -> None:
        """Truncate an incomplete last line if the disk allows it; opening the file again retries this."""
        with contextlib.suppress(OSError), open(self.path, "r+b") as file:
            _truncate_partial_line(file)


def _close_quietly(file: BinaryIO) -> None:
    """Close a file whose buffer may be impossible to write; its descriptor is released in any case."""
    with contextlib.suppress(OSError):
        file.close()


def _unlink_quietly(path: str) -> None:
    with contextlib.suppress(OSError):
        os.unlink(path)
