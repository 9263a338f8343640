"""What a dispatcher is told (events) and what it wants done (commands), in the project's own words.

Times are milliseconds with fractions; ids of work items (wi) and workers are opaque texts. A hand-off (ho) is
known by its number within its work item, counted from 0 in the order of the `HandOff` commands. Nothing here
decides anything. Each front translates its own wire to and from these types.
"""

from __future__ import annotations

from typing import NamedTuple

# How a hand-off can end. NEVER_RAN holds the results that prove that the worker did not begin it.
FINISHED = "finished"
ERRED = "erred"
FULL = "full"
TIMED_OUT = "timed out"
NOT_CONNECTED = "not connected"
CUT = "cut"
# A kept connection broke under the hand-off: it may have run, but of the worker's health that says nothing.
DROPPED = "dropped"
# The worker could not read it, and no other will: of the worker's health that says nothing either.
UNFIT = "unfit"
TAKEN_BACK = "taken back"
# It was given up, or its connection broke, and the worker could not be told: it may be running yet.
UNHEARD = "unheard"
NOT_SENT = "not sent"
NEVER_RAN = frozenset((FULL, NOT_CONNECTED, NOT_SENT))

# How a category may be repeated.
RERUNNABLE = "rerunnable"
TICKETED = "ticketed"
EXCLUSIVE = "exclusive"

# What a worker list entry says of a worker.
READY = "ready"
LEAVING = "leaving"
LEFT = "left"

# What a list event brings.
CHANGES = "changes"
FULL_LIST = "full list"
DISK_LIST = "disk list"
LIST_ERROR = "list error"


class Entry(NamedTuple):
    """One worker in a list."""

    worker: str
    zone: str = ""
    kind: str = ""
    cell: str = ""
    state: str = READY
    units: float = 1.0
    since: float = 0.0


class ListNews(NamedTuple):
    """News of the workers: changes to the list in hand, a whole list, or word that asking failed."""

    how: str
    entries: tuple[Entry, ...] = ()


class Arrived(NamedTuple):
    """A work item has come in and is owed exactly one final answer within its budget."""

    wi: str
    category: str
    budget: float
    slots: float = 1.0
    tenant: str = ""
    hint: float = 0.0
    repeat: bool = False
    key: str = ""
    memory: float = 0.0


class Began(NamedTuple):
    """A worker has begun a hand-off, or goes on with it (`done` is the part done so far)."""

    wi: str
    ho: int
    done: float = 0.0


class Streaming(NamedTuple):
    """The answer has begun to reach the client: the hand-off has no time limit any more."""

    wi: str
    ho: int


class Ended(NamedTuple):
    """How a hand-off ended; `over` once nothing more is owed to the client."""

    wi: str
    ho: int
    result: str
    worker: str
    took: float = 0.0
    over: bool = False
    report: dict[str, float] | None = None


class Withdrawn(NamedTuple):
    """The client has left; nothing more is owed."""

    wi: str


class Probed(NamedTuple):
    """What a probe brought back."""

    worker: str
    result: str
    took: float = 0.0
    report: dict[str, float] | None = None


class Told(NamedTuple):
    """What another dispatcher tells: slots held, by a worker's short name, 16 bits of a hash.

    All that it holds there itself, or, where `summed`, what all together hold there.
    """

    sender: int
    summed: bool
    held: tuple[tuple[int, int], ...]


class Cold(NamedTuple):
    """Whether this process may spend the dispatcher's budget for cold workers; beside it another one runs."""

    ours: bool


class Alarm(NamedTuple):
    """An alarm set earlier has rung."""

    token: int


class HandOff(NamedTuple):
    """Send a work item to a worker, for at most `limit` ms, the first byte within `begin` ms or never."""

    wi: str
    worker: str
    limit: float
    begin: float = float("inf")


class TakeBack(NamedTuple):
    """Stop waiting for one hand-off."""

    wi: str
    ho: int


class Defer(NamedTuple):
    """Final answer: come again, no harm done; not before `wait` ms, where that is told."""

    wi: str
    wait: float = 0.0


class WriteOff(NamedTuple):
    """Final answer: given up, with no promise about the effect."""

    wi: str


class Probe(NamedTuple):
    """Ask one worker for its figures."""

    worker: str


class Tell(NamedTuple):
    """Send a note to the dispatcher of this number, or to all others (-1); it may be lost."""

    to: int
    summed: bool
    held: tuple[tuple[int, int], ...]


class SetAlarm(NamedTuple):
    """Ring after `delay` ms."""

    delay: float
    token: int


class Note(NamedTuple):
    """A line for the log."""

    text: str
