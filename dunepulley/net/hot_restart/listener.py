"""The Unix socket on which a process waits for its child."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import stat
from collections.abc import Callable

from dunepulley.net import log
from dunepulley.net.hot_restart.paths import short_path
from dunepulley.net.log_events import LogEvent

# Delay after a failed accept; a child waits several times as long for its connection.
ACCEPT_RETRY_S = 0.1
BACKLOG = 4
# Only the user of this process may access the socket file.
FILE_MASK = 0o077


class ChildListener:
    """Owns the socket and its file, and calls `on_connection` with each accepted connection."""

    def __init__(self, path: str, on_connection: Callable[[socket.socket], None]) -> None:
        """Initialise the listener; with an empty path, `listen` does nothing."""
        self.path = path
        self.on_connection = on_connection
        self.socket: socket.socket | None = None
        self._inode = 0

    def listen(self) -> None:
        """Listen at the path, replacing the socket of any process that listened there before.

        If the path cannot be used, that is logged: the process serves, but no child process will find it.
        """
        if not self.path:
            return
        listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        # Created under a temporary name and renamed, so that a child always finds a socket at the path.
        temporary = f"{self.path}.{os.getpid()}"
        try:
            self._bind(listening, temporary)
            os.rename(temporary, self.path)
        except OSError as error:
            listening.close()
            with contextlib.suppress(OSError):
                os.unlink(temporary)
            log.write(
                LogEvent.HOT_RESTART,
                f"cannot listen for a child process at {self.path}, so hot restarts are disabled: {error}",
            )
            return
        self.socket = listening
        self._watch()

    def _bind(self, listening: socket.socket, temporary: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            if not stat.S_ISSOCK(os.lstat(self.path).st_mode):
                raise OSError("the path exists and is not a socket")
        with contextlib.suppress(FileNotFoundError):
            os.unlink(temporary)
        with short_path(temporary) as short:
            previous_mask = os.umask(FILE_MASK)
            try:
                listening.bind(short)
            finally:
                os.umask(previous_mask)
        listening.listen(BACKLOG)
        listening.setblocking(False)
        self._inode = os.lstat(temporary).st_ino

    def _watch(self) -> None:
        if self.socket is not None:
            asyncio.get_running_loop().add_reader(self.socket, self._accept)

    def _accept(self) -> None:
        try:
            connection, _ = self.socket.accept()
        except BlockingIOError:
            return
        except OSError as error:
            log.write(LogEvent.HOT_RESTART, f"cannot accept a child process yet: {error.strerror}")
            # Pause, because the event loop would otherwise call this method again at once.
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.socket)
            loop.call_later(ACCEPT_RETRY_S, self._watch)
            return
        connection.setblocking(False)
        self.on_connection(connection)

    def stop(self) -> None:
        """Stop listening, but keep the file: a child has replaced it by its own or soon will."""
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
            self.socket = None

    def close(self) -> None:
        """Stop listening and remove the file, unless another process has replaced it."""
        if self.socket is None:
            return
        self.stop()
        with contextlib.suppress(OSError):
            if os.lstat(self.path).st_ino == self._inode:
                os.unlink(self.path)
