"""The set of drains in force on a host, and its file, which outlives the agent.

A set in force is applied by the dispatchers whatever the disk does: where its file is not known to be
durable, it is written again until it is.
"""

from __future__ import annotations

import asyncio
import os

from dunepulley.agent import drain_file
from dunepulley.agent.drain_file import DrainFileError, NotDurableError
from dunepulley.clocks import Clock
from dunepulley.control.drains import INFINITY, DrainSet
from dunepulley.net import log
from dunepulley.net.log_events import LogEvent

WRITE_RETRY_S = 1.0
"""How often a set that is in force, but not surely on the disk, is written again."""

TIME_LEFT_REFRESH_S = 60.0
"""How often the time left of drains that expire is written anew.

After a boot of the host it is not known for how long it was off; the drains then last from the last write.
"""


class DrainStore:
    """Owns the set in force and its file; expiries are by `clock`.

    `durability_error` says why the set in force is not known to be durable, and is empty where it is. `lock`
    is held by whoever changes the set, from reading the present one until the next is written.
    """

    def __init__(self, path: str, clock: Clock) -> None:
        """Read the file. Raises `DrainFileError` where it is there and cannot be read."""
        self.path = path
        self.clock = clock
        self.drains = drain_file.load(path, clock.wall_ms(), clock)
        self.durability_error = ""
        # Without a file an epoch has begun just now, by the wall clock.
        self.new_epoch = not os.path.exists(path)
        self.lock = asyncio.Lock()

    def write(self, wanted: DrainSet) -> None:
        """Write a set and put it in force. Raises `DrainFileError` where the former one stays in force."""
        error = self._save(wanted)
        if error is not None and not isinstance(error, NotDurableError):
            raise error
        # Readers of the file find the new set already, so it is in force, durable or not.
        self._note_unwritten(error)
        self.drains = wanted

    def write_at_start(self) -> None:
        """Write the set that was read, so that a file which cannot be written is found at the start.

        Raises `DrainFileError` only where there is no file yet: drains that were read are applied regardless.
        """
        error = self._save(self.drains)
        if error is not None and not os.path.exists(self.path):
            raise error
        self._note_unwritten(error)

    def retry_write(self) -> None:
        """Write the set in force once more, if it is not known to be durable."""
        if self.durability_error:
            self._note_unwritten(self._save(self.drains))

    async def retry_until_durable(self) -> None:
        """Write a set that is not known to be durable again until it is; runs until cancelled."""
        while True:
            await asyncio.sleep(WRITE_RETRY_S)
            async with self.lock:
                self.retry_write()

    async def refresh_time_left(self) -> None:
        """Write the time left of drains that expire every `TIME_LEFT_REFRESH_S`; runs until cancelled."""
        while True:
            await asyncio.sleep(TIME_LEFT_REFRESH_S)
            if self.drains.next_expiry_ms(self.clock()) == INFINITY:
                continue
            async with self.lock:
                # In a thread: a slow disk must not hold up the rest of the agent.
                error = await asyncio.to_thread(self._save, self.drains)
                if error is not None:
                    log.write(LogEvent.DRAINS, f"not written anew: {error}")

    async def start_later_epoch(self, epoch: float) -> None:
        """Begin a later epoch than that of a dispatcher's set, which is from before the file was lost.

        Epochs are Unix ms: one that began after the wall clock was set back would count as the older, and
        dispatchers would take no drain of it. Does nothing where the set in force was read from a file.
        """
        if not self.new_epoch or epoch <= self.drains.epoch:
            return
        async with self.lock:
            try:
                self.write(self.drains._replace(epoch=max(self.drains.epoch, epoch + 1.0)))
            except DrainFileError as error:
                log.write(LogEvent.DRAINS, f"no later epoch: {error}")

    def _save(self, drains: DrainSet) -> DrainFileError | None:
        """Write a set to the file and return the error, if there is one."""
        try:
            drain_file.save(self.path, drains, self.clock)
        except DrainFileError as error:
            return error
        return None

    def _note_unwritten(self, error: DrainFileError | None) -> None:
        """Remember why the set in force may not be durable, and log when that changes."""
        reason = str(error) if error is not None else ""
        if reason != self.durability_error:
            log.write(LogEvent.DRAINS, f"in force, but {reason}" if reason else "the file is written")
        self.durability_error = reason
