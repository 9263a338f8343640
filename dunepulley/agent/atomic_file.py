"""Replaces a file atomically: a crash at any moment leaves either the previous content or the new one."""

from __future__ import annotations

import contextlib
import os

from dunepulley.errors import StorageError


class NotDurableError(StorageError):
    """The new content is in place, but a crash of the machine may restore the previous content."""


def temporary_path(path: str) -> str:
    """Return the path to which new content is written first.

    A file that a crash left there is removed by the next replacement.
    """
    return f"{path}.new"


def replace_file(path: str, data: bytes) -> None:
    """Replace the content of a file by `data`, durably.

    Raises `OSError` if the file is unchanged, and `NotDurableError` if it contains `data` but a crash of the
    machine may restore the previous content. After either, a later call writes everything to a new file:
    pages whose fsync has failed may be lost, and the next fsync of the same file would not report it.
    """
    temporary = temporary_path(path)
    with contextlib.suppress(FileNotFoundError):
        os.unlink(temporary)
    try:
        inode = _write_new(temporary, data)
    except OSError:
        _remove(temporary)
        raise
    try:
        os.replace(temporary, path)
    except OSError as error:
        if not _may_be_replaced(path, inode):
            _remove(temporary)
            raise
        raise NotDurableError(error.strerror or str(error)) from error
    try:
        sync_directory(os.path.dirname(path) or ".")
    except OSError as error:
        raise NotDurableError(error.strerror or str(error)) from error


def sync_directory(directory: str) -> None:
    """Make the entries of a directory durable; raises `OSError`."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        # The fsync has succeeded or raised already; an error of close changes nothing on the disk.
        with contextlib.suppress(OSError):
            os.close(descriptor)


def _write_new(path: str, data: bytes) -> int:
    """Create a file, write it to disk, and return its inode."""
    with open(path, "xb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
        return os.fstat(file.fileno()).st_ino


def _may_be_replaced(path: str, inode: int) -> bool:
    """Return whether a rename that failed may have taken effect; True if this cannot be determined."""
    try:
        return os.stat(path).st_ino == inode
    except FileNotFoundError:
        return False
    except OSError:
        return True


def _remove(path: str) -> None:
    with contextlib.suppress(OSError):
        os.unlink(path)
