"""Injects faults into file calls: errors, SIGKILL before the n-th call, a model of power loss.

`FaultyFiles` replaces `open` and functions of `os` for paths in one folder; other paths are not affected.
`kill_before_each_call` and `run_in_child` run their work in child processes.
"""

import builtins
import contextlib
import errno
import io
import os
import signal
from dataclasses import dataclass
from pathlib import Path
from unittest import mock

KINDS = ("open", "write", "fsync", "close", "rename", "link", "unlink")
# A walk of `kill_before_each_call` with more file calls than this is treated as endless.
MAX_CALLS = 200


@dataclass(frozen=True)
class FileCall:
    """A recorded call: its kind, its path, and the written bytes or the new path."""

    kind: str
    path: str
    data: bytes = b""
    target: str = ""


class FaultyFiles:
    """While entered, records file calls in a folder, and makes them fail or kill the process as planned."""

    def __init__(self, folder):
        self.folder = str(folder)
        self.calls = []
        self.faults = {}
        self.kill_before = None
        self.descriptors = {}
        self.patches = contextlib.ExitStack()
        names = ("open", "close", "fsync", "replace", "link", "unlink")
        self.original_calls = {name: getattr(os, name) for name in names}
        self.original_open = builtins.open

    def __enter__(self):
        replacements = {
            "open": self._os_open,
            "close": self._os_close,
            "fsync": self._fsync,
            "replace": self._replace,
            "link": self._link,
            "unlink": self._unlink,
        }
        for name, replacement in replacements.items():
            self.patches.enter_context(mock.patch.object(os, name, replacement))
        self.patches.enter_context(mock.patch.object(builtins, "open", self._open))
        return self

    def __exit__(self, *_):
        self.patches.close()

    # ---------------------------------------------------------------- planned faults

    def fail(self, kind, number=errno.EIO, only=lambda path: True, done=False):
        """Have calls of a kind fail from now on; with `done`, after they have taken effect."""
        self.faults[kind] = (number, only, done)

    def mend(self):
        """Remove all planned faults."""
        self.faults.clear()

    def is_failing(self, kind, path):
        """Whether calls of a kind fail for a path."""
        return kind in self.faults and self.faults[kind][1](path)

    def kinds(self, path=None):
        """The kinds of the recorded calls in order, optionally for one path."""
        return [call.kind for call in self.calls if path is None or call.path == path]

    def before_call(self, kind, path, data=b"", target=""):
        """Record a call before it runs; raises its planned error or kills the process."""
        if self.kill_before == len(self.calls):
            os.kill(os.getpid(), signal.SIGKILL)
        if self.is_failing(kind, path) and not self.faults[kind][2]:
            raise OSError(self.faults[kind][0], os.strerror(self.faults[kind][0]), path)
        self.calls.append(FileCall(kind, path, data, target))

    def after_call(self, kind, path):
        """Raise the planned error of a call that has taken effect."""
        if self.is_failing(kind, path) and self.faults[kind][2]:
            raise OSError(self.faults[kind][0], os.strerror(self.faults[kind][0]), path)

    # ---------------------------------------------------------------- the calls

    def _is_affected(self, path):
        return isinstance(path, str) and (path + "/").startswith(self.folder + "/")

    def _open(self, path, mode="r", buffering=-1, **more):
        if not self._is_affected(path):
            return self.original_open(path, mode, buffering, **more)
        self.before_call("open", path)
        raw = FaultyFile(self, path, mode.replace("b", ""))
        self.descriptors[raw.fileno()] = path
        size = io.DEFAULT_BUFFER_SIZE if buffering < 0 else buffering
        if not size:
            return raw
        if "+" in mode:
            return io.BufferedRandom(raw, size)
        return io.BufferedReader(raw, size) if "r" in mode else io.BufferedWriter(raw, size)

    def _os_open(self, path, flags, *more, **options):
        if not self._is_affected(path):
            return self.original_calls["open"](path, flags, *more, **options)
        self.before_call("open", path)
        descriptor = self.original_calls["open"](path, flags, *more, **options)
        self.descriptors[descriptor] = path
        return descriptor

    def _os_close(self, descriptor):
        path = self.descriptors.pop(descriptor, None)
        if path is None:
            return self.original_calls["close"](descriptor)
        try:
            self.before_call("close", path)
        finally:
            # Linux releases the descriptor even if close fails.
            self.original_calls["close"](descriptor)

    def _fsync(self, descriptor):
        path = self.descriptors.get(descriptor)
        if path is not None:
            self.before_call("fsync", path)
        self.original_calls["fsync"](descriptor)

    def _replace(self, path, target):
        if not self._is_affected(path):
            self.original_calls["replace"](path, target)
            return
        self.before_call("rename", path, target=target)
        self.original_calls["replace"](path, target)
        self.after_call("rename", path)

    def _link(self, path, target):
        if self._is_affected(path):
            self.before_call("link", path, target=target)
        self.original_calls["link"](path, target)

    def _unlink(self, path, **options):
        if self._is_affected(path):
            self.before_call("unlink", path)
        self.original_calls["unlink"](path, **options)


class FaultyFile(io.FileIO):
    """A file whose write and close go through the layer; a failing write stores the first half."""

    def __init__(self, layer, path, mode):
        self.layer, self.path = layer, path
        super().__init__(path, mode)

    def write(self, data):
        """Write, or fail as planned."""
        data = bytes(data)
        if self.layer.is_failing("write", self.path) and len(data) > 1:
            # As on Linux: a failed write may store a part, and the next write starts at the same offset.
            start = self.tell()
            super().write(data[: len(data) // 2])
            self.seek(start)
        self.layer.before_call("write", self.path, data)
        return super().write(data)

    def close(self):
        """Close, and fail as planned."""
        if self.closed:
            return
        self.layer.descriptors.pop(self.fileno(), None)
        try:
            self.layer.before_call("close", self.path)
        finally:
            super().close()


# ---------------------------------------------------------------- child processes


def run_in_child(work):
    """Run a function in a child process; returns its wait status (see `os.waitpid`)."""
    child = os.fork()
    if not child:
        code = 1
        try:
            work()
            code = 0
        finally:
            os._exit(code)
    return os.waitpid(child, 0)[1]


def kill_before_each_call(prepare, work, check):
    """Run `work` repeatedly, killed before its first file call, its second and so on, until it completes.

    `prepare(number)` returns the folder for each run, `work(folder)` runs in a child process, and
    `check(folder, completed)` inspects the folder afterwards. Returns the number of killed runs.
    """
    for number in range(MAX_CALLS):
        folder = prepare(number)

        def run_until_kill(folder=folder, number=number):
            with FaultyFiles(folder) as layer:
                layer.kill_before = number
                work(folder)

        status = run_in_child(run_until_kill)
        killed = os.WIFSIGNALED(status) and os.WTERMSIG(status) == signal.SIGKILL
        assert killed or status == 0
        check(folder, not killed)
        if not killed:
            return number
    raise AssertionError(f"the process makes more than {MAX_CALLS} file calls")


# ---------------------------------------------------------------- power loss


class DiskModel:
    """The contents that a disk may hold of one file after file calls, in the worst case that POSIX allows.

    Bytes without a later fsync of the file may be missing in whole or in part, and a name is durable only
    after an fsync of the folder. Each creation of a name makes a new file object, identified by a key.
    """

    def __init__(self, path, before):
        self.path, self.folder = path, str(Path(path).parent)
        self.written, self.synced = {path: before or b""}, {path: before}
        # The file objects that the name may refer to on the disk, None for no file; the last is current.
        self.possible_files = [path] if before is not None else [None]
        self.names = {path: path}

    def apply(self, number, call):
        """Apply one call; `number` is its position among the calls."""
        if call.kind == "open":
            self._open(number, call)
        elif call.kind == "write":
            self.written[self.names[call.path]] += call.data
        elif call.kind == "fsync":
            self._fsync(call)
        elif call.kind == "unlink":
            self.names.pop(call.path, None)
        elif call.kind == "rename":
            self._rename(call)

    def _open(self, number, call):
        if call.path != self.folder and call.path not in self.names:
            created = self.names[call.path] = f"{call.path}#{number}"
            self.written[created], self.synced[created] = b"", None

    def _fsync(self, call):
        if call.path == self.folder:
            self.possible_files = self.possible_files[-1:]
        else:
            synced = self.names[call.path]
            self.synced[synced] = self.written[synced]

    def _rename(self, call):
        self.names[call.target] = self.names.pop(call.path)
        if call.target == self.path:
            self.possible_files.append(self.names[self.path])

    def contents(self):
        """All possible contents of the file after a power loss now; None for no file."""
        return set().union(*[self._contents_of(file_key) for file_key in self.possible_files])

    def _contents_of(self, file_key):
        if file_key is None:
            return {None}
        written, synced = self.written[file_key], self.synced[file_key]
        if synced == written:
            return {synced}
        return {synced or b"", written[: len(written) // 2], written}


def after_power_loss(calls, path, before):
    """All possible contents of a file after a power loss right after these calls; None for no file.

    `before` is the durable content of the file before the calls.
    """
    model = DiskModel(path, before)
    for number, call in enumerate(calls):
        model.apply(number, call)
    return model.contents()
