"""The set of drains in force on a host, and its file, which outlives the agent.

Dispatchers apply the set in force even if its file could not be written durably; the write is then retried
until it succeeds.
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
"""How often the write of a set that is in force, but possibly not durable, is retried."""

TIME_LEFT_REFRESH_S = 60.0
"""How often the file is updated with the remaining time of drains that expire.

After a reboot of the host the time for which it was off is unknown, so the remaining time counts from the
last write.
"""


class DrainStore:
    """Owns the set in force and its file; expiries are by `clock`.

    `durability_error` is the reason why the set in force may not be durable, and empty if it is. Callers that
    change the set hold `lock` from reading the current set until the next one is written.
    """

    def __init__(self, path: str, clock: Clock) -> None:
        """Read the file. Raises `DrainFileError` if it exists and cannot be read."""
        self.path = path
        self.clock = clock
        self.drains = drain_file.load(path, clock.wall_ms(), clock)
        self.durability_error = ""
        # Without a file, a new epoch has just begun, by the wall clock.
        self.new_epoch = not os.path.exists(path)
        self.lock = asyncio.Lock()

    def write(self, new_drains: DrainSet) -> None:
        """Write a set and put it in force. Raises `DrainFileError` if the previous set stays in force."""
        error = self._save(new_drains)
        if error is not None and not isinstance(error, NotDurableError):
            raise error
        # Readers of the file already see the new set, so it is in force whether it is durable or not.
        self._record_durability_error(error)
        self.drains = new_drains

    def write_at_start(self) -> None:
        """Write the set that was read, so that a file that cannot be written is detected at the start.

        Raises `DrainFileError` only if there is no file yet: drains that were read are applied in any case.
        """
        error = self._save(self.drains)
        if error is not None and not os.path.exists(self.path):
            raise error
        self._record_durability_error(error)

    def retry_write(self) -> None:
        """Write the set in force again, if it may not be durable."""
        if self.durability_error:
            self._record_durability_error(self._save(self.drains))

    async def retry_until_durable(self) -> None:
        """Retry the write of a set that may not be durable every `WRITE_RETRY_S`; runs until cancelled."""
        while True:
            await asyncio.sleep(WRITE_RETRY_S)
            async with self.lock:
                self.retry_write()

    async def refresh_time_left(self) -> None:
        """Every `TIME_LEFT_REFRESH_S` write the time left of drains that expire; runs until cancelled."""
        while True:
            await asyncio.sleep(TIME_LEFT_REFRESH_S)
            if self.drains.next_expiry_ms(self.clock()) == INFINITY:
                continue
            async with self.lock:
                # In a thread, so that a slow disk does not block the event loop.
                error = await asyncio.to_thread(self._save, self.drains)
                if error is not None:
                    log.write(LogEvent.DRAINS, f"remaining time of drains not updated: {error}")

    async def start_later_epoch(self, epoch: float) -> None:
        """Begin an epoch later than `epoch`, that of a dispatcher's set from before the file was lost.

        Epochs are Unix ms: an epoch that began after the wall clock was set back would count as the older
        one, and dispatchers would reject its drains. Does nothing if the set in force was read from a file.
        """
        if not self.new_epoch or epoch <= self.drains.epoch:
            return
        async with self.lock:
            try:
                self.write(self.drains._replace(epoch=max(self.drains.epoch, epoch + 1.0)))
            except DrainFileError as error:
                log.write(LogEvent.DRAINS, f"cannot begin a later epoch: {error}")

    def _save(self, drains: DrainSet) -> DrainFileError | None:
        """Write a set to the file and return the error, if there is one."""
        try:
            drain_file.save(self.path, drains, self.clock)
        except DrainFileError as error:
            return error
        return None

    def _record_durability_error(self, error: DrainFileError | None) -> None:
        """Store the reason why the set in force may not be durable, and log it if it changed."""
        reason = str(error) if error is not None else ""
        if reason != self.durability_error:
            log.write(LogEvent.DRAINS, f"in force, but {reason}" if reason else "the file is written")
        self.durability_error = reason
