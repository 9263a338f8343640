"""What an agent must not forget of its votes, on disk before anybody is told: a row in a SQLite file.

SQLite writes with its journal and `synchronous=FULL`, so that a row is there whole or as it was before. What
SQLite cannot see (a file cut or changed by others, another agent's file) a digest over the row does. An agent
whose file is missing or cannot be used does not vote: it may have promised what it no longer knows.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
import pathlib
import sqlite3

import orjson

from dunepulley.fleet import register

# Of another form than this nothing is read.
FORM = 1


class VotesError(Exception):
    """The file cannot be used, or not written; the text says why in one line."""


def _digest(name: str, epoch: int, state: bytes) -> bytes:
    return hashlib.blake2b(orjson.dumps([FORM, name, epoch]) + state, digest_size=16).digest()


def _state_of(voter: register.Voter) -> bytes:
    return orjson.dumps([list(voter.promised), list(voter.accepted), voter.value.decode()])


def _voter_of(state: bytes) -> register.Voter:
    promised, accepted, value = orjson.loads(state)
    return register.Voter(
        register.ballot_of(promised), register.ballot_of(accepted), register.bytes_of(value)
    )


class Votes:
    """One agent's file; `voter` is what stands in it."""

    def __init__(self, path: str, name: str, epoch: int) -> None:
        self.path, self.name, self.epoch = path, name, epoch
        self.voter = register.Voter()
        self.file: sqlite3.Connection | None = None

    def make(self) -> None:
        """Begin a new file; one that is there for this epoch or a later one is not written over."""
        if os.path.exists(self.path):
            older = False
            with contextlib.suppress(VotesError, sqlite3.Error):
                older = self._epoch() < self.epoch
            if not older:
                raise VotesError(f"{self.path} is there already: start without --new-votes, or mend it")
            os.replace(self.path, f"{self.path}.epoch-before-{self.epoch}")
        try:
            self.file = self._connect("rwc")
            self.file.execute(
                "create table vote (one integer primary key check (one = 1), epoch integer not null,"
                " state blob not null, digest blob not null)"
            )
            self.save(register.Voter())
        except sqlite3.Error as problem:
            self.close()
            raise VotesError(f"cannot write {self.path}: {problem}") from problem

    def open(self) -> None:
        """Read the file; raises VotesError where it is not just what was last saved."""
        if not os.path.exists(self.path):
            raise VotesError(f"{self.path} is missing: a new fleet begins with --new-votes")
        try:
            self.file = self._connect("rw")
            if self.file.execute("pragma quick_check").fetchone() != ("ok",):
                raise VotesError(f"{self.path} is damaged")
            rows = self.file.execute("select epoch, state, digest from vote").fetchall()
            if len(rows) != 1:
                raise VotesError(f"{self.path} holds {len(rows)} votes")
            epoch, state, digest = rows[0]
            if not isinstance(state, bytes) or digest != _digest(self.name, epoch, state):
                raise VotesError(f"{self.path} is damaged, or another agent's")
            if epoch != self.epoch:
                raise VotesError(f"{self.path} is of epoch {epoch}, the agent's file says {self.epoch}")
            self.voter = _voter_of(state)
        except (sqlite3.Error, ValueError, TypeError) as problem:
            self.close()
            raise VotesError(f"cannot use {self.path}: {problem}") from problem
        except VotesError:
            self.close()
            raise

    def save(self, voter: register.Voter) -> None:
        """Have the file hold a voter's state, also if the machine stops right after."""
        if self.file is None:
            raise VotesError(f"{self.path} is not open")
        state = _state_of(voter)
        row = (self.epoch, state, _digest(self.name, self.epoch, state))
        try:
            with self.file:
                self.file.execute("insert or replace into vote values (1, ?, ?, ?)", row)
        except sqlite3.Error as problem:
            # What is on the disk now is not known: no vote until the file has been read again.
            self.close()
            raise VotesError(f"cannot write {self.path}: {problem}") from problem
        self.voter = voter

    def close(self) -> None:
        """Give the file back."""
        if self.file is not None:
            with contextlib.suppress(sqlite3.Error):
                self.file.close()
            self.file = None

    def _connect(self, mode: str) -> sqlite3.Connection:
        # Used by one thread at a time, which need not be the one that opened it.
        name = f"{pathlib.Path(self.path).absolute().as_uri()}?mode={mode}"
        file = sqlite3.connect(name, uri=True, timeout=1.0, check_same_thread=False)
        file.execute("pragma journal_mode=delete")
        file.execute("pragma synchronous=full")
        return file

    def _epoch(self) -> int:
        file = self._connect("rw")
        try:
            return int(file.execute("select max(epoch) from vote").fetchone()[0])
        except (TypeError, ValueError) as problem:
            raise VotesError(f"{self.path} holds no vote") from problem
        finally:
            file.close()
