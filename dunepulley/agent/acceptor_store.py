"""The durable state of this agent's acceptor (`caspaxos`): one row in a SQLite file.

A state is on disk before any reply with it is sent to a proposer. SQLite writes with its rollback journal and
`synchronous=EXTRA`, so that the row is either complete or unchanged, and a reported commit survives a power
loss: with `FULL` the directory is not synced after the journal's removal, and a journal that reappears undoes
the commit. A new file is written elsewhere and renamed into place. A digest over the row detects what SQLite
cannot: a file that others truncated or changed, or that belongs to another agent.

An agent whose file is missing or unusable does not vote: it may have made promises that it no longer knows.
It votes again once `open` has read the file and written it once.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
import pathlib
import sqlite3
from typing import NamedTuple

import orjson

from dunepulley.agent import atomic_file
from dunepulley.control import caspaxos, codec
from dunepulley.errors import StorageError

WRITE_ROW = "insert or replace into vote values (1, ?, ?, ?)"

_FORMAT_VERSION = 1
_DIGEST_BYTES = 16
_LOCK_TIMEOUT_S = 1.0
_CREATE_TABLE = (
    "create table vote (one integer primary key check (one = 1), epoch integer not null,"
    " state blob not null, digest blob not null)"
)


class AcceptorStoreError(StorageError):
    """The file cannot be read or written; the text gives the reason in one line."""


class _Row(NamedTuple):
    """The content of the file: the fleet's epoch, the encoded state, and a digest over both."""

    epoch: int
    state: bytes
    digest: bytes


class AcceptorStore:
    """The file of one agent's acceptor; `state` is the last state that was durably written.

    It may be used by one thread at a time, which need not be the one that opened the file.
    """

    def __init__(self, path: str, name: str, epoch: int) -> None:
        """Set up the file of the agent `name` in an epoch of its fleet; call `create` or `open` next."""
        self.path, self.name, self.epoch = path, name, epoch
        self.state = caspaxos.AcceptorState()
        self.connection: sqlite3.Connection | None = None

    def create(self) -> None:
        """Create the file of an acceptor that has promised nothing, and open it.

        Raises `AcceptorStoreError` if it cannot be written, or if a file of this or a later epoch exists. The
        file of an earlier epoch is kept under another name.
        """
        try:
            if os.path.exists(self.path):
                self._back_up_earlier_epoch()
            self._remove_journal()
            atomic_file.replace_file(self.path, self._initial_content())
        except (OSError, atomic_file.NotDurableError, sqlite3.Error) as error:
            raise AcceptorStoreError(f"cannot write {self.path}: {error}") from error
        self.open()

    def open(self) -> None:
        """Read the file and write it once.

        After a killed process or a failed fsync, the content may be in the page cache only: no reply may be
        sent from it before the same content has been committed again. Raises `AcceptorStoreError` if the file
        is not exactly as last saved.
        """
        if not os.path.exists(self.path):
            raise AcceptorStoreError(f"{self.path} is missing; --new-votes creates it for a new fleet")
        try:
            self.connection = self._connect()
            state = self._read(self.connection)
        except (sqlite3.Error, ValueError, TypeError) as error:
            self.close()
            raise AcceptorStoreError(f"cannot use {self.path}: {error}") from error
        except AcceptorStoreError:
            self.close()
            raise
        self.save(state)

    def save(self, state: caspaxos.AcceptorState) -> None:
        """Write a state durably. On failure closes the file and raises `AcceptorStoreError`."""
        if self.connection is None:
            raise AcceptorStoreError(f"{self.path} is not open")
        try:
            with self.connection:
                self.connection.execute(WRITE_ROW, self._row_of(state))
        except sqlite3.Error as error:
            # The content of the disk is unknown now: the acceptor must not vote until it has read the file.
            self.close()
            raise AcceptorStoreError(f"cannot write {self.path}: {error}") from error
        self.state = state

    def close(self) -> None:
        """Close the file, if it is open."""
        if self.connection is not None:
            with contextlib.suppress(sqlite3.Error):
                self.connection.close()
            self.connection = None

    def _read(self, connection: sqlite3.Connection) -> caspaxos.AcceptorState:
        """Return the state in the file.

        Raises `AcceptorStoreError` if the file is damaged, belongs to another agent, or is older than a state
        that this agent has already reported.
        """
        if connection.execute("pragma quick_check").fetchone() != ("ok",):
            raise AcceptorStoreError(f"{self.path} is damaged")
        rows = connection.execute("select epoch, state, digest from vote").fetchall()
        if len(rows) != 1:
            raise AcceptorStoreError(f"{self.path}: table vote: expected 1 row, found {len(rows)}")
        row = _Row(*rows[0])
        if not isinstance(row.state, bytes) or row.digest != _digest(self.name, row.epoch, row.state):
            raise AcceptorStoreError(f"{self.path} is damaged, or belongs to another agent")
        if row.epoch != self.epoch:
            raise AcceptorStoreError(
                f"{self.path} is of epoch {row.epoch}, but the agent is configured for epoch {self.epoch}"
            )
        state = _decode_state(row.state)
        if state.promised < self.state.promised or state.accepted < self.state.accepted:
            raise AcceptorStoreError(f"{self.path} is older than a state that this agent has reported")
        return state

    def _back_up_earlier_epoch(self) -> None:
        """Give an earlier epoch's file a second name; the first remains until the new file replaces it."""
        is_earlier = False
        with contextlib.suppress(AcceptorStoreError, sqlite3.Error):
            is_earlier = self._read_epoch() < self.epoch
        if not is_earlier:
            raise AcceptorStoreError(f"{self.path} exists already: start without --new-votes, or repair it")
        backup_path = f"{self.path}.epoch-before-{self.epoch}"
        with contextlib.suppress(FileNotFoundError):
            os.unlink(backup_path)
        os.link(self.path, backup_path)

    def _remove_journal(self) -> None:
        """Remove the journal of a file that no longer exists: SQLite would roll it back into the new file."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(f"{self.path}-journal")
            atomic_file.sync_directory(os.path.dirname(self.path) or ".")

    def _initial_content(self) -> bytes:
        """Return a database with the state of an acceptor that has promised nothing."""
        with contextlib.closing(sqlite3.connect(":memory:")) as memory:
            memory.execute(_CREATE_TABLE)
            with memory:
                memory.execute(WRITE_ROW, self._row_of(caspaxos.AcceptorState()))
            return memory.serialize()

    def _row_of(self, state: caspaxos.AcceptorState) -> _Row:
        encoded = _encode_state(state)
        return _Row(self.epoch, encoded, _digest(self.name, self.epoch, encoded))

    def _read_epoch(self) -> int:
        """Return the epoch of the existing file. Raises `AcceptorStoreError` or `sqlite3.Error`."""
        with contextlib.closing(self._connect()) as connection:
            try:
                return int(connection.execute("select max(epoch) from vote").fetchone()[0])
            except (TypeError, ValueError) as error:
                raise AcceptorStoreError(f"{self.path}: table vote: expected 1 row, found none") from error

    def _connect(self) -> sqlite3.Connection:
        """Open the existing file for durable commits. Raises `sqlite3.Error`."""
        uri = f"{pathlib.Path(self.path).absolute().as_uri()}?mode=rw"
        connection = sqlite3.connect(uri, uri=True, timeout=_LOCK_TIMEOUT_S, check_same_thread=False)
        try:
            connection.execute("pragma journal_mode=delete")
            connection.execute("pragma synchronous=extra")
        except sqlite3.Error:
            connection.close()
            raise
        return connection


def _digest(name: str, epoch: int, state: bytes) -> bytes:
    prefix = orjson.dumps([_FORMAT_VERSION, name, epoch])
    return hashlib.blake2b(prefix + state, digest_size=_DIGEST_BYTES).digest()


def _encode_state(state: caspaxos.AcceptorState) -> bytes:
    return orjson.dumps([list(state.promised), list(state.accepted), state.value.decode()])


def _decode_state(encoded: bytes) -> caspaxos.AcceptorState:
    promised, accepted, value = orjson.loads(encoded)
    return caspaxos.AcceptorState(
        codec.decode_ballot(promised), codec.decode_ballot(accepted), codec.decode_register_value(value)
    )
